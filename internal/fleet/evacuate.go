// Evacuated zones: their servers get no calls, by whatever way a call is placed.

package fleet

import (
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/evacuation"
)

// Evacuate takes over a record of the operators on a zone.
func (f *Fleet) Evacuate(change evacuation.Change) {
	defer f.freed.Broadcast() // waiting calls are placed anew, or end
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuated.Apply(change, boottime.Now()) {
		return
	}
	event := "zone_returned"
	if change.Active {
		event = "zone_evacuated"
	}
	f.cfg.Logger.Info().Str("evacuated", change.Zone).Int64("offset", change.Offset).Int("calls", f.callsIn(change.Zone)).Msg(event)
}

// callsIn counts the calls of this box that run in a zone. The caller holds mu.
func (f *Fleet) callsIn(zone string) int {
	calls := 0
	for _, state := range f.servers {
		if state.Zone == zone {
			calls += state.inFlight
		}
	}
	return calls
}

// Evacuated lists the evacuated zones.
func (f *Fleet) Evacuated() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated.All()
}
