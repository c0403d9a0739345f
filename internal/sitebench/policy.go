// The placement policies that are compared. Each chooses a runner for a call, or none.

package sitebench

import (
	"slices"

	"github.com/cometlock/cometlock/internal/placing"
)

// Policy is a placement policy.
type Policy struct {
	Name         string
	selectRunner func(c *call, query placing.Query, candidates []placing.Candidate) int
	// unbounded policies do not check whether a runner has time and memory for the call.
	unbounded bool
	// withoutOwners makes each box place its calls itself, even those that the owners of a zone's
	// runners would place.
	withoutOwners bool
	// clairvoyant policies know the current work of all boxes without delay, and a part that any
	// runner has prefilled is never prefilled again.
	clairvoyant bool
}

// InUse is the policy that entry boxes use.
func InUse() Policy { return Policy{Name: "in use", selectRunner: inUse} }

// Clairvoyant is an upper bound rather than a feasible policy: all runners share one unlimited
// cache without transfer times, and all boxes know the current state.
func Clairvoyant() Policy {
	return Policy{Name: "clairvoyant bound", selectRunner: inUse, clairvoyant: true}
}

// WithoutOwners is the policy that entry boxes use where runners have no owners.
func WithoutOwners() Policy {
	return Policy{Name: "each box alone", selectRunner: inUse, withoutOwners: true}
}

// Policies returns all policies, the one in use first.
func Policies() []Policy {
	return []Policy{
		InUse(),
		{Name: "without homes", selectRunner: withoutHomes},
		{Name: "rendezvous", selectRunner: rendezvous, unbounded: true},
		{Name: "least in flight", selectRunner: leastInFlight, unbounded: true},
		Clairvoyant(),
	}
}

// choose returns a runner for a call, or nil.
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

// shouldAskOwner reports whether the owners of the runners place the call. best is the runner that
// the call's box would choose itself, or nil.
func (p Policy) shouldAskOwner(c *call, best *runner) bool {
	if c.sim.site.Zones == 0 || p.withoutOwners || p.clairvoyant {
		return false
	}
	if best == nil {
		return placing.ShouldAskOwner(int(c.tokens()), nil, 0)
	}
	candidate := c.candidateFor(best, false)
	unreported := c.sim.arrivals[c.box].unreported(c.sim, len(c.sim.runners))
	return placing.ShouldAskOwner(int(c.tokens()), &candidate, unreported)
}

func (sim *simulation) zoneRunners(number int) []*runner {
	var runners []*runner
	for i := number % sim.site.Zones; i < len(sim.runners); i += sim.site.Zones {
		runners = append(runners, sim.runners[i])
	}
	return runners
}

// chooseAmong chooses one of the runners in pool, as their owner or as the box of the call.
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

// exactCandidate returns the actual state of a runner.
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

// inUse chooses a runner as entry boxes do.
func inUse(_ *call, query placing.Query, candidates []placing.Candidate) int {
	return placing.Choose(query, candidates)
}

// withoutHomes chooses as entry boxes do, but without affinity for calls that share a part.
func withoutHomes(_ *call, query placing.Query, candidates []placing.Candidate) int {
	query.AffinityKey = 0
	return placing.Choose(query, candidates)
}

// rendezvous sends all calls with the same shared part to the same runner, whatever its load.
// Short calls go to the runner with the fewest calls.
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

// leastInFlight chooses the runner with the fewest calls, whatever their size.
func leastInFlight(_ *call, _ placing.Query, candidates []placing.Candidate) int {
	best := -1
	for i := range candidates {
		if best < 0 || candidates[i].InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}
