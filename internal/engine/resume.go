package engine

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Limits of the attempts to resume a run.
const (
	// MaxResumeAttempts is the maximum number of consecutive attempts without a new chunk.
	MaxResumeAttempts  = 6
	initialResumeDelay = 20 * time.Millisecond
	maxResumeDelay     = 500 * time.Millisecond
	// resumeDelayFactor and resumeDelayJitter make the delays of all attempts add up to 1.0 to 1.5 s; with the
	// defaults of package backoff it is a third of a second.
	resumeDelayFactor = 3
	resumeDelayJitter = 0.2
)

// ResumeWithRetry resumes a run after a chunk, and retries with exponential backoff for one
// to two seconds. It does not retry if the engine no longer has the run or responds with
// another weight version.
func (c *Client) ResumeWithRetry(ctx context.Context, address string, run Run, after int) (*Stream, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = initialResumeDelay
	waits.MaxInterval = maxResumeDelay
	waits.Multiplier = resumeDelayFactor
	waits.RandomizationFactor = resumeDelayJitter
	return backoff.Retry(ctx, func() (*Stream, error) {
		stream, err := c.Resume(ctx, address, run, after)
		if errors.Is(err, ErrUnknownRun) || errors.Is(err, ErrWrongWeights) {
			return nil, backoff.Permanent(err)
		}
		return stream, err
	}, backoff.WithBackOff(waits), backoff.WithMaxTries(MaxResumeAttempts))
}
