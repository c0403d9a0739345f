// Package decide implements the load-balancing policies that choose a runner for a
// request.
//
// A policy is a pure function of the state of the zone, without a clock, randomness
// or I/O. It can therefore be tested against a brute-force search over all choices,
// and the policy benchmark can run it on simulated zones.
//
// The estimated time to first token on a runner is
//
//	queued tokens ÷ prefill rate  +  wait for a slot
//	+ fetch over the link  +  (prompt − warm − fetched) ÷ prefill rate
//
// The cost is the weighted sum of that time and of the time that the runner spends
// on recomputing context. The deployment sets both weights: Fjordlinje mostly weighs
// the time to first token, Lot Operations the recomputing. If two runners are idle,
// either weighting chooses the one that has more of the prompt in its cache.
package decide

import "math"

// NoRunner is the index in a Decision when no runner can take the request.
const NoRunner = -1

// Runner is the state of one runner as a policy sees it. All times are in seconds.
type Runner struct {
	// Eligible is false for a runner that is draining, has failed, or has loaded
	// another weight version than the request needs.
	Eligible bool
	// QueuedTokens is the number of tokens to prefill before a new request.
	QueuedTokens float64
	// Running is the number of runs in the batch and waiting for it. Slots is the
	// maximum number of runs in the batch.
	Running int
	Slots   int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// RunSeconds is how long a run occupies its slot.
	RunSeconds float64
	// WarmTokens is the number of tokens of the prompt that are in the prefix cache.
	WarmTokens int
	// Fetch is the fastest transfer of more of the prompt's context from a store box.
	Fetch Fetch
	// HomeRank is the rendezvous hash of the prompt and the runner. The runner with
	// the lowest rank is the prompt's home, and wins among runners of equal cost.
	HomeRank uint64
}

// Fetch is a transfer of stored context to a runner. The zero value transfers nothing.
type Fetch struct {
	// Tokens is how much of the prompt is in the runner's cache after the fetch.
	Tokens int
	// Seconds is the time for the transfer, including the wait for the link.
	Seconds float64
}

// Query is a request as a policy sees it.
type Query struct {
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// FirstTokenWeight is the cost of a second until the first token.
	FirstTokenWeight float64
	// RecomputeWeight is the cost of a second of prefill of context that a cache or
	// store box of the zone has or had.
	RecomputeWeight float64
}

// Decision is the runner chosen for a request and the estimated cost.
type Decision struct {
	// Runner is the index of the chosen runner, or NoRunner.
	Runner int
	// WithFetch reports whether the runner should first fetch stored context.
	WithFetch bool
	// FirstTokenSeconds is the estimated time to first token in seconds.
	FirstTokenSeconds float64
	// RecomputedTokens is the number of tokens that the runner prefills.
	RecomputedTokens int
	// Cost is the value that the policy minimised.
	Cost float64
}

// Policy chooses among runners. A policy has no state, or state that it does not
// share between concurrent requests.
type Policy interface {
	// Choose returns the decision for a query.
	Choose(query Query, runners []Runner) Decision
}

// Cheapest chooses the lowest cost over all runners, with and without a fetch. It
// suits prompts that share no prefix; for others see TwoHomes.
type Cheapest struct{}

// Choose implements Policy.
func (Cheapest) Choose(query Query, runners []Runner) Decision {
	best := Decision{Runner: NoRunner, Cost: math.Inf(1)}
	for i := range runners {
		runner := &runners[i]
		if !runner.Eligible {
			continue
		}
		candidate := Estimate(query, runner, false)
		if runner.Fetch.Tokens > runner.WarmTokens {
			if fetched := Estimate(query, runner, true); fetched.Cost < candidate.Cost {
				candidate = fetched
			}
		}
		candidate.Runner = i
		if isBetter(candidate, best, runners) {
			best = candidate
		}
	}
	return best
}

// isBetter reports whether decision a is preferable to b: by cost, and by home rank if
// the costs are equal. Costs that differ by less than 0.1% count as equal, since the
// estimates are not more precise than that.
func isBetter(a, b Decision, runners []Runner) bool {
	if b.Runner == NoRunner {
		return true
	}
	if math.Abs(a.Cost-b.Cost) > costTolerance*math.Max(a.Cost, b.Cost) {
		return a.Cost < b.Cost
	}
	return runners[a.Runner].HomeRank < runners[b.Runner].HomeRank
}

// costTolerance is the relative difference up to which two costs count as equal.
const costTolerance = 1e-3

// Estimate returns the estimated times and cost of a query on a runner, with or
// without a fetch of stored context.
func Estimate(query Query, runner *Runner, withFetch bool) Decision {
	present := min(runner.WarmTokens, query.PromptTokens)
	var fetchSeconds float64
	if withFetch {
		present = min(runner.Fetch.Tokens, query.PromptTokens)
		fetchSeconds = runner.Fetch.Seconds
	}
	recomputed := query.PromptTokens - present
	prefill := float64(recomputed) / runner.PrefillRate
	queue := runner.QueuedTokens / runner.PrefillRate
	// The transfer runs while the runner works off its queue.
	firstToken := math.Max(queue+slotWait(runner), fetchSeconds) + prefill
	return Decision{
		WithFetch:         withFetch,
		FirstTokenSeconds: firstToken,
		RecomputedTokens:  recomputed,
		Cost:              query.FirstTokenWeight*firstToken + query.RecomputeWeight*prefill,
	}
}

// slotWait estimates the wait for a slot of the batch. While all slots are occupied,
// one becomes free every RunSeconds ÷ Slots on average.
func slotWait(runner *Runner) float64 {
	ahead := runner.Running - runner.Slots + 1
	if ahead <= 0 || runner.Slots == 0 {
		return 0
	}
	return float64(ahead) * runner.RunSeconds / float64(runner.Slots)
}
