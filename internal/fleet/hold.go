// A call's place at its server, from the choice to the end of the call. The call and its prompt
// count as the server's work in that time. What the call shows about the server is recorded there
// too, for the next choice.

package fleet

import (
	"cmp"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/placing"
)

// Hold is a call's place at a server. Done must be called exactly once.
type Hold struct {
	fleet *Fleet
	state *State
	// prefillTokens counts the prompt tokens whose prefill isn't done.
	prefillTokens int
	// memoryTokens is the memory that the call uses.
	memoryTokens int
	server       Server
	// weights is the version of the weights that the call was placed for.
	weights int
	// placedAt is when the call was placed; alone means that no other prompt was waiting for its
	// prefill then.
	placedAt time.Time
	alone    bool
	// answerTokens is the maximum length of the answer.
	answerTokens int
	// begun means that an event of the answer has arrived.
	begun bool
	// fetchesPart means that a part of the prompt had to be fetched.
	fetchesPart bool
	// delistedFor is how long the server had been delisted when it was chosen.
	delistedFor time.Duration
	// prefillTime is the expected time for the prefill of this prompt and those before it.
	prefillTime time.Duration
	// handOverBy is the time until which the call may be sent; zero means no limit. cold and
	// limited are the possible reasons for a limit.
	handOverBy    time.Time
	cold, limited bool
	// brittle means that the server was brittle, which limits the time as well.
	brittle bool
}

// Overdue returns how much time has passed since the first event was expected.
func (h *Hold) Overdue() time.Duration {
	return boottime.Since(h.placedAt) - firstStepTime - h.prefillTime
}

// ExpectedFirstEvent returns the expected time from the placement to the first event.
func (h *Hold) ExpectedFirstEvent() time.Duration { return firstStepTime + h.prefillTime }

// Server returns the server as it was when the call was placed.
func (h *Hold) Server() Server { return h.server }

// MayHandOver reports whether the call may still be sent. A place at a cold or rate-limited server
// is valid only briefly, and the server may have started to drain or requested a pause in the
// meantime.
func (h *Hold) MayHandOver() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := boottime.Now()
	if h.state.stated().Draining() || h.state.stated().IsPaused(now) || isBrittle(h.state) && h.state.stated().IsBlocked(now) {
		return false
	}
	return h.handOverBy.IsZero() || now.Before(h.handOverBy)
}

// Cold reports whether the server was cold when the call was placed.
func (h *Hold) Cold() bool { return h.cold }

// Limited reports whether the server had a rate limit when the call was placed.
func (h *Hold) Limited() bool { return h.limited }

// Brittle reports whether the server was brittle when the call was placed.
func (h *Hold) Brittle() bool { return h.brittle }

// Weights returns the version of the weights that the call was placed for.
func (h *Hold) Weights() int { return h.weights }

// DelistedFor returns how long the server had been delisted when it was chosen; zero if it was
// listed.
func (h *Hold) DelistedFor() time.Duration { return h.delistedFor }

// hold counts a call at its server. The caller holds mu.
func (f *Fleet) hold(state *State, candidate *placing.Candidate, query *Query, now time.Time) *Hold {
	if state.inFlight == 0 {
		state.silentSince = now
	}
	f.loadsChanged.Broadcast()
	f.reporting[state] = struct{}{}
	state.inFlight++
	state.pendingTokens += candidate.PrefillTokens
	state.heldTokens += query.Load.Tokens
	f.notePlaced(state, query, now)
	delistedFor := time.Duration(0)
	if !state.delistedAt.IsZero() {
		delistedFor = now.Sub(state.delistedAt)
	}
	cold, limited := f.countColdCall(state, now), state.stated().NoteSent(now, f.limitPosition(state))
	handOverBy, brittle := time.Time{}, isBrittle(state)
	if cold || limited || brittle {
		handOverBy = now.Add(coldstart.AdmissionValidity)
	}
	weights := state.weights(query.Model)
	fetchesPart := false
	if query.Fetch != nil {
		_, within := query.Fetch(weights)
		fetchesPart = within > 0
	}
	cost := cmp.Or(candidate.TokenCost, query.Load.TokenCost)
	return &Hold{
		handOverBy: handOverBy, cold: cold, limited: limited, brittle: brittle,
		fleet: f, state: state, prefillTokens: candidate.PrefillTokens, server: state.Server, weights: weights, fetchesPart: fetchesPart,
		memoryTokens: query.Load.Tokens, answerTokens: query.AnswerTokens, placedAt: now, alone: candidate.PendingTokens == 0, delistedFor: delistedFor,
		prefillTime: time.Duration(float64(candidate.PendingTokens+candidate.PrefillTokens) * cost * float64(time.Millisecond)),
	}
}

