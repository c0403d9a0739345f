// What a box expects to have come to runners unseen, as in package fleet.

package sitebench

import "math"

// arrivalsMillis is the time over which a box observes what it places.
const arrivalDecayMillis = 2000.0

// arrivals observes the work in milliseconds that a box places.
type arrivalRate struct{ work, at float64 }

func (a *arrivalRate) record(now, work float64) {
	a.work = a.work*math.Exp((a.at-now)/arrivalDecayMillis) + work
	a.at = now
}

// unseen estimates the work that came to each of some runners from all boxes since these told.
func (a *arrivalRate) unreported(sim *simulation, runners int) float64 {
	a.record(sim.now, 0)
	return a.work / arrivalDecayMillis * float64(sim.site.Boxes) * sim.site.ReportMillis / float64(max(1, runners))
}
