// Choosing a server for a call: package placing gets a description of the servers that may take the
// call, and the call is counted at the chosen one, which returns a Hold. Choosing and counting
// happen under one lock, so that concurrent calls don't all see the same server idle.

package fleet

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
)

// Query describes a call that needs a server.
type Query struct {
	Service string
	// Zone is the zone of this box.
	Zone string
	// Exclude lists incarnations that were tried already.
	Exclude []string
	// Software is the software version of the servers that may be chosen; nil allows all.
	Software *string
	// Model is set for calls with a prompt.
	Model string
	// VersionCost returns the cost of an answer by a version of the weights, in milliseconds of
	// waiting, and whether that version may answer.
	VersionCost func(weights int) (cost float64, may bool)
	// Load is the work of the call, as package placing weighs it. Choose sets its TokenCost and
	// SlotTime, which the fleet learns.
	Load placing.Query
	// AnswerTokens is the maximum length of the answer to a prompt.
	AnswerTokens int
	// PrefillWork returns how many prompt tokens a runner with a version of the weights would have
	// to compute itself; nil without a prompt.
	PrefillWork func(weights int) int
	// Fetch returns the zone from which a runner with a version of the weights would fetch most of
	// the prompt's parts, and how long that takes within the zone; nil without a prompt. From
	// another zone it takes twice as long.
	Fetch func(weights int) (zone string, within time.Duration)
	// Lag is the age of the load reports from other boxes of this zone, OtherZoneLag that of
	// reports from other zones, and Boxes the number of all boxes.
	Lag          time.Duration
	OtherZoneLag time.Duration
	Boxes        int
	// BoxSeed is a number that differs between boxes.
	BoxSeed uint64
	// OwnsHeadroom reports whether a server's headroom is assigned to this box; nil means that none
	// is.
	OwnsHeadroom func(incarnation string) bool
	// ConnectionLimit bounds this box's concurrent calls to one server.
	ConnectionLimit int
	// ZoneAllowed reports whether servers of a zone may be chosen; nil allows all.
	ZoneAllowed func(zone string) bool
	// HealthyOnly excludes suspect servers even if all are suspect.
	HealthyOnly bool
	// SuspectAllowed is an incarnation at which PlaceAt places the call although it is suspect; empty
	// for none.
	SuspectAllowed string
	// UncappedOnly excludes servers at which this box counts its calls because they are cold or brittle
	// or set a rate limit. It is set if the call belongs to another box, or is made in parallel to another
	// try.
	UncappedOnly bool
}

// Choose places a call and counts it at its server. It returns nil if no server may take it.
func (f *Fleet) Choose(query Query) *Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	state, candidate := f.pick(&query, now, true)
	if state == nil {
		return nil
	}
	f.arrivals.add(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, &candidate, &query, now)
}

// ChooseUnless is like Choose, but doesn't place the call if skip returns true for the best server
// and the unreported work that may have reached it, or if the room there may be gone by calls of
// other boxes that aren't reported yet. In all cases it returns the zone of the best
// server, which is empty if there is none. Calling Best first and Choose afterwards would describe
// all servers twice.
func (f *Fleet) ChooseUnless(query Query, skip func(best *placing.Candidate, unreportedWork float64) bool) (hold *Hold, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	found := f.findServers(&query, now, false)
	state, candidate := found.choose(&query)
	if state == nil {
		return nil, ""
	}
	if skip(&candidate, query.Load.UnreportedWork) || !f.leavesRoom(&query, state, &candidate, now) {
		return nil, found.zone(query)
	}
	f.arrivals.add(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, &candidate, &query, now), state.Zone
}

// Best describes the server that Choose would take, and returns its zone; found is false if there
// is none.
func (f *Fleet) Best(query Query) (best placing.Candidate, zone string, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	servers := f.findServers(&query, boottime.Now(), false)
	state, best := servers.choose(&query)
	return best, servers.zone(query), state != nil
}

