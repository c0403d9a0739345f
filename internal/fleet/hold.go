// A call's place at its server, from the choice to the call's end. It counts the call and
// its prompt as work of the server's, and what the call shows of the server is noted
// there, since that is what the next choice goes by.

package fleet

import (
	"cmp"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/placing"
)

// Hold is a call's place at a server. Each must end with one call of Done.
type Hold struct {
	fleet *Fleet
	state *State
	// tokens is the prompt work that is not done.
	tokens int
	// held is the memory that the call takes.
	held   int
	server Server
	// weights is the version that the call was placed for.
	weights int
	// since is when the call was placed; alone says that no other prompt waited to
	// be read then.
	since time.Time
	alone bool
	// fetches says that a part of its prompt was to be fetched.
	fetches bool
	// goneFor is how long before the choice the registry had dropped the server.
	goneFor time.Duration
	// reading is how long the server was expected to take to read this prompt and those
	// before it.
	reading time.Duration
	// handOverBy is until when the call may be handed over; zero where that is not bounded. cold and
	// limited say why it is.
	handOverBy    time.Time
	cold, limited bool
}

// Overdue gives how much later it is than when the first event was expected.
func (h *Hold) Overdue() time.Duration { return boottime.Since(h.since) - firstStep - h.reading }

// Expected is how long after it was placed the call's first event was expected.
func (h *Hold) Expected() time.Duration { return firstStep + h.reading }

// Server gives the server as it was when the call was placed.
func (h *Hold) Server() Server { return h.server }

// MayHandOver reports whether the call may still be handed over: a place at a server that bears few
// calls is for the moment.
// Servers may also have said since that they drain or want a pause.
func (h *Hold) MayHandOver() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := boottime.Now()
	if h.state.advised.Draining() || h.state.advised.PausedFor(now) > 0 {
		return false
	}
	return h.handOverBy.IsZero() || now.Before(h.handOverBy)
}

// Cold reports whether the server was cold when the call was placed.
func (h *Hold) Cold() bool { return h.cold }

// Limited reports whether the server named a rate limit when the call was placed.
func (h *Hold) Limited() bool { return h.limited }

// Weights gives the weight version that the call was placed for.
func (h *Hold) Weights() int { return h.weights }

// GoneFor is for how long the server had not been listed when it was chosen; zero if it was.
func (h *Hold) GoneFor() time.Duration { return h.goneFor }

// hold counts a call at its server. The caller holds mu.
func (f *Fleet) hold(state *State, candidate placing.Candidate, query Query, now time.Time) *Hold {
	if state.inFlight == 0 {
		state.silentSince = now
	}
	f.changed.Broadcast()
	state.inFlight++
	state.pendingTokens += candidate.WorkTokens
	state.heldTokens += query.Load.Tokens
	goneFor := time.Duration(0)
	if !state.gone.IsZero() {
		goneFor = now.Sub(state.gone)
	}
	cold, limited := f.noteCold(state, now), state.advised.NoteSent(now, f.position(state, now))
	handOverBy := time.Time{}
	if cold || limited {
		handOverBy = now.Add(coldstart.AdmittedFor)
	}
	weights := state.weights(query.Model)
	fetches := false
	if query.Fetch != nil {
		_, within := query.Fetch(weights)
		fetches = within > 0
	}
	cost := cmp.Or(candidate.TokenCost, query.Load.TokenCost)
	return &Hold{
		handOverBy: handOverBy, cold: cold, limited: limited,
		fleet: f, state: state, tokens: candidate.WorkTokens, server: state.Server, weights: weights, fetches: fetches,
		held: query.Load.Tokens, since: now, alone: candidate.PendingTokens == 0, goneFor: goneFor,
		reading: time.Duration(float64(candidate.PendingTokens+candidate.WorkTokens) * cost * float64(time.Millisecond)),
	}
}

// Heard notes an event of the answer: the prompt has been read.
func (h *Hold) Heard() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := boottime.Now()
	if h.alone {
		h.fleet.learnRate(h.tokens, now.Sub(h.since))
		if !h.fetches {
			h.fleet.learnReading(h.state, h.tokens, now.Sub(h.since))
		}
		h.alone = false
	}
	h.read()
	h.state.heard(now)
}

// read takes the prompt off the work that waits at the server. The caller holds mu.
func (h *Hold) read() {
	h.state.pendingTokens -= h.tokens
	h.tokens = 0
}

// Speaks reports whether the server has given any sign lately, to whatever call.
func (h *Hold) Speaks() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return !h.state.suspect(boottime.Now())
}

// End is what became of a call at a server.
type End uint8

// Ends of a call at a server.
const (
	// EndServed calls got an answer that speaks for the server.
	EndServed End = iota + 1
	// EndFailed calls got a failure of the server's own, or broke off.
	EndFailed
	// EndUnreachable calls never got to the server, or it fell silent.
	EndUnreachable
	// EndBusy calls were refused, not run, by a server without room.
	EndBusy
	// EndMoved calls were refused since another incarnation, or other weights,
	// are there now.
	EndMoved
	// EndAbandoned calls were given up by the caller.
	EndAbandoned
	// EndReplaced calls were refused by another incarnation at the server's address.
	EndReplaced
)

// Pauses after refusals.
const (
	// busyPause gives a full runner time to end some runs; one takes 100 ms and
	// more.
	busyPause = 60 * time.Millisecond
	// movedPause spans the lag of the registry after a change of weights.
	movedPause = 500 * time.Millisecond
	// lapsedHeartbeats is after how many without a write an entry lapses.
	lapsedHeartbeats = 3
	// lapseMargin is the lag of the registry after that.
	lapseMargin = time.Second
)

// lapseTime is how long the entry of a server that was replaced may stay in the registry.
func lapseTime(heartbeat time.Duration) time.Duration {
	return lapsedHeartbeats*heartbeat + lapseMargin
}

// Done gives the place back and notes what the call showed of the server.
func (h *Hold) Done(end End) {
	defer h.fleet.freed.Broadcast()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.changed.Broadcast()
	h.read()
	h.state.inFlight--
	h.state.heldTokens -= h.held
	now := boottime.Now()
	if end != EndUnreachable && end != EndAbandoned || h.state.inFlight == 0 {
		h.state.heard(now)
	}
	switch end {
	case EndServed:
		h.state.noteSuccess()
	case EndFailed:
		h.state.noteFailure(now, false)
	case EndUnreachable:
		h.state.noteFailure(now, true)
	case EndBusy:
		h.state.pausedUntil = now.Add(busyPause)
	case EndMoved:
		h.state.pausedUntil = now.Add(movedPause)
	case EndReplaced:
		h.state.replacedUntil = now.Add(lapseTime(h.fleet.cfg.Heartbeat))
	case EndAbandoned:
	}
}
