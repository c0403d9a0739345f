// How fast runners read prompts. It differs from fleet to fleet and with the engine's
// version, so it is learnt from prompts that had a runner to themselves, in place of a
// setting that would have to be kept right.
//
// Runners of one service differ too: with a third of them 1.3 times slower, prompts of 25,000 tokens
// are in time at the others alone. So the cost of a token is learnt for each runner, from prompts
// that were read there alone and from which nothing was fetched. A box sees few of those, so it
// reports what it sees to the owner that places them (package places).

package fleet

import (
	"slices"
	"time"
)

const (
	// firstReadRate is assumed before anything is learnt: the engines of today's
	// fleets read 40 to 100 tokens a millisecond beside other work.
	firstReadRate = 60.0
	// slowestRead and fastestRead bound what is learnt.
	slowestRead = 10.0
	fastestRead = 400.0
	// rateWeight is the weight of the newest sample.
	rateWeight = 0.05
	// leastTokens is the least prompt work that says something of the rate.
	leastTokens = 3000
	// firstStep is the part of the time to the first event that is not reading.
	firstStep = 30 * time.Millisecond
)

// Reading is how long a runner took to read a prompt token, as one box saw it.
type PrefillSample struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Incarnation string `msgpack:"i"`
	// Cost is in milliseconds for a token.
	Cost float64 `msgpack:"c"`
}

const (
	// firstEventTime is the time to the first event of a prompt with hardly anything to read, as
	// assumed before any is seen; shortTokens bounds such prompts, and firstEventWeight is the
	// weight of the newest.
	firstEventTime   = 60 * time.Millisecond
	shortTokens      = 500
	firstEventWeight = 0.02
	// leastReadTokens is the least prompt work that says something of a single runner.
	leastReadTokens = 6000
	// fasterWeight and slowerWeight are the weights of a sample below and above what is known:
	// other work makes a sample longer, and nothing makes it shorter.
	fasterWeight = 0.5
	slowerWeight = 0.1
	// mostReadings bounds the readings that wait to be reported.
	mostReadings = 64
)

// learnReading learns from the first event of a prompt that was read alone and of which nothing was
// fetched. The caller holds mu.
func (f *Fleet) learnReading(state *State, tokens int, took time.Duration) {
	switch {
	case tokens <= shortTokens:
		f.firstEvent += time.Duration(firstEventWeight * float64(took-f.firstEvent))
	case tokens >= leastReadTokens && took > f.firstEvent:
		cost := float64(took-f.firstEvent) / float64(time.Millisecond) / float64(tokens)
		state.learnCost(cost)
		if len(f.readings) < mostReadings {
			f.readings = append(f.readings, PrefillSample{Incarnation: state.Incarnation, Cost: cost})
		}
	}
}

// learnCost takes over a sample of the time to read a token, in milliseconds.
func (s *State) learnCost(sample float64) {
	sample = min(max(sample, 1/fastestRead), 1/slowestRead)
	switch {
	case s.readCost == 0:
		s.readCost = sample
	case sample < s.readCost:
		s.readCost += fasterWeight * (sample - s.readCost)
	default:
		s.readCost += slowerWeight * (sample - s.readCost)
	}
}

// TakeReadings gives the readings of a zone's runners that were not reported yet.
func (f *Fleet) TakePrefillSamples(zone string) []PrefillSample {
	f.mu.Lock()
	defer f.mu.Unlock()
	var taken []PrefillSample
	f.readings = slices.DeleteFunc(f.readings, func(r PrefillSample) bool {
		state := f.servers[r.Incarnation]
		if state != nil && state.Zone == zone {
			taken = append(taken, r)
		}
		return state == nil || state.Zone == zone
	})
	return taken
}

// LearnReadings takes over what another box saw.
func (f *Fleet) LearnPrefillSamples(readings []PrefillSample) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range readings {
		if state := f.servers[r.Incarnation]; state != nil && r.Cost > 0 {
			state.learnCost(r.Cost)
		}
	}
}

// learnRate learns from a prompt that was read alone. The caller holds mu.
func (f *Fleet) learnRate(tokens int, took time.Duration) {
	if tokens < leastTokens || took <= firstStep {
		return
	}
	sample := float64(tokens) / (float64(took-firstStep) / float64(time.Millisecond))
	f.readRate += rateWeight * (min(max(sample, slowestRead), fastestRead) - f.readRate)
}

// tokenCost gives the time to read a prompt token, in milliseconds. The caller holds mu.
func (f *Fleet) tokenCost() float64 { return 1 / f.readRate }
