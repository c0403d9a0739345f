// What callers and servers saw, and the promises that it is held against.

package soak

import (
	"fmt"
	"time"
)

// CallKind is a kind of call.
type CallKind uint8

// Kinds of calls.
const (
	// Stream may be resumed at another server.
	Stream CallKind = iota
	// Repeatable may run more than once, AtMostOnce at most once.
	Repeatable
	AtMostOnce
	// Probe asks which versions of the configuration are in force at a box.
	Probe
)

// Outcome is what a caller got.
type Outcome uint8

// Ends of calls.
const (
	// CompleteResponse answers are those of the call's own server, each piece once.
	CompleteResponse Outcome = iota
	// NotRun is a refusal that says so.
	NotRun
	// Unknown says that the call may have run, or that no answer came.
	Unknown
	// TruncatedResponse answers broke off after a part.
	TruncatedResponse
	// WrongResponse answers look whole and are not the call's.
	WrongResponse
	// Denied calls were turned away as at fault.
	Denied
	// Failed is a server's own failure, and Closed a connection that ended before an answer.
	Failed
	Closed
)

var endNames = []string{"whole", "not run", "unknown", "cut", "wrong", "denied", "failed", "closed"}

func (e Outcome) String() string { return endNames[e] }

// Attempt is one call of a caller's.
type Attempt struct {
	ID       string
	CallKind CallKind
	// Box is where it was sent, and Incarnation the number of that box's process.
	Box, Incarnation int
	Began, Ended     time.Duration
	Outcome          Outcome
	// CallTimeout is the time that the caller gave it.
	CallTimeout time.Duration
	// Version is the version of the configuration that a probe asks for, or whose key the call
	// has; zero for a key that is always good.
	Version int
}

// Arrival is a call that came to a server and was run.
type Arrival struct {
	ID     string
	Server int
	At     time.Duration
}

// Event is when something was declared: a version of the configuration, or a server's leaving.
type Event struct {
	At      time.Duration
	Version int
	Server  int
	// Until is when the server came back.
	Until time.Duration
}

// History is all that was seen in one run.
type History struct {
	Faults         []Fault
	Attempts       []Attempt
	Arrivals       []Arrival
	Versions       []Event
	LeavingPeriods []Event
	// Evacuations are those of the second zone, and ColdPeriods are when servers said that they are cold.
	Evacuations, ColdPeriods []Event
	// Advisories are the times in which servers said something of themselves in their answers, and
	// Received all calls that came to servers and were meant for them, also those turned away.
	Advisories []Advisory
	Received   []Arrival
	// BadFetches tell of kept parts that were fetched and should not have been.
	BadFetches []string
	// PartsStored and PartsFreed are what the store boxes hold at the end, and let go of before.
	PartsStored, PartsFreed int
	// StuckBoxes are planned stops that did not end in time.
	StuckBoxes int
	// StopTimeout is the time that a box has for a planned stop.
	StopTimeout time.Duration
	// FaultsEnd is when the last fault was over and all was to work again.
	FaultsEnd time.Duration
}

// Violation is a promise that was not kept.
type Violation struct {
	Invariant string
	Details   string
}

func (v Violation) String() string { return v.Invariant + ": " + v.Details }

// Promises.
const (
	InvariantOwnResponse     = "an answer is whole and its caller's own"
	InvariantAtMostOnce      = "a call that may not be repeated runs once"
	InvariantNotRun          = "what is refused as not run has not run"
	InvariantNoLoss          = "no call is lost in ordinary work"
	InvariantLeaving         = "a server that leaves gets nothing new"
	InvariantEvacuated       = "a server of an evacuated zone gets nothing new"
	InvariantCold            = "a cold server gets no more than it bears"
	InvariantRateLimit       = "a server that names a rate limit gets no more from all boxes that know of it"
	InvariantDraining        = "a server that says in an answer that it drains gets nothing new from that box"
	InvariantPause           = "a server that asks a box for a pause gets one"
	InvariantMonotonicConfig = "a configuration never comes back"
	InvariantRevokedKeys     = "a key that was taken away opens nothing"
	InvariantAllowed         = "nobody is denied what every configuration allows"
	InvariantParts           = "kept parts are fetched whole, and only for calls of their own kind"
	InvariantStops           = "a planned stop ends in time"
	InvariantRecovery        = "all calls are served again once the faults are over"
)

