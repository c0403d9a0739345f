package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Pace of taking a run up again.
const (
	// MaxResumeAttempts bounds the tries in a row that bring nothing.
	MaxResumeAttempts  = 6
	initialResumeDelay = 20 * time.Millisecond
	maxResumeDelay     = 500 * time.Millisecond
)

// ResumeWithRetry takes a run up after a chunk, trying for a second or two. It gives
// up at once when the engine says that the run is not there.
func (c *Client) ResumeWithRetry(ctx context.Context, address string, run Run, after int) (*Stream, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = initialResumeDelay
	waits.MaxInterval = maxResumeDelay
	return backoff.Retry(ctx, func() (*Stream, error) {
		stream, err := c.Resume(ctx, address, run, after)
		if errors.Is(err, ErrUnknownRun) || errors.Is(err, ErrWrongWeights) {
			return nil, backoff.Permanent(err)
		}
		return stream, err
	}, backoff.WithBackOff(waits), backoff.WithMaxTries(MaxResumeAttempts))
}