// NoteEvent records an event of the answer, which means that the prefill is done.
func (h *Hold) NoteEvent() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	now := boottime.Now()
	if !h.begun {
		h.learnLateness(now)
	}
	if h.alone {
		h.fleet.learnPrefillRate(h.prefillTokens, now.Sub(h.placedAt))
		if !h.fetchesPart {
			h.fleet.learnPrefillCost(h.state, h.prefillTokens, now.Sub(h.placedAt))
		}
		h.alone = false
	}
	h.begun = true
	h.finishPrefill()
	h.state.noteActivity(now)
}

// finishPrefill subtracts the prompt from the server's pending work. The caller holds mu.
func (h *Hold) finishPrefill() {
	h.state.pendingTokens -= h.prefillTokens
	h.prefillTokens = 0
}

// IsResponsive reports whether the server recently responded to any call.
func (h *Hold) IsResponsive() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return !h.state.isSuspect(boottime.Now())
}

// Outcome is the result of a call at a server.
type Outcome uint8

// Outcomes of a call at a server.
const (
	// OutcomeServed means that an answer showed that the server works.
	OutcomeServed Outcome = iota + 1
	// OutcomeFailed means that the server failed or the answer was cut off.
	OutcomeFailed
	// OutcomeUnreachable means that the call didn't reach the server, or that the server stopped
	// responding.
	OutcomeUnreachable
	// OutcomeBusy means that a server without capacity rejected the call without running it.
	OutcomeBusy
	// OutcomeMoved means that the call was rejected because the server now has another incarnation
	// or other weights.
	OutcomeMoved
	// OutcomeAbandoned means that the call ended without a result that shows anything about the
	// server, for example because the caller cancelled.
	OutcomeAbandoned
	// OutcomeReplaced means that another incarnation at the server's address rejected the call.
	OutcomeReplaced
	// OutcomeFull means that a server without room for the call rejected it without running it.
	OutcomeFull
)

// Pauses after rejected calls.
const (
	// busyPause gives a full runner time to finish some runs, each of which takes 100 ms or more.
	busyPause = 60 * time.Millisecond
	// movedPause covers the lag of the registry after a change of weights.
	movedPause = 500 * time.Millisecond
	// lapseHeartbeats is the number of heartbeats without a write after which an entry lapses.
	lapseHeartbeats = 3
	// lapseMargin covers the lag of the registry after that.
	lapseMargin = time.Second
)

// maxEntryLifetime returns how long the entry of a replaced server may remain in the registry.
func maxEntryLifetime(heartbeat time.Duration) time.Duration {
	return lapseHeartbeats*heartbeat + lapseMargin
}

// Done frees the place and records what the call showed about the server.
func (h *Hold) Done(outcome Outcome) {
	defer h.fleet.capacityChanged.Broadcast()
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	h.fleet.loadsChanged.Broadcast()
	h.finishPrefill()
	h.learnSlotTime(outcome, boottime.Now())
	h.fleet.learnRoom(h.state, outcome, h.placedAt, boottime.Now())
	h.state.inFlight--
	h.state.heldTokens -= h.memoryTokens
	now := boottime.Now()
	if outcome != OutcomeUnreachable && outcome != OutcomeAbandoned || h.state.inFlight == 0 {
		h.state.noteActivity(now)
	}
	switch outcome {
	case OutcomeServed:
		h.state.noteSuccess()
	case OutcomeFailed:
		h.fleet.noteFailure(h.state, now, false)
	case OutcomeUnreachable:
		h.fleet.noteFailure(h.state, now, true)
	case OutcomeBusy, OutcomeFull:
		h.state.pausedUntil = now.Add(busyPause)
	case OutcomeMoved:
		h.state.pausedUntil = now.Add(movedPause)
	case OutcomeReplaced:
		h.state.replacedUntil = now.Add(maxEntryLifetime(h.fleet.cfg.Heartbeat))
		h.fleet.reporting[h.state] = struct{}{}
	case OutcomeAbandoned:
	}
}
