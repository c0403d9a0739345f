// The policies that are compared. Each chooses a runner for a call, or none.

package sitebench

import (
	"slices"

	"github.com/cometlock/cometlock/internal/placing"
)

// Policy chooses runners.
type Policy struct {
	Name         string
	selectRunner func(c *call, query placing.Query, candidates []placing.Candidate) int
	// unbounded policies do not judge whether a runner has time and memory.
	unbounded bool
	// alone has boxes place by themselves where owners of a zone's runners would.
	withoutOwners bool
	// clairvoyant knows the work of all boxes at once, and that what any runner has read
	// need not be read again.
	clairvoyant bool
}

// InUse is the policy that entry boxes use.
func InUse() Policy { return Policy{Name: "in use", selectRunner: inUse} }

// Clairvoyant is no policy but a bound: one pooled memory without limit, whose content
// needs no moving, and boxes that know everything at once.
func Clairvoyant() Policy {
	return Policy{Name: "clairvoyant bound", selectRunner: inUse, clairvoyant: true}
}

// WithoutOwners is the policy that entry boxes use where nobody owns runners.
func WithoutOwners() Policy {
	return Policy{Name: "each box alone", selectRunner: inUse, withoutOwners: true}
}

// Policies gives all policies, the one in use first.
func Policies() []Policy {
	return []Policy{
		InUse(),
		{Name: "without homes", selectRunner: withoutHomes},
		{Name: "rendezvous", selectRunner: rendezvous, unbounded: true},
		{Name: "least in flight", selectRunner: leastInFlight, unbounded: true},
		Clairvoyant(),
	}
}

// choose gives a runner for a call.
func (p Policy) choose(c *call) *runner {
	best := p.chooseAmong(c, c.sim.runners, false)
	if c.viaOwner = p.shouldAskOwner(c, best); !c.viaOwner {
		return best
	}
	for i := range c.sim.site.Zones {
		if chosen := p.chooseAmong(c, c.sim.zoneRunners(c.box+i), true); chosen != nil {
			return chosen
		}
	}
	return nil
}

// asksOwners reports whether a call gets its place from the owners of runners, by the one that
// its box would choose; nil for none.
func (p Policy) shouldAskOwner(c *call, best *runner) bool {
	if c.sim.site.Zones == 0 || p.withoutOwners || p.clairvoyant {
		return false
	}
	if best == nil {
		return placing.ShouldAskOwner(int(c.tokens()), nil, 0)
	}
	candidate := c.candidateFor(best, false)
	unseen := c.sim.arrivals[c.box].unreported(c.sim, len(c.sim.runners))
	return placing.ShouldAskOwner(int(c.tokens()), &candidate, unseen)
}

// zone lists the runners of a zone.
func (sim *simulation) zoneRunners(number int) []*runner {
	var runners []*runner
	for i := number % sim.site.Zones; i < len(sim.runners); i += sim.site.Zones {
		runners = append(runners, sim.runners[i])
	}
	return runners
}

// chooseOf chooses among some runners, as their owner or as the box of the call.
func (p Policy) chooseAmong(c *call, pool []*runner, owner bool) *runner {
	query := c.query()
	var runners []*runner
	var candidates []placing.Candidate
	for _, r := range pool {
		if r.draining || r.hangDetected {
			continue
		}
		candidate := c.candidateFor(r, owner)
		if p.clairvoyant {
			candidate = c.exactCandidate(r)
		}
		if p.unbounded || placing.Admits(query, &candidate) {
			runners, candidates = append(runners, r), append(candidates, candidate)
		}
	}
	if p.clairvoyant {
		query.AffinityKey = 0
	}
	if c.sim.site.Zones > 0 && !owner && !p.clairvoyant {
		query.UnreportedWork = c.sim.arrivals[c.box].unreported(c.sim, len(candidates))
	}
	at := p.selectRunner(c, query, candidates)
	if at < 0 {
		return nil
	}
	c.workMillis = float64(candidates[at].PrefillTokens) * query.TokenCost
	return runners[at]
}

// describeWhole writes down a runner as it is.
func (c *call) exactCandidate(r *runner) placing.Candidate {
	candidate := c.candidateFor(r, false)
	var all boxWork
	for _, work := range r.work {
		all.add(work)
	}
	candidate.InFlight, candidate.PendingTokens, candidate.HeldTokens = all.calls, all.pending, all.held
	if c.sim.prefilled[c.keyFor(r.weights)] {
		candidate.PrefillTokens = int(c.ownTokens)
	}
	return candidate
}

// inUse chooses as entry boxes do.
func inUse(_ *call, query placing.Query, candidates []placing.Candidate) int {
	return placing.Choose(query, candidates)
}

// withoutHomes chooses as entry boxes would if calls that share a part met nowhere.
func withoutHomes(_ *call, query placing.Query, candidates []placing.Candidate) int {
	query.AffinityKey = 0
	return placing.Choose(query, candidates)
}

// rendezvous sends calls with the same shared part to the same runner, whatever waits
// there, and those without one to the least busy.
func rendezvous(c *call, query placing.Query, candidates []placing.Candidate) int {
	if query.Tokens < placing.MinAffinityTokens {
		return leastInFlight(c, query, candidates)
	}
	best, bestScore := -1, 0.0
	for i, r := range c.sim.runners {
		at := slices.IndexFunc(candidates, func(candidate placing.Candidate) bool { return candidate.Name == r.name })
		if score := rendezvousScore(c.keyFor(firstWeights), i); at >= 0 && (best < 0 || score > bestScore) {
			best, bestScore = at, score
		}
	}
	return best
}

// leastInFlight chooses the runner with the fewest calls, whatever they bring.
func leastInFlight(_ *call, _ placing.Query, candidates []placing.Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}
