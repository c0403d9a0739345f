// When the log was last away, as far as this box has noticed. What boxes write while it is away may be lost with them.

package sharedlog

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// minOutage is how long calls must have failed, none of them having succeeded, for the log to have been away. Single
// calls fail when the log is busy.
const minOutage = time.Second

// Outages holds the last outage. The zero value has seen none.
type Outages struct {
	mu           sync.Mutex
	failingSince time.Time
	ended        time.Time
}

// note records the outcome of a call.
func (o *Outages) note(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	hasFailed := outcome == outcomeRefused || outcome == outcomeUnknown
	switch {
	case hasFailed && o.failingSince.IsZero():
		o.failingSince = now
	case !hasFailed && !o.failingSince.IsZero():
		if now.Sub(o.failingSince) >= minOutage {
			o.ended = now
		}
		o.failingSince = time.Time{}
	}
}

// SinceLast returns how long ago the last outage ended; seen is false if there was none.
func (o *Outages) SinceLast() (elapsed time.Duration, seen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended.IsZero() {
		return 0, false
	}
	return boottime.Since(o.ended), true
}
