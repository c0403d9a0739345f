// How fast calls are admitted, which predicts how soon the waiting ones are.

package waitqueue

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the admission rates; bursts last about as long.
	rateWindow = 2 * time.Second
	// minRate is the lowest rate assumed without a measurement, in calls a second: few admissions at
	// a box with little load do not predict how soon the calls of a burst are admitted.
	minRate = 50.0
	// minMeasured is for how much of the window calls must have waited for their rate to count as
	// measured: a few times the longest usual wait for one call to end.
	minMeasured = 250 * time.Millisecond
)

// rate measures admissions in an exponentially decaying window. Only while calls wait do admissions
// show how fast capacity becomes free; otherwise they show how many calls come.
type rate struct {
	// admitted is the number of admissions, contended that of those while calls waited, and waited
	// is for how many seconds calls waited.
	admitted, contended, waited float64
	decayedAt                   time.Time
}

// advance decays the window up to now; waiting reports whether calls have waited since the last time.
func (r *rate) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(r.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.admitted, r.contended, r.waited, r.decayedAt = r.admitted*factor, r.contended*factor, r.waited*factor, now
	if waiting {
		r.waited += (1 - factor) * rateWindow.Seconds()
	}
}

// record records an admission. The window must have been advanced.
func (r *rate) record(waiting bool) {
	r.admitted++
	if waiting {
		r.contended++
	}
}

// measured returns the rate in calls a second at which waiting calls are admitted, if it is known. A
// level without any admission counts as having one, so that its rate isn't zero.
func (r *rate) measured() (perSecond float64, known bool) {
	if r.waited < minMeasured.Seconds() {
		return 0, false
	}
	return max(r.contended, 1) / r.waited, true
}

// assumed returns the rate in calls a second that is assumed without a measurement.
func (r *rate) assumed() float64 { return max(r.admitted/rateWindow.Seconds(), minRate) }
