// The last outage of the log that this box has noticed. Origins of streams that began during an outage may be lost if
// boxes crash.

package sharedlog

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// minOutage is how long all calls must have failed for an outage. Single calls fail when the log is busy.
const minOutage = time.Second

// Outages holds the end of the last outage. The zero value has seen none.
type Outages struct {
	mu sync.Mutex
	// failingSince is when the first call failed since the last successful one; zero if the last one succeeded.
	failingSince time.Time
	endedAt      time.Time
}

// record records the outcome of a call, as outcomeOf returns it.
func (o *Outages) record(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := boottime.Now()
	hasFailed := outcome == outcomeRefused || outcome == outcomeUnknown
	switch {
	case hasFailed && o.failingSince.IsZero():
		o.failingSince = now
	case !hasFailed && !o.failingSince.IsZero():
		if now.Sub(o.failingSince) >= minOutage {
			o.endedAt = now
		}
		o.failingSince = time.Time{}
	}
}

// SinceLast returns how long ago the last outage ended; seen is false if there was none.
func (o *Outages) SinceLast() (elapsed time.Duration, seen bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endedAt.IsZero() {
		return 0, false
	}
	return boottime.Since(o.endedAt), true
}