const (
	// contact is how long a box must have been left alone for promises with a time to bind it.
	contact = 3 * time.Second
	// leaveLimit is the time in which boxes hear of a server that leaves; inForce that in which a
	// version is in force everywhere.
	leaveLimit = 2 * time.Second
	inForce    = 2 * time.Second
	// recovery is how long after the last fault calls are served again.
	recovery = 5 * time.Second
	// lateEnd is the part of its time after which a call may end without an answer.
	lateEnd = 0.7
	// lastOfGrace is the part of the time for a planned stop after which calls may be cut off that
	// were taken within takenAfterStop of the order.
	lastOfGrace    = 5.0 / 6
	takenAfterStop = 3 * time.Second
)

// Check gives the promises that a run did not keep.
func Check(h *History) []Violation {
	var found []Violation
	report := func(promise, format string, args ...any) {
		found = append(found, Violation{promise, fmt.Sprintf(format, args...)})
	}
	runs := h.runs()
	for i := range h.Attempts {
		a := &h.Attempts[i]
		checkAnswer(a, runs[a.ID], report)
		if h.lost(a, runs[a.ID]) {
			report(InvariantNoLoss, "%s", a.story())
		}
		if a.Began > h.FaultsEnd+recovery && a.Outcome != CompleteResponse && a.CallKind != Probe && a.Version == 0 {
			report(InvariantRecovery, "%s", a.story())
		}
	}
	h.checkForward(report)
	h.checkKeys(report)
	h.checkLeaving(report)
	h.checkEvacuated(report)
	h.checkCold(report)
	h.checkAdvisories(report)
	for _, story := range h.BadFetches {
		report(InvariantParts, "%s", story)
	}
	if h.StuckBoxes > 0 {
		report(InvariantStops, "%d boxes were still there", h.StuckBoxes)
	}
	return found
}

type reporter func(promise, format string, args ...any)

func (a *Attempt) story() string {
	return fmt.Sprintf("%s at box %d/%d from %v to %v: %v", a.ID, a.Box, a.Incarnation, a.Began.Round(time.Millisecond), a.Ended.Round(time.Millisecond), a.Outcome)
}

func (h *History) runs() map[string]int {
	runs := map[string]int{}
	for _, arrival := range h.Arrivals {
		runs[arrival.ID]++
	}
	return runs
}

func checkAnswer(a *Attempt, runs int, report reporter) {
	switch {
	case a.Outcome == WrongResponse:
		report(InvariantOwnResponse, "%s", a.story())
	case a.CallKind == AtMostOnce && runs > 1:
		report(InvariantAtMostOnce, "%s ran %d times", a.story(), runs)
	case a.Outcome == NotRun && runs > 0:
		report(InvariantNotRun, "%s ran %d times", a.story(), runs)
	case a.Outcome == Denied && a.CallKind != Probe && a.Version == 0:
		report(InvariantAllowed, "%s", a.story())
	}
}

// lost reports whether a call was lost with nothing but ordinary work around it. One that crosses
// the close of its connection and reached no server is not: its caller may send it again.
func (h *History) lost(a *Attempt, runs int) bool {
	if a.Outcome != Unknown && a.Outcome != TruncatedResponse && a.Outcome != Failed && !(a.Outcome == Closed && runs > 0) {
		return false
	}
	if a.Ended-a.Began >= time.Duration(lateEnd*float64(a.CallTimeout)) || h.outlastedStop(a) {
		return false
	}
	return !h.disturbed(a.Began-contact, a.Ended, func(f Fault) bool { return !f.Kind.IsRoutine() })
}

