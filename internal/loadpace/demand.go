// Demand as a fraction of the capacity of a model's runners.

package loadpace

import (
	"math"
	"time"
)

// Work is the work of all boxes at the runners of a model.
type Work struct {
	Runners int
	// Slots is the number of calls that the runners can run at the same time, and InFlight how many
	// they run. A Slots of zero means that it is unknown.
	Slots, InFlight int
	// HeldTokens is the memory that the calls use.
	HeldTokens int
	// PrefillTime is the time for the pending prefill, summed over the runners.
	PrefillTime time.Duration
}

// Limits is what calls may use at one runner. A zero value means that there is no limit.
type Limits struct {
	MemoryTokens int
	PrefillTime  time.Duration
}

// Demand returns the fraction of the runners' slots, memory or prefill time that is in use,
// whichever is the largest.
func (w Work) Demand(limits Limits) float64 {
	runners := float64(w.Runners)
	return max(
		fraction(float64(w.InFlight), float64(w.Slots)),
		fraction(float64(w.HeldTokens), runners*float64(limits.MemoryTokens)),
		fraction(float64(w.PrefillTime), runners*float64(limits.PrefillTime)),
	)
}

// fraction returns the used fraction of a capacity, or zero if the capacity is unknown.
func fraction(used, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(used, 0) / capacity
}

// smoothing is the time constant of Average. Load reports are up to half a second old, and prompts
// arrive in bursts that are shorter than a load.
const smoothing = time.Second

// Average is a value smoothed over about a second. The zero value has no samples.
type Average struct {
	value float64
	at    time.Time
}

// Add adds a sample and returns the new average. After a pause of several seconds, the sample
// replaces the average.
func (a *Average) Add(sample float64, now time.Time) float64 {
	if a.at.IsZero() {
		a.value = sample
	} else {
		elapsed := max(now.Sub(a.at), 0)
		a.value += (sample - a.value) * -math.Expm1(-elapsed.Seconds()/smoothing.Seconds())
	}
	a.at = now
	return a.value
}
