// How much work comes to a runner that this box does not see yet. Boxes hear of each other's
// work late; all of them see the same runners least busy meanwhile, and would all choose
// them. A choice is therefore spread over runners that differ by less than what may have
// come to them since.

package fleet

import (
	"math"
	"time"
)

// arrivalsWindow is the time over which calls and their work are observed.
const arrivalsWindow = 2 * time.Second

// arrivals observes the calls that this box places, and their work in milliseconds.
type arrivals struct {
	calls float64
	work  float64
	at    time.Time
}

func (a *arrivals) fade(now time.Time) {
	if passed := now.Sub(a.at); passed > 0 {
		part := math.Exp(-passed.Seconds() / arrivalsWindow.Seconds())
		a.calls, a.work, a.at = a.calls*part, a.work*part, now
	}
}

func (a *arrivals) note(work float64, now time.Time) {
	a.fade(now)
	a.calls++
	a.work += work
}

// unseen estimates the work, in milliseconds, that comes to each of some runners from all
// boxes within the lag, if they do as this box does.
func (a *arrivals) unseen(query Query, runners int, now time.Time) float64 {
	a.fade(now)
	if runners == 0 {
		return 0
	}
	perSecond := a.work / arrivalsWindow.Seconds() * float64(query.Boxes)
	return perSecond * query.Lag.Seconds() / float64(runners)
}
