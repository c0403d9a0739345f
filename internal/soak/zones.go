// Zone evacuations by operators, and servers that report a cold cache. They are drawn from their own
// random sequence, so that the other faults of a seed stay the same.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// EvacuateZone evacuates the second zone, and later ends the evacuation.
	EvacuateZone Kind = "evacuate_zone"
	// ColdServer has a server report that it is cold.
	ColdServer Kind = "cold_server"
)

// operationKinds are the kinds that PlanOperations draws. They are routine operations.
var operationKinds = []Kind{EvacuateZone, ColdServer}

// IsInSecondZone reports whether the server with this number is in the second of the two zones.
func IsInSecondZone(server int) bool { return server/2%2 == 1 }

// MaxColdCallsPerSecond is how many calls all boxes together may send to a cold server within one
// second.
const MaxColdCallsPerSecond = 2

const (
	// meanOperationInterval is the mean time between two operations.
	meanOperationInterval = 3 * time.Second
	// evacuationDeadline is the time within which an evacuation takes effect. coldDeadline is the
	// time within which boxes have read the registry entry of a server that became cold.
	evacuationDeadline = 2 * time.Second
	coldDeadline       = 2 * time.Second
)

// PlanOperations draws the zone evacuations and cold servers of a seed.
func PlanOperations(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 1))
	var faults []Fault
	for at := meanOperationInterval / 2; at < cfg.LoadDuration; at += time.Duration(rng.ExpFloat64() * float64(meanOperationInterval)) {
		faults = append(faults, drawFault(rng, cfg, operationKinds[rng.IntN(len(operationKinds))], at))
	}
	return faults
}

// checkEvacuated reports calls that reached a server of an evacuated zone.
func (h *History) checkEvacuated(report reportFunc) {
	byID := h.attemptsByID()
	for _, evacuation := range h.Evacuations {
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			late := IsInSecondZone(arrival.Server) && arrival.At > evacuation.At+evacuationDeadline && arrival.At < evacuation.Until
			if late && a != nil && a.Began > evacuation.At && h.isInSync(a.Box, arrival.At) {
				report(InvariantEvacuated, "zone evacuated at %v, but server %d received a call at %v: %s", evacuation.At.Round(time.Millisecond), arrival.Server, arrival.At.Round(time.Millisecond), a.describe())
			}
		}
	}
}

// checkCold reports each call to a cold server that exceeds MaxColdCallsPerSecond. Only calls of boxes
// that can have read the server's entry count.
func (h *History) checkCold(report reportFunc) {
	byID := h.attemptsByID()
	for _, cold := range h.ColdPeriods {
		var times []time.Duration
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			within := arrival.Server == cold.Server && arrival.At > cold.At+coldDeadline && arrival.At < cold.Until
			if within && a != nil && h.isInSync(a.Box, arrival.At) {
				times = append(times, arrival.At)
			}
		}
		slices.Sort(times)
		first := 0
		for i, at := range times {
			for at-times[first] >= time.Second {
				first++
			}
			if count := i - first + 1; count > MaxColdCallsPerSecond {
				report(InvariantCold, "server %d was cold from %v on and received %d calls in the second before %v", cold.Server, cold.At.Round(time.Millisecond), count, at.Round(time.Millisecond))
			}
		}
	}
}

// attemptsByID indexes the attempts by their call ID.
func (h *History) attemptsByID() map[string]*Attempt {
	byID := make(map[string]*Attempt, len(h.Attempts))
	for i := range h.Attempts {
		byID[h.Attempts[i].ID] = &h.Attempts[i]
	}
	return byID
}
