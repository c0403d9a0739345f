// Package waiting waits for a time, or for the end of a context when that comes
// first. Loops use it for their pauses, so that none of them holds up the end of
// the process.
package waiting

import (
	"context"
	"time"
)

// For waits for a time, and reports false when ctx ended before. A time that is not
// positive has passed already.
func For(ctx context.Context, length time.Duration) bool {
	if length <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
