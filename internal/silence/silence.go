// Package silence decides when a call that hears nothing of its server looks for another one.
// It is plain arithmetic: what has been seen is given to it, and it waits for nothing.
//
// The load that it answers: servers that stand still for some seconds, one by one or all at
// once, while they keep all that they run. Whoever leaves a server soon is served sooner by
// another one, and whoever leaves it for nothing loses an answer that would have come. So a
// silence is only a reason to look for another server, never one to leave this one: that is for
// whoever has found another (package gateway).
package silence

import "time"

const (
	// patienceFactor times the objective is how long a call waits for the first sign of its
	// server.
	patienceFactor = 2
	// shortestPatience bounds that from below: a server may be slow for a moment.
	shortestPatience = 400 * time.Millisecond
	// longestFactor times the objective is how long a prompt waits at a runner that others hear
	// of. Such a runner is busy, and to read the prompt again elsewhere would only make more
	// work; it must be the call that is lost.
	longestFactor = 5
	// streamGap is how long a stream may pause; servers send an event each few milliseconds, and
	// callers leave after two seconds.
	streamGap = 1200 * time.Millisecond
	// heldUp is how late a look may come. After a later one, it is this box that lacked the
	// processor: what its servers have sent may lie unread, and is read within soonAgain.
	heldUp    = 100 * time.Millisecond
	soonAgain = 100 * time.Millisecond
)

// Seen is what is known of a call and its server at one look.
type Seen struct {
	// Objective is that of the call's route; zero where it names none.
	Objective time.Duration
	// Begun says that a part of the answer has come.
	Begun bool
	// Prompt says that the server has a prompt to read before it answers.
	Prompt bool
	// Silent is for how long nothing has come.
	Silent time.Duration
	// Late is how much later than it was due this look comes.
	Late time.Duration
	// Speaks says that other calls have heard of the server lately.
	Speaks bool
}

// Limit is the silence after which a call looks for another server.
func (s Seen) Limit() time.Duration {
	if s.Begun {
		return streamGap
	}
	return max(patienceFactor*s.Objective, shortestPatience)
}

// Again is the time between two looks for another server, while there is none.
func (s Seen) Again() time.Duration { return max(s.Objective/2, shortestPatience/2) }

// Judge reports whether the call is to look for another server now, and otherwise how long until
// the next look.
func (s Seen) Judge() (lookElsewhere bool, again time.Duration) {
	switch limit := s.Limit(); {
	case s.Silent < limit:
		return false, limit - s.Silent
	case s.Late > heldUp:
		return false, soonAgain
	case !s.Begun && s.Prompt && s.Speaks && s.Silent < longestFactor*s.Objective:
		return false, s.Again()
	default:
		return true, 0
	}
}
