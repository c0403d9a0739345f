package decide

import "math"

// TwoHomes is the policy in use. Rendezvous hashing assigns every prompt a first and
// a second home. A request runs on its first home unless another candidate is both idle
// and cheaper.
//
// Cheapest has the lower cost for each single request, but performs far worse over
// time. Under load it recomputes a context wherever the queue is short. The copies
// evict other contexts from the caches, those are recomputed elsewhere too, and the
// additional work keeps the queues long (docs/design/placement.md has the figures).
// Two rules prevent this feedback loop. A context has at most two homes, so there
// are few copies. And a request moves only to a runner whose wait is at most IdleWait,
// so an overloaded zone without idle runners gets no additional work.
type TwoHomes struct {
	// IdleWait is the wait in seconds up to which a runner counts as idle.
	IdleWait float64
	// RecomputeFactor is the cost of a second of recomputing in seconds of waiting, for
	// a deployment that gives both the same weight.
	RecomputeFactor float64
}

// Defaults of TwoHomes.
const (
	DefaultIdleWait        = 1.0
	DefaultRecomputeFactor = 4.0
)

// maxShortTokens is the length up to which a prompt is not worth sending to the runner
// that may have its prefix. A short prompt goes to the cheapest of its candidates, even
// if that one is not idle. It does not go to the cheapest of all runners: load reports
// lag and are the same for every entry box, so all boxes would send to the runner that
// was idle at the time of its report.
const maxShortTokens = 1024

// Choose implements Policy.
func (t TwoHomes) Choose(query Query, runners []Runner) Decision {
	first, second, warmest := findCandidates(query, runners)
	if first == NoRunner {
		return Decision{Runner: NoRunner}
	}
	best := t.bestOn(query, runners, first)
	short := query.PromptTokens <= maxShortTokens
	for _, other := range [...]int{second, warmest} {
		if other == NoRunner || other == first || (!short && queueWait(&runners[other]) > t.IdleWait) {
			continue
		}
		if candidate := t.bestOn(query, runners, other); candidate.Cost < best.Cost {
			best = candidate
		}
	}
	return best
}

// findCandidates returns the two eligible runners of lowest home rank, and the runner
// that has the most of the prompt in its cache if that is more than half of it: when
// runners join or leave, the homes change, and the context is still cached at a former
// home. A smaller part, such as a prefix that all contexts of an organisation share,
// does not count, since it would send all new contexts of an organisation to the same
// runner.
func findCandidates(query Query, runners []Runner) (first, second, warmest int) {
	first, second, warmest = NoRunner, NoRunner, NoRunner
	warmestTokens := query.PromptTokens / 2
	for i := range runners {
		runner := &runners[i]
		if !runner.Eligible {
			continue
		}
		switch {
		case first == NoRunner || runner.HomeRank < runners[first].HomeRank:
			first, second = i, first
		case second == NoRunner || runner.HomeRank < runners[second].HomeRank:
			second = i
		}
		cached := min(runner.WarmTokens, query.PromptTokens)
		if cached > warmestTokens || (cached == warmestTokens && warmest != NoRunner && runner.HomeRank < runners[warmest].HomeRank) {
			warmest, warmestTokens = i, cached
		}
	}
	return first, second, warmest
}

// bestOn returns the cheaper decision of running a query on a runner with and without
// a fetch.
func (t TwoHomes) bestOn(query Query, runners []Runner, index int) Decision {
	runner := &runners[index]
	best := t.estimateCost(query, runner, false)
	if runner.Fetch.Tokens > runner.WarmTokens {
		if fetched := t.estimateCost(query, runner, true); fetched.Cost < best.Cost {
			best = fetched
		}
	}
	best.Runner = index
	return best
}

// estimateCost returns the estimate of a query on a runner with a cost in seconds of
// waiting.
func (t TwoHomes) estimateCost(query Query, runner *Runner, withFetch bool) Decision {
	decision := Estimate(query, runner, withFetch)
	factor := t.RecomputeFactor * math.Max(1, query.RecomputeWeight/query.FirstTokenWeight)
	prefill := float64(decision.RecomputedTokens) / runner.PrefillRate
	decision.Cost = decision.FirstTokenSeconds - prefill + factor*prefill
	return decision
}
