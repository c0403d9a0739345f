package decide

import "math"

// TwoHomes is the policy in use. Rendezvous hashing gives every prompt a first
// and a second home; a request leaves its first home only for capacity that
// would lie idle.
//
// Cheapest looks better at every single choice and is far worse over time: under
// load it recomputes a context wherever the queue is short, the copies push
// other contexts out of the caches, those are recomputed elsewhere too, and the
// work that this makes keeps the queues long (docs/design/placement.md has the
// figures). Two rules break the circle. A context has at most two places, so
// copies are few; and a request moves only to a runner whose wait is below Spare,
// so when nothing is idle nobody moves, and overload adds no work.
type TwoHomes struct {
	// IdleWait is the wait in seconds below which a runner counts as idle.
	IdleWait float64
	// RecomputeFactor is how many seconds of waiting one second of recomputing is worth,
	// for a deployment that weighs both alike.
	RecomputeFactor float64
}

// Defaults of TwoHomes, from the policy bench.
const (
	DefaultIdleWait        = 1.0
	DefaultRecomputeFactor = 4.0
)

// shortTokens is the length up to which a prompt is not worth keeping together
// with others: it takes the better of its two places, idle or not. It does not
// take the best of all, since load reports are the same for every entry box and
// lag: all boxes would send to the runner that was idle when it reported.
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

// homes finds the two eligible runners of lowest home rank, and the one that
// holds the most of the prompt if that is more than half: after a runner has
// gone or come, context may be warm where its home no longer is. A smaller part,
// such as the beginning that all contexts of an organisation share, is no reason
// to go anywhere; it would draw an organisation's new contexts to one runner.
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
		held := min(runner.WarmTokens, query.PromptTokens)
		if held > warmestTokens || (held == warmestTokens && warmest != NoRunner && runner.HomeRank < runners[warmest].HomeRank) {
			warmest, warmestTokens = i, held
		}
	}
	return first, second, warmest
}

// weigh gives the better of running a query on a runner with and without a
// fetch, by a cost in seconds of waiting.
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

func (t TwoHomes) estimateCost(query Query, runner *Runner, withFetch bool) Decision {
	decision := Estimate(query, runner, withFetch)
	factor := t.RecomputeFactor * math.Max(1, query.RecomputeWeight/query.FirstTokenWeight)
	prefill := float64(decision.RecomputedTokens) / runner.PrefillRate
	decision.Cost = decision.FirstTokenSeconds - prefill + factor*prefill
	return decision
}
