// The learnt durations of a load, and the polls of a loading runner that follow from them. Each
// poll costs the runner time.

package loadpace

import "time"

const (
	// pollInterval is the time between two polls of a loading runner, whose report is 100 to 200 ms
	// old anyway.
	pollInterval = 120 * time.Millisecond
	// pollLead is how long before the learnt time a runner is first polled.
	pollLead = 20 * time.Millisecond
	// firstPoll is when a runner is first polled without a learnt time. After that the interval
	// grows with the time that has passed (by one in pollGrowth), so that a slow first load needs
	// few polls.
	firstPoll  = 350 * time.Millisecond
	pollGrowth = 4
	// minFirstPoll is the earliest first poll. An earlier report may be older than the order.
	minFirstPoll = 250 * time.Millisecond
	// initialLoad and initialDrain are assumed before the first sample.
	initialLoad  = time.Second
	initialDrain = 1500 * time.Millisecond
	// minLoad and maxDuration bound the learnt durations.
	minLoad     = 20 * time.Millisecond
	maxDuration = 10 * time.Second
	// shorterStep is the part of the learnt time by which a load was probably shorter that had ended
	// at its first poll: one in twenty.
	shorterStep = 20
	// sampleWeight is the weight of the newest sample. Many loads end at the same time, after equal
	// durations.
	sampleWeight = 0.05
)

// Duration is a learnt mean duration. The zero value has no samples.
type Duration struct {
	mean    time.Duration
	learned bool
}

// Add adds a sample.
func (d *Duration) Add(sample time.Duration) {
	sample = min(max(sample, 0), maxDuration)
	if !d.learned {
		d.mean, d.learned = sample, true
		return
	}
	d.mean += time.Duration(sampleWeight * float64(sample-d.mean))
}

// or returns the mean, or the given duration without samples.
func (d *Duration) or(initial time.Duration) time.Duration {
	if d.learned {
		return d.mean
	}
	return initial
}

// Learned holds the learnt durations for the runners of a model.
type Learned struct{ load, drain Duration }

// Load returns the mean duration of a load.
func (l *Learned) Load() time.Duration { return max(l.load.or(initialLoad), minLoad) }

// Drain returns the mean time from the pause of a runner until its last call has ended.
func (l *Learned) Drain() time.Duration { return l.drain.or(initialDrain) }

// AddDrain adds the time that a runner took to drain.
func (l *Learned) AddDrain(took time.Duration) { l.drain.Add(took) }

// AddLoad adds a load that a poll found to have ended after a time. first means that this was the
// first poll, which says only that the load was shorter.
func (l *Learned) AddLoad(ended time.Duration, first bool) {
	if first && l.load.learned {
		ended -= max(pollLead, ended/shorterStep)
	}
	l.load.Add(ended)
}

// NextPoll returns how long to wait before the next poll of a runner whose load began so long ago.
func (l *Learned) NextPoll(elapsed time.Duration) time.Duration {
	first := firstPoll
	if l.load.learned {
		first = max(l.load.mean-pollLead, minFirstPoll)
	}
	if elapsed < first {
		return first - elapsed
	}
	if l.load.learned {
		return pollInterval
	}
	return max(pollInterval, elapsed/pollGrowth)
}
