// Estimate of the work that boxes have sent to runners but not reported to each other yet, as in
// package fleet.

package sitebench

import "math"

// arrivalDecayMillis is the time constant with which earlier work decays in the estimate.
const arrivalDecayMillis = 2000.0

// arrivalRate is an exponentially decaying sum of the work, in milliseconds, that a box has
// placed.
type arrivalRate struct{ work, at float64 }

func (a *arrivalRate) record(now, work float64) {
	a.work = a.work*math.Exp((a.at-now)/arrivalDecayMillis) + work
	a.at = now
}

// unreported estimates the work, in milliseconds, that all boxes have sent to each of the given
// number of runners since the last load reports.
func (a *arrivalRate) unreported(sim *simulation, runners int) float64 {
	a.record(sim.now, 0)
	return a.work / arrivalDecayMillis * float64(sim.site.Boxes) * sim.site.ReportMillis / float64(max(1, runners))
}
