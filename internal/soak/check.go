// The history that callers and servers record, and the invariants that it is checked against.

package soak

import (
	"fmt"
	"time"
)

// CallKind is the kind of a call.
type CallKind uint8

// Kinds of calls.
const (
	// Stream calls may be resumed at another server.
	Stream CallKind = iota
	// Repeatable calls may run more than once; AtMostOnce calls may not.
	Repeatable
	AtMostOnce
	// Probe calls use a route that only one version of the configuration has. They show which
	// version the box uses.
	Probe
)

// Outcome is the result of a call as its caller saw it.
type Outcome uint8

// Outcomes of calls.
const (
	// CompleteResponse is the full response of the server that ran the call, each chunk once.
	CompleteResponse Outcome = iota
	// NotRun is a rejection which reports that the call did not run.
	NotRun
	// Unknown is an error which reports that the call may have run, or no response at all.
	Unknown
	// TruncatedResponse is a response that ended early.
	TruncatedResponse
	// WrongResponse is a response that looks complete but belongs to another call.
	WrongResponse
	// Denied is a rejection that blames the caller, for example for its key.
	Denied
	// Failed is an error of the server itself. Closed is a connection that was closed before
	// a response.
	Failed
	Closed
)

var outcomeNames = []string{"whole", "not run", "unknown", "cut", "wrong", "denied", "failed", "closed"}

func (e Outcome) String() string { return outcomeNames[e] }

// Attempt is one call by a caller.
type Attempt struct {
	ID       string
	CallKind CallKind
	// Box is the box that the call was sent to, and Incarnation the number of that box's process.
	Box, Incarnation int
	Began, Ended     time.Duration
	Outcome          Outcome
	// CallTimeout is the caller's timeout for the call.
	CallTimeout time.Duration
	// Version is the version of the configuration that has the route of a probe, or the key of
	// another call. It is zero for a key that every version has.
	Version int
}

// Arrival is a call that reached a server.
type Arrival struct {
	ID     string
	Server int
	At     time.Duration
}

// Event is an operator's or a server's announcement: a version of the configuration, or a server that
// leaves or is cold.
type Event struct {
	At      time.Duration
	Version int
	Server  int
	// Until is when the announcement was withdrawn.
	Until time.Duration
}

// History is the record of one run.
type History struct {
	Faults   []Fault
	Attempts []Attempt
	// Arrivals are the calls that servers ran.
	Arrivals       []Arrival
	Versions       []Event
	LeavingPeriods []Event
	// Evacuations are the evacuations of the second zone, and ColdPeriods the periods in which servers
	// reported that they are cold.
	Evacuations, ColdPeriods []Event
	// Advisories are the periods in which servers had an advisory in their responses. Received are all
	// calls that reached the server that they were sent to, including those that it rejected.
	Advisories []Advisory
	Received   []Arrival
	// Streams are the streams of a soak with several software versions. Software is the first version of each
	// runner, by the number of the server; Releases change it. Reasons are the reasons for which boxes refused
	// calls, by their IDs.
	Streams  []ResumableStream
	Software map[int]string
	Releases []Release
	Reasons  map[string]string
	// BadFetches describe stored parts that were fetched although they should not have been.
	BadFetches []string
	// PartsStored is the number of parts in the store boxes at the end, and PartsFreed the number that
	// they freed before.
	PartsStored, PartsFreed int
	// StuckBoxes is the number of boxes whose graceful stop did not end in time.
	StuckBoxes int
	// StopTimeout is the time that a box has for a graceful stop.
	StopTimeout time.Duration
	// WeightsNamed is the version of the weights that was declared last, and WeightsHeld the version that
	// each runner holds at the end, by the number of the server. Ended is that moment.
	WeightsNamed int
	WeightsHeld  map[int]int
	Ended        time.Duration
	// FaultsEnd is when the last fault ended, after which everything should work again.
	FaultsEnd time.Duration
}

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Details   string
}

func (v Violation) String() string { return v.Invariant + ": " + v.Details }

