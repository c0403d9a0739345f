package decide

// The policies below are what the chosen one is measured against. They are kept
// because a figure without its baseline says nothing.

// RoundRobin takes the runners in turn.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (r *RoundRobin) Choose(query Query, runners []Runner) Decision {
	for range runners {
		r.next = (r.next + 1) % len(runners)
		if runners[r.next].Eligible {
			return estimateFor(query, runners, r.next)
		}
	}
	return Decision{Runner: NoRunner}
}

// LeastLoaded takes the runner with the least work before it.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 { return queueWait(r) })
}

// Rendezvous takes the home of the prompt, whatever its load.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 { return float64(r.HomeRank) })
}

// BoundedRendezvous takes the first home in rank whose wait is at most LoadFactor
// times the mean, or the least loaded runner when there is none.
type BoundedRendezvous struct {
	// LoadFactor bounds the wait against the mean; 1.25 is customary.
	LoadFactor float64
}

// Choose implements Policy.
func (b BoundedRendezvous) Choose(query Query, runners []Runner) Decision {
	var sum float64
	var count int
	for i := range runners {
		if runners[i].Eligible {
			sum += queueWait(&runners[i])
			count++
		}
	}
	if count == 0 {
		return Decision{Runner: NoRunner}
	}
	limit := b.LoadFactor * sum / float64(count)
	return lowestRank(query, runners, func(r *Runner) float64 {
		if queueWait(r) > limit {
			return overLimit + queueWait(r)
		}
		return float64(r.HomeRank)
	})
}

// overLimit is above every home rank.
const overLimit = 1 << 65

// GreedyPrefix takes the runner with the most warm tokens, and among equal ones
// the least loaded.
type GreedyPrefix struct{}

// Choose implements Policy.
func (GreedyPrefix) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 {
		return queueWait(r) - overLimit*float64(min(r.WarmTokens, query.PromptTokens))
	})
}

// wait is the time in seconds that a runner's work takes before a new request.
func queueWait(r *Runner) float64 { return r.QueuedTokens/r.PrefillRate + slotWait(r) }

func lowestRank(query Query, runners []Runner, rank func(*Runner) float64) Decision {
	best, bestRank := NoRunner, 0.0
	for i := range runners {
		if !runners[i].Eligible {
			continue
		}
		if r := rank(&runners[i]); best == NoRunner || r < bestRank {
			best, bestRank = i, r
		}
	}
	if best == NoRunner {
		return Decision{Runner: NoRunner}
	}
	return estimateFor(query, runners, best)
}

func estimateFor(query Query, runners []Runner, runner int) Decision {
	decision := Estimate(query, &runners[runner], false)
	decision.Runner = runner
	return decision
}
