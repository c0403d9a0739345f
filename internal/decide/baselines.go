package decide

// The policies in this file are the baselines that TwoHomes is compared with. They
// stay in the code because the figures of a policy mean little without a baseline.

// RoundRobin chooses the eligible runners in turn.
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

// LeastLoaded chooses the runner with the shortest wait.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 { return queueWait(r) })
}

// Rendezvous chooses the home of the prompt by rendezvous hashing and ignores load.
type Rendezvous struct{}

// Choose implements Policy.
func (Rendezvous) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 { return float64(r.HomeRank) })
}

// BoundedRendezvous is rendezvous hashing with bounded loads. It chooses the runner
// of lowest home rank whose wait is at most LoadFactor times the mean wait, or the
// least loaded runner if all waits are above that.
type BoundedRendezvous struct {
	// LoadFactor is the maximum ratio of a runner's wait to the mean wait; 1.25 is a
	// common value.
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

// overLimit is greater than every home rank, which is a 64-bit number.
const overLimit = 1 << 65

// GreedyPrefix chooses the runner with the most cached tokens of the prompt, and the
// least loaded one if several have as many.
type GreedyPrefix struct{}

// Choose implements Policy.
func (GreedyPrefix) Choose(query Query, runners []Runner) Decision {
	return lowestRank(query, runners, func(r *Runner) float64 {
		return queueWait(r) - overLimit*float64(min(r.WarmTokens, query.PromptTokens))
	})
}

// queueWait estimates how long a new request waits on a runner, in seconds: for the
// prefill queue and for a slot of the batch.
func queueWait(r *Runner) float64 { return r.QueuedTokens/r.PrefillRate + slotWait(r) }

// lowestRank chooses the eligible runner for which rank returns the lowest value.
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

// estimateFor returns the decision to run a query on the given runner without a fetch.
func estimateFor(query Query, runners []Runner, runner int) Decision {
	decision := Estimate(query, &runners[runner], false)
	decision.Runner = runner
	return decision
}