// Invariants.
const (
	InvariantOwnResponse     = "a response is complete and belongs to its call"
	InvariantAtMostOnce      = "a call that may not be repeated runs at most once"
	InvariantNotRun          = "a call that is rejected as not run has not run"
	InvariantNoLoss          = "no call is lost during routine operations"
	InvariantLeaving         = "a server that is leaving receives no new calls"
	InvariantEvacuated       = "a server of an evacuated zone receives no new calls"
	InvariantCold            = "a cold server receives no more calls than its limit"
	InvariantRateLimit       = "boxes that know a server's rate limit do not exceed it together"
	InvariantDraining        = "a box that received a draining response sends that server no new calls"
	InvariantPause           = "a box sends nothing to a server that asked it for a pause"
	InvariantMonotonicConfig = "a box never returns to an older configuration"
	InvariantRevokedKeys     = "a revoked key is rejected"
	InvariantAllowed         = "a call that every configuration allows is not denied"
	InvariantParts           = "stored parts are fetched complete, and only for calls of their own kind"
	InvariantStops           = "a graceful stop ends in time"
	InvariantWeights         = "all runners hold the newest weights after the faults end"
	InvariantRecovery        = "all calls are served again after the faults end"
)

const (
	// syncTime is how long a box must have been undisturbed before invariants with a deadline
	// apply to it.
	syncTime = 3 * time.Second
	// leaveDeadline is the time within which boxes have read that a server is leaving.
	// configDeadline is the time within which all boxes use a new version of the configuration.
	leaveDeadline  = 2 * time.Second
	configDeadline = 2 * time.Second
	// recoveryTime is the time after the last fault within which calls are served again.
	recoveryTime = 5 * time.Second
	// lateFraction is the fraction of its timeout after which a call may end without a response.
	lateFraction = 0.7
	// lateStopFraction is the fraction of StopTimeout after which a stopping box may cut off calls
	// that it accepted up to acceptedAfterStop after the stop began.
	lateStopFraction  = 5.0 / 6
	acceptedAfterStop = 3 * time.Second
)

// Check returns the invariants that a run violated.
func Check(h *History) []Violation {
	var violations []Violation
	report := func(invariant, format string, args ...any) {
		violations = append(violations, Violation{invariant, fmt.Sprintf(format, args...)})
	}
	runs := h.runCounts()
	for i := range h.Attempts {
		a := &h.Attempts[i]
		checkAnswer(a, runs[a.ID], report)
		if h.isLost(a, runs[a.ID]) {
			report(InvariantNoLoss, "%s", a.describe())
		}
		if h.mustRecover(a) && a.Outcome != CompleteResponse {
			report(InvariantRecovery, "%s", a.describe())
		}
	}
	h.checkMonotonicConfig(report)
	h.checkRevokedKeys(report)
	h.checkLeaving(report)
	h.checkEvacuated(report)
	h.checkCold(report)
	h.checkAdvisories(report)
	h.checkVersions(report)
	h.checkResumed(report)
	h.checkWeights(report)
	for _, details := range h.BadFetches {
		report(InvariantParts, "%s", details)
	}
	if h.StuckBoxes > 0 {
		report(InvariantStops, "%d boxes were still running", h.StuckBoxes)
	}
	return violations
}

// reportFunc records a violation of an invariant.
type reportFunc func(invariant, format string, args ...any)

// describe formats the attempt for the details of a violation.
func (a *Attempt) describe() string {
	return fmt.Sprintf("%s at box %d/%d from %v to %v: %v", a.ID, a.Box, a.Incarnation, a.Began.Round(time.Millisecond), a.Ended.Round(time.Millisecond), a.Outcome)
}

// runCounts returns how often each call ran.
func (h *History) runCounts() map[string]int {
	runs := map[string]int{}
	for _, arrival := range h.Arrivals {
		runs[arrival.ID]++
	}
	return runs
}

func checkAnswer(a *Attempt, runs int, report reportFunc) {
	switch {
	case a.Outcome == WrongResponse:
		report(InvariantOwnResponse, "%s", a.describe())
	case a.CallKind == AtMostOnce && runs > 1:
		report(InvariantAtMostOnce, "%s ran %d times", a.describe(), runs)
	case a.Outcome == NotRun && runs > 0:
		report(InvariantNotRun, "%s ran %d times", a.describe(), runs)
	case a.Outcome == Denied && a.CallKind != Probe && a.Version == 0:
		report(InvariantAllowed, "%s", a.describe())
	}
}

// isLost reports whether a call was lost while nothing but routine operations took place. A call whose
// connection was closed before it reached a server does not count, since its caller may send it again.
func (h *History) isLost(a *Attempt, runs int) bool {
	if a.Outcome != Unknown && a.Outcome != TruncatedResponse && a.Outcome != Failed && !(a.Outcome == Closed && runs > 0) {
		return false
	}
	if a.Ended-a.Began >= time.Duration(lateFraction*float64(a.CallTimeout)) || h.wasCutByStop(a) {
		return false
	}
	return !h.isDisturbed(a.Began-syncTime, a.Ended, func(f Fault) bool { return !f.Kind.IsRoutine() })
}