// PlaceAt counts a call at a given server: one that another box chose for it, or one to which it returns. It returns nil if the server may
// not take the call by this box's own view.
func (f *Fleet) PlaceAt(query Query, incarnation string) *Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	state := f.servers[incarnation]
	if state == nil || state.Service != query.Service || !f.isEligible(state, &query, now) {
		return nil
	}
	if state.isSuspect(now) && incarnation != query.SuspectAllowed {
		return nil
	}
	f.addLearned(&query)
	candidate := f.describe(state, &query, now)
	f.arrivals.add(float64(candidate.PrefillTokens)*query.Load.TokenCost, now)
	return f.hold(state, &candidate, &query, now)
}

// pick chooses a server, and adds to the query what findServers adds. If byReports is set, the server
// must have room for unreported calls of other boxes. The caller holds mu.
func (f *Fleet) pick(query *Query, now time.Time, byReports bool) (*State, placing.Candidate) {
	found := f.findServers(query, now, byReports)
	return found.choose(query)
}

// findServers finds the servers for a call, and adds to the query what the fleet has learned. The caller
// holds mu.
func (f *Fleet) findServers(query *Query, now time.Time, byReports bool) selection {
	f.decayFailures(now)
	f.addLearned(query)
	found := f.findAdmitting(query, now, byReports)
	if len(found.candidates) == 0 && query.allowLate() {
		found = f.findAdmitting(query, now, byReports)
	}
	if len(found.candidates) == 0 {
		f.startTry(query, now)
	}
	query.Load.OtherZoneLag = float64(query.OtherZoneLag) / float64(time.Millisecond)
	return found
}

// allowLate makes the query one for a late answer. It reports whether the call may get one.
func (q *Query) allowLate() bool {
	if q.Load.LateLimit == 0 {
		return false
	}
	q.Load.PrefillLimit, q.Load.Late = q.Load.LateLimit, true
	return true
}

// findAdmitting finds the servers that admit a call. The caller holds mu.
func (f *Fleet) findAdmitting(query *Query, now time.Time, byReports bool) (found selection) {
	for attempt := range f.attempts(query.Service) {
		found = f.admit(query, f.sample(query, attempt), now)
		// A sample stands for all servers of the service.
		runners := len(found.candidates) * f.groups[query.Service].size() / max(found.scanned, 1)
		query.Load.UnreportedWork = f.arrivals.unreportedWork(query, runners, now)
		f.addUnreported(query, runners, now)
		if byReports {
			f.keepWithRoom(&found, query, now)
		}
		if found.isConclusive() {
			break
		}
	}
	return found
}

// selection is the result of an attempt to place a call among some servers.
type selection struct {
	// scanned and usable count the servers that were looked at, and those that may take the call
	// regardless of their load.
	scanned, usable int
	// admitted has the servers that have the time and the memory for the call, and candidates their
	// descriptions.
	admitted   []*State
	candidates []placing.Candidate
}

// choose returns the best server; nil if there is none.
func (s *selection) choose(query *Query) (*State, placing.Candidate) {
	at := placing.Choose(query.Load, s.candidates)
	if at < 0 {
		return nil, placing.Candidate{}
	}
	return s.admitted[at], s.candidates[at]
}

// zone returns the zone whose owner should place the call; empty if there is no server. The owner
// spreads the calls over its servers itself. If the choice of a zone were spread by the unreported
// work, which in a burst exceeds the cost of another zone, most calls would leave their own zone,
// and count twice at its owner for as long as load reports take between zones.
func (s *selection) zone(query Query) string {
	query.Load.UnreportedWork = 0
	state, _ := s.choose(&query)
	if state == nil {
		return ""
	}
	return state.Zone
}

// isConclusive reports whether no further servers need to be looked at: there is one for the call,
// or so many usable ones lack the capacity that others will too.
func (s *selection) isConclusive() bool {
	return len(s.candidates) > 0 || s.usable >= minConclusive
}

// minConclusive is the number of usable servers without capacity for a call from which on it is not
// tried at others. If one server in a hundred had capacity, all of them would lack it once in a
// hundred calls.
const minConclusive = 400