// outlastedStop reports whether a call that a box took soon after the order to stop was still at
// work at its server when nearly all of the box's time for that was over.
func (h *History) outlastedStop(a *Attempt) bool {
	for _, fault := range h.Faults {
		last := fault.Start + time.Duration(lastOfGrace*float64(h.StopTimeout))
		if fault.Kind == RestartBox && fault.Target == a.Box && a.Began <= fault.Start+takenAfterStop && a.Ended >= last && a.Ended <= fault.Start+h.StopTimeout {
			return true
		}
	}
	return false
}

// disturbed reports whether a fault of some kind lay in a span of time.
func (h *History) disturbed(from, to time.Duration, counts func(Fault) bool) bool {
	for _, fault := range h.Faults {
		if fault.Start < to && fault.End() > from && counts(fault) {
			return true
		}
	}
	return false
}

// inTouch reports whether a box was left alone with the log for long enough before a moment.
func (h *History) inTouch(box int, at time.Duration) bool {
	return !h.disturbed(at-contact, at, func(f Fault) bool {
		if f.Kind == PauseBox || f.Kind == RestartBox || !f.Kind.IsRoutine() {
			return f.Kind.touches() == everything || f.Kind.touches() == oneBox && f.Target == box
		}
		return false
	})
}

// checkForward looks for a box that handled a call by a version older than one that it had shown
// in the same life.
func (h *History) checkForward(report reporter) {
	type life struct{ box, life int }
	for i := range h.Attempts {
		shown := &h.Attempts[i]
		if shown.CallKind != Probe || shown.Outcome != CompleteResponse {
			continue
		}
		for j := range h.Attempts {
			later := &h.Attempts[j]
			if later.CallKind == Probe && later.Outcome == CompleteResponse && later.Version < shown.Version && later.Began > shown.Ended &&
				(life{later.Box, later.Incarnation}) == (life{shown.Box, shown.Incarnation}) {
				report(InvariantMonotonicConfig, "version %d after %d: %s", later.Version, shown.Version, later.story())
			}
		}
	}
}

// checkKeys looks for calls that were served with the key of a version that was replaced.
func (h *History) checkKeys(report reporter) {
	replaced := map[int]time.Duration{}
	for i, version := range h.Versions {
		if i > 0 {
			replaced[h.Versions[i-1].Version] = version.At
		}
	}
	for i := range h.Attempts {
		a := &h.Attempts[i]
		at, gone := replaced[a.Version]
		if a.Version > 0 && gone && a.Outcome == CompleteResponse && a.Began > at+inForce && h.inTouch(a.Box, a.Began) {
			report(InvariantRevokedKeys, "version %d was replaced at %v: %s", a.Version, at.Round(time.Millisecond), a.story())
		}
	}
}

// checkLeaving looks for calls that reached a server long after it said that it leaves.
func (h *History) checkLeaving(report reporter) {
	byID := h.byID()
	for _, leaving := range h.LeavingPeriods {
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			late := arrival.Server == leaving.Server && arrival.At > leaving.At+leaveLimit && arrival.At < leaving.Until
			if late && a != nil && !h.endedSince(leaving, arrival.At) && a.Began > leaving.At && h.inTouch(a.Box, arrival.At) {
				report(InvariantLeaving, "server %d left at %v, and was reached at %v: %s", leaving.Server, leaving.At.Round(time.Millisecond), arrival.At.Round(time.Millisecond), a.story())
			}
		}
	}
}

// endedSince reports whether a server that had said it leaves ended before a moment: its next life
// leaves no more.
func (h *History) endedSince(leaving Event, at time.Duration) bool {
	return h.disturbed(leaving.At, at, func(f Fault) bool { return f.Kind == KillServer && f.Target == leaving.Server })
}
