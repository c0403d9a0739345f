// Package waiting waits for a duration or for the end of a context. Loops use it for their pauses,
// so that no pause delays the exit of the process.
package waiting

import (
	"context"
	"time"
)

// For waits for a duration and returns false if ctx ended first. It does not wait if the duration
// is not positive.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
