// Which new calls are tried at once, and which are decided by what is known of the others.

package admission

import (
	"time"

	"github.com/cometlock/cometlock/internal/waitqueue"
)

// needsTry reports whether a new call must be tried at once. It is not if it demands at least as much as
// a call that has just found no server, or if capacity that has become free since goes to the waiting
// calls first. That holds also for a call that has no time to wait: boxes ask owners of other zones
// without a wait, and an organisation with many calls would take most of what becomes free that way.
// The demand is nil if it wasn't needed. The caller holds mu.
func (q *Queue[C, P]) needsTry(params waitqueue.Params, call C, now time.Time) (*waitqueue.Demand, bool) {
	if q.shortfall.Empty() {
		return nil, true
	}
	outdated := q.isOutdated(now)
	if outdated && q.calls.GoesFirst(rankOf(params, now)) {
		return nil, true
	}
	demand := q.cfg.Demand(call)
	if q.shortfall.Includes(demand) {
		return &demand, false
	}
	return &demand, !outdated
}

// rankOf returns the params by which a new call is compared with the waiting ones. One without time to
// wait has the earliest deadline of all, which must not put it first.
func rankOf(params waitqueue.Params, now time.Time) waitqueue.Params {
	if !now.Before(params.Deadline) {
		params.Deadline = now.Add(lastDeadline)
	}
	return params
}

// lastDeadline is later than the deadline of any waiting call.
const lastDeadline = time.Hour

// noteShortfall records that a call has found no server. The caller holds mu.
func (q *Queue[C, P]) noteShortfall(demand waitqueue.Demand, freed <-chan struct{}, now time.Time) {
	if q.calls.Len() == 0 && q.isOutdated(now) {
		q.shortfall.Clear() // no check clears it
	}
	if q.shortfall.Empty() {
		q.shortfallAt, q.freed = now, freed
	}
	q.shortfall.Add(demand)
}

// isOutdated reports whether there may be capacity that the known shortfall lacked. The caller holds
// mu.
func (q *Queue[C, P]) isOutdated(now time.Time) bool {
	return isClosed(q.freed) || now.Sub(q.shortfallAt) >= recheckInterval
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
