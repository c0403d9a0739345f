// Results of a simulation.

package sitebench

import "slices"

// Result is the result of one simulation. Shares are relative to the worth of all calls, or to
// their number.
type Result struct {
	// Earned is the share of the worth that answers earned. RecomputeCost is the share that the
	// repeated prefill of shared parts costs, and Worth is the difference.
	Earned, RecomputeCost, Worth float64
	// Late and Refused are shares of the number of calls. Calls that were answered after their
	// callers had left count as refused.
	Late, Refused float64
	// RecomputedTokens are the shared tokens, in millions, that were prefilled although a runner
	// had already prefilled them with the same weights. SharedTokens are all shared tokens that
	// were prefilled, in millions.
	RecomputedTokens, SharedTokens float64
	// LateFetches counts the fetches whose result was discarded because it came too late.
	LateFetches float64
	// OutdatedRunners counts the runners without the newest weights at the end.
	OutdatedRunners int
	// P50 and P99 are the median and the 99th percentile of the time to the first event in
	// milliseconds, by class.
	P50, P99 []float64

	offeredWorth, earnedWorth   float64
	calls, answers              int
	refused, abandoned          int
	lateAnswers                 int
	lateFetches                 int
	recomputed, sharedPrefilled float64
	times                       [][]float64
}

// add records the time from a call's arrival to its first event.
func (r *Result) add(class int, millis float64) {
	for len(r.times) <= class {
		r.times = append(r.times, nil)
	}
	r.times[class] = append(r.times[class], millis)
}

// finish computes the shares and quantiles from the counts.
func (r *Result) finish(sim *simulation) {
	const thousand, million = 1000, 1e6
	r.Earned = r.earnedWorth / r.offeredWorth
	r.RecomputeCost = r.recomputed / thousand * sim.site.RecomputePrice / r.offeredWorth
	r.Worth = r.Earned - r.RecomputeCost
	r.Late, r.Refused = float64(r.lateAnswers)/float64(r.calls), float64(r.refused+r.abandoned)/float64(r.calls)
	r.RecomputedTokens, r.SharedTokens, r.LateFetches = r.recomputed/million, r.sharedPrefilled/million, float64(r.lateFetches)
	for _, runner := range sim.runners {
		if runner.weights < sim.newest {
			r.OutdatedRunners++
		}
	}
	for _, times := range r.times {
		r.answers += len(times)
		slices.Sort(times)
		r.P50 = append(r.P50, quantile(times, medianQuantile))
		r.P99 = append(r.P99, quantile(times, p99Quantile))
	}
	r.times = nil
}

// The quantiles that P50 and P99 report.
const (
	medianQuantile = 0.5
	p99Quantile    = 0.99
)

// quantile returns the q-quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// figure is one number of a result that experiments print or plot.
type figure struct {
	name string
	of   func(Result) float64
}

func figures() []figure {
	return []figure{
		{"worth", func(r Result) float64 { return r.Worth }},
		{"earned", func(r Result) float64 { return r.Earned }},
		{"price", func(r Result) float64 { return r.RecomputeCost }},
		{"late", func(r Result) float64 { return r.Late }},
		{"refused", func(r Result) float64 { return r.Refused }},
		{"again M", func(r Result) float64 { return r.RecomputedTokens }},
		{"late fetches", func(r Result) float64 { return r.LateFetches }},
		{"long p50 ms", func(r Result) float64 { return r.P50[0] }},
		{"long p99 ms", func(r Result) float64 { return r.P99[0] }},
		{"short p99 ms", func(r Result) float64 { return r.P99[len(r.P99)-1] }},
	}
}
