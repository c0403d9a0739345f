// Package silence decides when a call whose server is unresponsive looks for another one. It is plain
// arithmetic: observations are parameters, and it waits for nothing.
//
// The load that it answers: servers that stall for some seconds, one by one or all at once, while they
// keep all that they run. A call that leaves its server soon is served sooner by another one, and a call
// that leaves it in vain loses a response that would have come. So an unresponsive server is only a
// reason to look for another one, never to leave this one: package gateway does that, once another
// server has accepted the call.
package silence

import "time"

const (
	// patienceFactor times the objective is how long a call waits for the first sign of its server.
	patienceFactor = 2
	// shortestPatience bounds that from below: a server may be slow for a moment.
	shortestPatience = 400 * time.Millisecond
	// busyRunnerFactor times the objective is how long a prompt waits at a runner that responds to
	// other calls. Such a runner is busy, and reading the prompt elsewhere would add to the load; after
	// that time it is the call that is lost.
	busyRunnerFactor = 5
	// streamGap is how long a stream may pause; servers send an event each few milliseconds, and
	// callers cancel after two seconds.
	streamGap = 1200 * time.Millisecond
	// maxSchedulingDelay bounds how late a check may run. After a later one this box lacked the
	// processor, and what servers have sent may lie unread in socket buffers; drainInterval is enough to
	// read it.
	maxSchedulingDelay = 100 * time.Millisecond
	drainInterval      = 100 * time.Millisecond
)

// Observation is what is known of a call and its server at one check.
type Observation struct {
	// Objective is that of the call's route; zero where it names none.
	Objective time.Duration
	// Started says that a part of the response has come.
	Started bool
	// HasPrompt says that the server has a prompt to read before it responds.
	HasPrompt bool
	// Idle is for how long nothing has come.
	Idle time.Duration
	// Delay is how much later than scheduled this check runs.
	Delay time.Duration
	// Responsive says that the server has responded to other calls lately.
	Responsive bool
}

// IdleLimit is the idle time after which a call looks for another server.
func (o Observation) IdleLimit() time.Duration {
	if o.Started {
		return streamGap
	}
	return max(patienceFactor*o.Objective, shortestPatience)
}

// RecheckInterval is the time between two checks while there is no other server.
func (o Observation) RecheckInterval() time.Duration { return max(o.Objective/2, shortestPatience/2) }

// ShouldTryAnother reports whether the call is to look for another server now, and otherwise how long
// until the next check.
func (o Observation) ShouldTryAnother() (another bool, next time.Duration) {
	switch limit := o.IdleLimit(); {
	case o.Idle < limit:
		return false, limit - o.Idle
	case o.Delay > maxSchedulingDelay:
		return false, drainInterval
	case !o.Started && o.HasPrompt && o.Responsive && o.Idle < busyRunnerFactor*o.Objective:
		return false, o.RecheckInterval()
	default:
		return true, 0
	}
}
