// Package silence decides when a call whose server is unresponsive looks for another server. It is
// pure: observations are parameters, and it reads no clock.
//
// The load that it answers: servers that stall for some seconds, one by one or all at once, and
// then continue with all their calls. A call that leaves its server early is served sooner by
// another one, but a call that leaves it without being accepted elsewhere loses a response that
// would have come. So an unresponsive server is only a reason to look for another one. Package
// gateway cancels the call at the first server once another one has accepted it.
package silence

import "time"

const (
	// responseFactor times the objective is how long a call waits for the start of the response.
	responseFactor = 2
	// minResponseTimeout is the lower bound of that wait: a server may be slow for a moment.
	minResponseTimeout = 400 * time.Millisecond
	// busyRunnerFactor times the objective is how long a prompt waits at a runner that responds to
	// other calls. Such a runner is busy, and processing the prompt elsewhere would add to the
	// load; after that time the call itself is taken to be lost.
	busyRunnerFactor = 5
	// maxStreamGap is how long a stream may pause. Servers send an event every few milliseconds,
	// and callers cancel after two seconds.
	maxStreamGap = 1200 * time.Millisecond
	// maxCheckDelay bounds how late a check may run. A check that runs later shows that this box
	// lacked CPU, and data from servers may be unread in socket buffers; drainInterval is enough
	// time to read it.
	maxCheckDelay = 100 * time.Millisecond
	drainInterval = 100 * time.Millisecond
)

// Observation is the state of a call and its server at one check.
type Observation struct {
	// Objective is that of the call's route; zero if the route has none.
	Objective time.Duration
	// Started is set if a part of the response has been received.
	Started bool
	// HasPrompt is set if the server has to process a prompt before it responds.
	HasPrompt bool
	// Idle is the time since data was last received.
	Idle time.Duration
	// Delay is how much later than scheduled this check runs.
	Delay time.Duration
	// Responsive is set if the server has responded to other calls lately.
	Responsive bool
}

// IdleLimit returns the idle time after which a call looks for another server.
func (o Observation) IdleLimit() time.Duration {
	if o.Started {
		return maxStreamGap
	}
	return max(responseFactor*o.Objective, minResponseTimeout)
}

// RecheckInterval returns the time between two checks while there is no other server.
func (o Observation) RecheckInterval() time.Duration { return max(o.Objective/2, minResponseTimeout/2) }

// ShouldTryAnother reports whether the call should look for another server now, and otherwise the
// time until the next check.
func (o Observation) ShouldTryAnother() (another bool, next time.Duration) {
	switch limit := o.IdleLimit(); {
	case o.Idle < limit:
		return false, limit - o.Idle
	case o.Delay > maxCheckDelay:
		return false, drainInterval
	case !o.Started && o.HasPrompt && o.Responsive && o.Idle < busyRunnerFactor*o.Objective:
		return false, o.RecheckInterval()
	default:
		return true, 0
	}
}
