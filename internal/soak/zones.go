// What operators do to zones, and what servers say of themselves beside it. It is drawn apart from
// the other faults, so that a seed's other faults stay as they are.

package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// EvacuateZone has the operators evacuate the second zone, and take it back later.
	EvacuateZone Kind = "evacuate_zone"
	// ColdServer has a server say that it is cold.
	ColdServer Kind = "cold_server"
)

// operations are the kinds that PlanOperations draws. They are ordinary work.
var operations = []Kind{EvacuateZone, ColdServer}

// InSecondZone reports whether a server is in the second of two zones.
func InSecondZone(server int) bool { return server/2%2 == 1 }

// MaxColdCallsPerSecond is how many calls all boxes together may send a cold server in any second.
const MaxColdCallsPerSecond = 2

const (
	// zonesEvery is the mean time between two operations.
	zonesEvery = 3 * time.Second
	// evacuationLimit is the time in which an evacuation is in force, and coldLimit that in which
	// boxes know that a server turned cold: its entry has been read.
	evacuationLimit = 2 * time.Second
	coldLimit       = 2 * time.Second
)

// PlanOperations draws the operations of a seed.
func PlanOperations(cfg PlanConfig) []Fault {
	chance := rand.New(rand.NewPCG(cfg.Seed, 1))
	var faults []Fault
	for at := zonesEvery / 2; at < cfg.LoadDuration; at += time.Duration(chance.ExpFloat64() * float64(zonesEvery)) {
		faults = append(faults, draw(chance, cfg, operations[chance.IntN(len(operations))], at))
	}
	return faults
}

// checkEvacuated looks for calls that reached a server of an evacuated zone.
func (h *History) checkEvacuated(report reporter) {
	byID := h.byID()
	for _, evacuation := range h.Evacuations {
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			late := InSecondZone(arrival.Server) && arrival.At > evacuation.At+evacuationLimit && arrival.At < evacuation.Until
			if late && a != nil && a.Began > evacuation.At && h.inTouch(a.Box, arrival.At) {
				report(InvariantEvacuated, "evacuated at %v, and server %d was reached at %v: %s", evacuation.At.Round(time.Millisecond), arrival.Server, arrival.At.Round(time.Millisecond), a.story())
			}
		}
	}
}

// checkCold looks for seconds in which boxes that know of it sent a cold server too much.
func (h *History) checkCold(report reporter) {
	byID := h.byID()
	for _, cold := range h.ColdPeriods {
		var times []time.Duration
		for _, arrival := range h.Arrivals {
			a := byID[arrival.ID]
			within := arrival.Server == cold.Server && arrival.At > cold.At+coldLimit && arrival.At < cold.Until
			if within && a != nil && h.inTouch(a.Box, arrival.At) {
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
				report(InvariantCold, "server %d was cold from %v on, and got %d calls in the second before %v", cold.Server, cold.At.Round(time.Millisecond), count, at.Round(time.Millisecond))
			}
		}
	}
}

func (h *History) byID() map[string]*Attempt {
	byID := make(map[string]*Attempt, len(h.Attempts))
	for i := range h.Attempts {
		byID[h.Attempts[i].ID] = &h.Attempts[i]
	}
	return byID
}