// mustRecover reports whether a call began so long after the last fault that it must be served. Probes and calls with
// the key of a single configuration version may be denied at any time.
func (h *History) mustRecover(a *Attempt) bool {
	isOrdinary := a.CallKind != Probe && a.Version == 0
	return isOrdinary && a.Began > h.FaultsEnd+recoveryTime && !h.isRefusedByRelease(a)
}

// wasCutByStop reports whether a box accepted the call soon after its stop began, and the call was still
// running when nearly all of StopTimeout had passed.
func (h *History) wasCutByStop(a *Attempt) bool {
	for _, fault := range h.Faults {
		lateStart := fault.Start + time.Duration(lateStopFraction*float64(h.StopTimeout))
		if fault.Kind == RestartBox && fault.Target == a.Box && a.Began <= fault.Start+acceptedAfterStop && a.Ended >= lateStart && a.Ended <= fault.Start+h.StopTimeout {
			return true
		}
	}
	return false
}

// isDisturbed reports whether a matching fault was active in a period.
func (h *History) isDisturbed(from, to time.Duration, matches func(Fault) bool) bool {
	for _, fault := range h.Faults {
		if fault.Start < to && fault.End() > from && matches(fault) {
			return true
		}
	}
	return false
}

// isInSync reports whether a box had no pause, no restart and no failure, also of its connection to the
// log, for syncTime before a moment.
func (h *History) isInSync(box int, at time.Duration) bool {
	return !h.isDisturbed(at-syncTime, at, func(f Fault) bool {
		if f.Kind == PauseBox || f.Kind == RestartBox || !f.Kind.IsRoutine() {
			return f.Kind.scope() == wholeFleet || f.Kind.scope() == oneBox && f.Target == box
		}
		return false
	})
}

// checkMonotonicConfig looks for a box that served a probe by a version of the configuration older than
// one by which the same incarnation had served a probe before.
func (h *History) checkMonotonicConfig(report reportFunc) {
	type process struct{ box, incarnation int }
	for i := range h.Attempts {
		earlier := &h.Attempts[i]
		if earlier.CallKind != Probe || earlier.Outcome != CompleteResponse {
			continue
		}
		for j := range h.Attempts {
			later := &h.Attempts[j]
			if later.CallKind == Probe && later.Outcome == CompleteResponse && later.Version < earlier.Version && later.Began > earlier.Ended &&
				(process{later.Box, later.Incarnation}) == (process{earlier.Box, earlier.Incarnation}) {
				report(InvariantMonotonicConfig, "version %d after %d: %s", later.Version, earlier.Version, later.describe())
			}
		}
	}
}

// checkRevokedKeys looks for calls that were served with a key of a replaced version.
func (h *History) checkRevokedKeys(report reportFunc) {
	replaced := map[int]time.Duration{}
	for i, version := range h.Versions {
		if i > 0 {
			replaced[h.Versions[i-1].Version] = version.At
		}
	}
	for i := range h.Attempts {
		a := &h.Attempts[i]
		at, isReplaced := replaced[a.Version]
		if a.Version > 0 && isReplaced && a.Outcome == CompleteResponse && a.Began > at+configDeadline && h.isInSync(a.Box, a.Began) {
			report(InvariantRevokedKeys, "version %d was replaced at %v: %s", a.Version, at.Round(time.Millisecond), a.describe())
		}
	}
}

// checkLeaving looks for calls that reached a server long after it announced that it is leaving.
func (h *History) checkLeaving(report reportFunc) {
	byID := h.attemptsByID()
	for _, leaving := range h.LeavingPeriods {
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			late := arrival.Server == leaving.Server && arrival.At > leaving.At+leaveDeadline && arrival.At < leaving.Until
			if late && a != nil && !h.wasKilledSince(leaving, arrival.At) && a.Began > leaving.At && h.isInSync(a.Box, arrival.At) {
				report(InvariantLeaving, "server %d announced at %v that it is leaving, but received a call at %v: %s", leaving.Server, leaving.At.Round(time.Millisecond), arrival.At.Round(time.Millisecond), a.describe())
			}
		}
	}
}

// wasKilledSince reports whether a server that had announced its leaving was killed before a moment.
// Neither its next incarnation nor a runner that a release starts in its place is leaving.
func (h *History) wasKilledSince(leaving Event, at time.Duration) bool {
	return h.isDisturbed(leaving.At, at, func(f Fault) bool {
		return (f.Kind == KillServer || f.Kind == ReleaseRunner) && f.Target == leaving.Server
	})
}
