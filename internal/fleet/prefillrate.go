// How fast runners compute prompts (prefill). The rate depends on the fleet and on the engine's
// version, so it is learned from prompts that had a runner to themselves, instead of a setting that
// would have to be maintained.
//
// Runners of one service differ too: if a third of them are 1.3 times slower, prompts of 25,000
// tokens are in time only at the others. So the cost of a token is learned for each runner, from
// prompts that were computed there alone and of which nothing was fetched. A single box sees few
// such prompts, so it reports its samples to the owner that places them (package places).

package fleet

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// initialPrefillRate is assumed before the first sample. Current engines compute 40 to 100
	// tokens per millisecond next to other work.
	initialPrefillRate = 60.0
	// minPrefillRate and maxPrefillRate bound the learned rate.
	minPrefillRate = 10.0
	maxPrefillRate = 400.0
	// rateWeight is the weight of the latest sample.
	rateWeight = 0.05
	// minRateTokens is the smallest prefill, in tokens, that gives a useful sample of the rate.
	minRateTokens = 3000
	// firstStepTime is the part of the time to the first event that isn't prefill.
	firstStepTime = 30 * time.Millisecond
)

// PrefillSample is one box's sample of the prefill cost at a runner, or of the lateness of its first
// events. A field for the lateness would keep boxes of the previous version from decoding the
// message, so a negative cost stands for it, which they ignore.
type PrefillSample struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	Incarnation string `msgpack:"i"`
	// Cost is the prefill time per token, in milliseconds. A negative one is that of a sample of the
	// lateness: -1 less the lateness in milliseconds.
	Cost float64 `msgpack:"c"`
}

const (
	// initialFirstEventDelay is the time to the first event of a prompt with almost no prefill, as
	// assumed before the first sample; maxShortTokens bounds such prompts, and firstEventWeight is
	// the weight of the latest sample.
	initialFirstEventDelay = 60 * time.Millisecond
	maxShortTokens         = 500
	firstEventWeight       = 0.02
	// minCostTokens is the smallest prefill, in tokens, that gives a useful sample for a single
	// runner.
	minCostTokens = 6000
	// fasterWeight and slowerWeight are the weights of samples below and above the learned cost.
	// Other work makes a sample longer, and nothing makes it shorter.
	fasterWeight = 0.5
	slowerWeight = 0.1
	// maxPrefillSamples bounds the samples that wait to be reported.
	maxPrefillSamples = 64
)

// learnPrefillCost learns from the first event of a prompt that was computed alone and of which
// nothing was fetched. The caller holds mu.
func (f *Fleet) learnPrefillCost(state *State, tokens int, elapsed time.Duration) {
	switch {
	case tokens <= maxShortTokens:
		f.firstEventDelay += time.Duration(firstEventWeight * float64(elapsed-f.firstEventDelay))
	case tokens >= minCostTokens && elapsed > f.firstEventDelay:
		cost := float64(elapsed-f.firstEventDelay) / float64(time.Millisecond) / float64(tokens)
		state.applyCostSample(cost)
		if len(f.prefillSamples) < maxPrefillSamples {
			f.prefillSamples = append(f.prefillSamples, PrefillSample{Incarnation: state.Incarnation, Cost: cost})
		}
	}
}

// applyCostSample adds a sample of the prefill time of a token, in milliseconds.
func (s *State) applyCostSample(sample float64) {
	sample = min(max(sample, 1/maxPrefillRate), 1/minPrefillRate)
	switch {
	case s.prefillCost == 0:
		s.prefillCost = sample
	case sample < s.prefillCost:
		s.prefillCost += fasterWeight * (sample - s.prefillCost)
	default:
		s.prefillCost += slowerWeight * (sample - s.prefillCost)
	}
}

// TakePrefillSamples removes and returns the samples of a zone's runners that haven't been reported
// yet.
func (f *Fleet) TakePrefillSamples(zone string) []PrefillSample {
	f.mu.Lock()
	defer f.mu.Unlock()
	var taken []PrefillSample
	f.prefillSamples = slices.DeleteFunc(f.prefillSamples, func(r PrefillSample) bool {
		state := f.servers[r.Incarnation]
		if state != nil && state.Zone == zone {
			taken = append(taken, r)
		}
		return state == nil || state.Zone == zone
	})
	return append(taken, f.takeLatenessSamples(zone, boottime.Now())...)
}

// LearnPrefillSamples applies the samples of another box.
func (f *Fleet) LearnPrefillSamples(samples []PrefillSample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range samples {
		state := f.servers[r.Incarnation]
		switch {
		case state == nil:
		case r.Cost > 0:
			state.applyCostSample(r.Cost)
		case r.Cost < 0:
			f.applyLateness(state, -1-r.Cost, boottime.Now())
		}
	}
}

// learnPrefillRate learns from a prompt that was computed alone. The caller holds mu.
func (f *Fleet) learnPrefillRate(tokens int, elapsed time.Duration) {
	if tokens < minRateTokens || elapsed <= firstStepTime {
		return
	}
	sample := float64(tokens) / (float64(elapsed-firstStepTime) / float64(time.Millisecond))
	f.prefillRate += rateWeight * (min(max(sample, minPrefillRate), maxPrefillRate) - f.prefillRate)
}

// TokenTime returns the learned prefill time of a prompt token.
func (f *Fleet) TokenTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.tokenCost() * float64(time.Millisecond))
}

// tokenCost returns the learned prefill time of a prompt token, in milliseconds. The caller holds
// mu.
func (f *Fleet) tokenCost() float64 { return 1 / f.prefillRate }
