// What a box expects to have come to runners unseen, as in package fleet.

package sitebench

import "math"

// arrivalsMillis is the time over which a box observes what it places.
const arrivalsMillis = 2000.0

// arrivals observes the work in milliseconds that a box places.
type arrivals struct{ work, at float64 }

func (a *arrivals) note(now, work float64) {
	a.work = a.work*math.Exp((a.at-now)/arrivalsMillis) + work
	a.at = now
}

// unseen estimates the work that came to each of some runners from all boxes since these told.
func (a *arrivals) unseen(w *world, runners int) float64 {
	a.note(w.now, 0)
	return a.work / arrivalsMillis * float64(w.site.Boxes) * w.site.ReportMillis / float64(max(1, runners))
}
