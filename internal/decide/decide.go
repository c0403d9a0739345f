// Package decide chooses where a request runs.
//
// The choice is a pure function of what is known of the zone: no clock, no
// randomness, no I/O. That makes it testable against a version that tries every
// choice, and lets the policy bench feed it made-up zones.
//
// The estimated time to first token on a runner is
//
//	work queued there ÷ prefill rate  +  wait for a slot
//	+ fetch over the link  +  (prompt − warm − fetched) ÷ prefill rate
//
// and the cost is that time and the recomputed time, each by the weight that
// the deployment gives it. Fjordlinje weighs the first, Lot Operations the
// second; between two idle runners both choose the warm one.
package decide

import "math"

// NoRunner says that no runner can take the request.
const NoRunner = -1

// Runner is what is known of one runner. All times are seconds.
type Runner struct {
	// Eligible is false for a runner that is leaving, failed, or holds another
	// weight version than the request wants.
	Eligible bool
	// QueuedTokens is the prefill work ahead of a new request, in tokens.
	QueuedTokens float64
	// Running counts the runs in its batch and before it; Slots bounds the batch.
	Running int
	Slots   int
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// RunSeconds is how long a run holds its slot.
	RunSeconds float64
	// WarmTokens is how much of the prompt is in its cache.
	WarmTokens int
	// Fetch is the best way to bring more of the prompt from a store box.
	Fetch Fetch
	// HomeRank ranks the runners for this prompt; the lowest breaks a tie.
	HomeRank uint64
}

// Fetch is a transfer of kept context. The zero value brings nothing.
type Fetch struct {
	// Tokens is how much of the prompt is there after the fetch.
	Tokens int
	// Seconds is the time to wait for the link and to use it.
	Seconds float64
}

// Query is what a request asks for.
type Query struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// FirstTokenWeight is the cost of a second until the first token.
	FirstTokenWeight float64
	// RecomputeWeight is the cost of a second of prefill for what some tier of
	// the zone holds or held.
	RecomputeWeight float64
}

// Decision is where a request runs and what that is expected to cost.
type Decision struct {
	// Runner is the index of the chosen runner, or NoRunner.
	Runner int
	// WithFetch says whether to fetch kept context first.
	WithFetch bool
	// FirstTokenSeconds is the estimated time to first token in seconds.
	FirstTokenSeconds float64
	// RecomputedTokens is the prefill work, in tokens.
	RecomputedTokens int
	// Cost is what the choice minimised.
	Cost float64
}

// Policy chooses among runners. Policies are values without state, or with
// state of their own that no other request sees.
type Policy interface {
	// Choose gives the decision for a query.
	Choose(query Query, runners []Runner) Decision
}

// Cheapest takes the lowest cost over all runners, with and without a fetch. It
// is right for prompts that share nothing; for others see TwoHomes.
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

// better orders decisions by cost, and equal ones by home. Costs within a
// thousandth count as equal, since the estimates are no better than that.
func isBetter(a, b Decision, runners []Runner) bool {
	if b.Runner == NoRunner {
		return true
	}
	if math.Abs(a.Cost-b.Cost) > costTolerance*math.Max(a.Cost, b.Cost) {
		return a.Cost < b.Cost
	}
	return runners[a.Runner].HomeRank < runners[b.Runner].HomeRank
}

// tie is the relative difference below which two costs are equal.
const costTolerance = 1e-3

// Estimate gives the expected end of running a query on a runner.
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
	// The link works while the queue ahead is prefilled.
	firstToken := math.Max(queue+slotWait(runner), fetchSeconds) + prefill
	return Decision{
		WithFetch:         withFetch,
		FirstTokenSeconds: firstToken,
		RecomputedTokens:  recomputed,
		Cost:              query.FirstTokenWeight*firstToken + query.RecomputeWeight*prefill,
	}
}

// slotWait estimates the wait for a place in the batch: with all slots taken
// one gets free every RunSeconds ÷ Slots.
func slotWait(runner *Runner) float64 {
	ahead := runner.Running - runner.Slots + 1
	if ahead <= 0 || runner.Slots == 0 {
		return 0
	}
	return float64(ahead) * runner.RunSeconds / float64(runner.Slots)
}
