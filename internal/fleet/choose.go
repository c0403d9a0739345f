// Choosing a server for a call: those that may take it are described to package placing,
// and the call is counted at the chosen one, which gives a Hold. Choosing and counting
// happen under one lock, so that calls that come together do not all see the same server
// free.

package fleet

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
)

// Query asks for a server.
type Query struct {
	Service string
	// Zone is that of this box.
	Zone string
	// Exclude names incarnations that were tried already.
	Exclude []string
	// Model is set for calls with a prompt.
	Model string
	// Outdated gives what answering by a version of its weights costs, in
	// milliseconds of waiting, and whether that version may answer.
	VersionCost func(weights int) (cost float64, may bool)
	// Load is the work that the call brings, as the policy weighs it; Choose sets its
	// TokenCost, which the fleet learns.
	Load placing.Query
	// Work gives the prompt tokens that a runner would read itself, by the
	// version of its weights; nil without a prompt.
	PrefillWork func(weights int) int
	// Fetch gives the zone that most of the prompt's parts are fetched from at a
	// runner of a version, and how long that takes within it; nil without a prompt.
	// It takes as long again from another zone.
	Fetch func(weights int) (zone string, within time.Duration)
	// Lag is how old the word of other boxes of this zone on their work is, LagElsewhere
	// that of boxes in other zones, and Boxes the number of all boxes.
	Lag          time.Duration
	OtherZoneLag time.Duration
	Boxes        int
	// Headroom reports whether a server's headroom belongs to this box; nil means that
	// none does.
	OwnsHeadroom func(incarnation string) bool
	// ConnectionLimit bounds this box's calls at one server.
	ConnectionLimit int
	// In reports whether servers of a zone may be chosen; nil allows all.
	ZoneAllowed func(zone string) bool
	// SoundOnly leaves out servers that are suspected also when all are.
	HealthyOnly bool
	// UncappedOnly leaves out servers whose calls this box counts, since they are cold or name a rate
	// limit: the call is another box's, or is made beside another try.
	UncappedOnly bool
}

// Choose places a call and counts it at its server. It gives nil when no server
// may take it.
func (f *Fleet) Choose(query Query) *Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	state, candidate, query := f.pick(query, now)
	if state == nil {
		return nil
	}
	f.arrivals.note(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, candidate, query, now)
}

// ChooseUnless is Choose, but leaves a call alone if the server that it would take is of a kind, or
// if too much work may have come there unseen: then it gives that server's zone, empty when there is
// none. A call that looked
// first and chose then would have all servers described to it twice.
func (f *Fleet) ChooseUnless(query Query, leave func(best *placing.Candidate, unseen float64) bool) (hold *Hold, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	state, candidate, query := f.pick(query, now)
	if state == nil {
		return nil, ""
	}
	if leave(&candidate, query.Load.UnreportedWork) {
		return nil, state.Zone
	}
	f.arrivals.note(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, candidate, query, now), state.Zone
}

// Best describes the server that Choose would take, and gives its zone; false when there is
// none.
func (f *Fleet) Best(query Query) (best placing.Candidate, zone string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, best, _ := f.pick(query, boottime.Now())
	if state == nil {
		return best, "", false
	}
	return best, state.Zone, true
}

// Take counts a call at a server that another box chose for it. It gives nil where this box
// knows that the server may not take it.
func (f *Fleet) PlaceAt(query Query, incarnation string) *Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	state := f.servers[incarnation]
	if state == nil || state.Service != query.Service || !f.eligible(state, query, now) || state.suspect(now) {
		return nil
	}
	query.Load.TokenCost = f.tokenCost()
	candidate := f.describe(state, query, now)
	f.arrivals.note(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, candidate, query, now)
}

// pick chooses a server, and gives the question with what the fleet adds to it. The caller
// holds mu.
func (f *Fleet) pick(query Query, now time.Time) (*State, placing.Candidate, Query) {
	f.fade(now)
	sound := f.sound(query, now)
	query.Load.TokenCost = f.tokenCost()
	candidates := make([]placing.Candidate, 0, len(sound))
	kept := sound[:0]
	for _, state := range sound {
		candidate := f.describe(state, query, now)
		if placing.Admits(query.Load, &candidate) {
			candidates, kept = append(candidates, candidate), append(kept, state)
		}
	}
	query.Load.UnreportedWork = f.arrivals.unseen(query, len(candidates), now)
	query.Load.OtherZoneLag = float64(query.OtherZoneLag) / float64(time.Millisecond)
	at := placing.Choose(query.Load, candidates)
	if at < 0 {
		return nil, placing.Candidate{}, query
	}
	return kept[at], candidates[at], query
}

// sound lists the servers that are there for a call, however busy they are. The caller
// holds mu.
func (f *Fleet) sound(query Query, now time.Time) []*State {
	var sound, suspect []*State
	for _, state := range f.byService[query.Service] {
		switch {
		case !f.eligible(state, query, now):
		case state.suspect(now) && f.cfg.Mechanisms.Enabled(mechanism.Suspicion):
			suspect = append(suspect, state)
		default:
			sound = append(sound, state)
		}
	}
	if len(sound) == 0 && !query.HealthyOnly {
		// When all look bad the cause may be load, or this box's own link.
		return suspect
	}
	return sound
}

// eligible reports whether a server may take a call by what is known of it, suspicion
// aside. The caller holds mu.
func (f *Fleet) eligible(state *State, query Query, now time.Time) bool {
	if state.isDraining() || state.advised.PausedFor(now) > 0 || !f.present(state, now) || now.Before(state.pausedUntil) || now.Before(state.orderedUntil) || now.Before(state.replacedUntil) {
		return false
	}
	if f.evacuated.IsEvacuated(state.Zone) || query.ZoneAllowed != nil && !query.ZoneAllowed(state.Zone) {
		return false
	}
	if f.isSpared(state, now) || !state.advised.HasRoom(now, f.position(state, now)) || query.UncappedOnly && f.isCapped(state, now) {
		return false
	}
	if query.ConnectionLimit > 0 && state.inFlight >= query.ConnectionLimit {
		return false
	}
	if query.Model != "" {
		weights := state.weights(query.Model)
		if _, may := query.VersionCost(weights); weights == 0 || !may {
			return false
		}
	}
	return !slices.Contains(query.Exclude, state.Incarnation)
}

// describe gives what placing needs to know of a server for a call: the work of all boxes
// there, and what the call itself would bring. The caller holds mu.
func (f *Fleet) describe(state *State, query Query, now time.Time) placing.Candidate {
	others := f.othersAt(state.Incarnation)
	candidate := placing.Candidate{
		Name: state.Incarnation, InFlight: state.inFlight + others.inFlight, Slots: state.Slots,
		PendingTokens: state.pendingTokens + others.pendingTokens, HeldTokens: f.heldAt(state),
		Headroom:  query.OwnsHeadroom != nil && query.OwnsHeadroom(state.Incarnation),
		OtherZone: state.Zone != query.Zone, FailureRate: state.failing, Cold: f.isCold(state, now),
		Exclusive: f.isCapped(state, now),
	}
	if f.cfg.Mechanisms.Enabled(mechanism.ReadRates) {
		candidate.TokenCost = state.readCost
	}
	if query.Model != "" {
		weights := state.weights(query.Model)
		candidate.PrefillTokens = query.PrefillWork(weights)
		candidate.ExtraCost, _ = query.VersionCost(weights)
		if query.Fetch != nil {
			if zone, within := query.Fetch(weights); zone != state.Zone {
				candidate.ExtraCost += float64(within) / float64(time.Millisecond)
			}
		}
	}
	return candidate
}
