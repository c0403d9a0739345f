// Estimate of the work that has reached a runner without being reported to this box yet. Load
// reports of other boxes arrive late. Meanwhile all boxes see the same runners least busy, and
// would all choose them. So a choice is spread over the runners whose loads differ by less than the
// work that may have reached them since the last reports.

package fleet

import (
	"math"
	"time"
)

// arrivalsWindow is the time constant of the average over recent calls and their work.
const arrivalsWindow = 2 * time.Second

// arrivals is a decaying sum of the calls that this box places and of their work, in milliseconds or
// in tokens.
type arrivals struct {
	calls     float64
	work      float64
	decayedAt time.Time
}

func (a *arrivals) decay(now time.Time) {
	if elapsed := now.Sub(a.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / arrivalsWindow.Seconds())
		a.calls, a.work, a.decayedAt = a.calls*factor, a.work*factor, now
	}
}

func (a *arrivals) add(work float64, now time.Time) {
	a.decay(now)
	a.calls++
	a.work += work
}

// unreportedWork estimates the work, in milliseconds, that all boxes send to each of the runners
// within the lag, assuming that they place as much as this box.
func (a *arrivals) unreportedWork(query *Query, runners int, now time.Time) float64 {
	a.decay(now)
	if runners == 0 {
		return 0
	}
	perSecond := a.work / arrivalsWindow.Seconds() * float64(query.Boxes)
	return perSecond * query.Lag.Seconds() / float64(runners)
}