// admit finds out which of some servers have the time and the memory for a call. It reuses the slice
// of the servers. The caller holds mu.
func (f *Fleet) admit(query *Query, servers []*State, now time.Time) selection {
	usable := f.usableServers(query, servers, now)
	result := selection{scanned: len(servers), usable: len(usable), admitted: usable[:0], candidates: make([]placing.Candidate, 0, len(usable))}
	for _, state := range usable {
		candidate := f.describe(state, query, now)
		if f.admits(query, &candidate) {
			result.candidates, result.admitted = append(result.candidates, candidate), append(result.admitted, state)
		}
	}
	return result
}

// admits reports whether a server has a slot, the time and the memory for a call. Its headroom counts
// if that is assigned to this box. The assignment takes a hash for each box, so it is asked for only
// where it decides.
func (f *Fleet) admits(query *Query, candidate *placing.Candidate) bool {
	if placing.Admits(query.Load, candidate) {
		return true
	}
	if query.OwnsHeadroom == nil {
		return false
	}
	candidate.Headroom = true
	return placing.Admits(query.Load, candidate) && query.OwnsHeadroom(candidate.Name)
}

// usableServers returns those of some servers that may take a call, regardless of their load. It
// reuses the slice of the servers. The caller holds mu.
func (f *Fleet) usableServers(query *Query, servers []*State, now time.Time) []*State {
	healthy, suspect := servers[:0], []*State(nil)
	for _, state := range servers {
		switch {
		case !f.isEligible(state, query, now):
		case f.isSuspect(state, now):
			suspect = append(suspect, state)
		default:
			healthy = append(healthy, state)
		}
	}
	if len(healthy) == 0 && !query.HealthyOnly {
		// If all are suspect, the cause may be high load or this box's own network link.
		return suspect
	}
	return healthy
}

// isSuspect reports whether a server is avoided because it hasn't responded.
func (f *Fleet) isSuspect(state *State, now time.Time) bool {
	return state.isSuspect(now) && f.cfg.Mechanisms.Enabled(mechanism.Suspicion)
}

// isEligible reports whether a server may take a call, regardless of whether it is suspect. Where
// boxes keep to shares, most servers have none left at high load, so that is checked first. The
// caller holds mu.
func (f *Fleet) isEligible(state *State, query *Query, now time.Time) bool {
	return f.hasShare(state, query, now) && f.isOpen(state, query, now)
}

// isOpen reports whether a server takes such calls at all, whichever box they come from. The caller
// holds mu.
func (f *Fleet) isOpen(state *State, query *Query, now time.Time) bool {
	if state.isDraining() || state.stated().IsPaused(now) || !f.isPresent(state, now) || now.Before(state.pausedUntil) || now.Before(state.weightOrderUntil) || now.Before(state.replacedUntil) {
		return false
	}
	if f.evacuated.IsEvacuated(state.Zone) || query.ZoneAllowed != nil && !query.ZoneAllowed(state.Zone) {
		return false
	}
	if query.Software != nil && state.Software != *query.Software {
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

// hasShare reports whether this box may send one more call to a server: it has some left of what boxes
// divide among each other. The caller holds mu.
func (f *Fleet) hasShare(state *State, query *Query, now time.Time) bool {
	switch {
	case f.lacksRoom(state, now), f.isColdExcluded(state, now), f.lacksRate(state, now):
		return false
	case query.UncappedOnly && f.isCapped(state, now):
		return false
	default:
		return query.ConnectionLimit == 0 || state.inFlight < query.ConnectionLimit
	}
}

// describe returns the input of package placing for a server and a call: the work of all boxes
// there, and the work of the call itself. The caller holds mu.
func (f *Fleet) describe(state *State, query *Query, now time.Time) placing.Candidate {
	others := &state.others
	candidate := placing.Candidate{
		Name: state.Incarnation, InFlight: state.inFlight + others.inFlight, Slots: state.Slots,
		PendingTokens: state.pendingTokens + others.pendingTokens, HeldTokens: state.totalHeldTokens(),
		OtherZone: state.Zone != query.Zone, FailureRate: state.failureRate, Cold: f.isCold(state, now),
		Exclusive: f.isCapped(state, now), Lateness: f.relativeLateness(state, now),
		Suspect: f.isSuspect(state, now),
	}
	if f.cfg.Mechanisms.Enabled(mechanism.ReadRates) {
		candidate.TokenCost = state.prefillCost
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
