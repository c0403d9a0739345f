// Evacuated zones: their servers get no calls, whichever way a call is placed.

package fleet

import (
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/logposition"
)

// ApplyEvacuation processes an operator's record about a zone.
func (f *Fleet) ApplyEvacuation(change evacuation.Change) {
	defer f.capacityChanged.Broadcast() // waiting calls are placed elsewhere or end
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.evacuated.Apply(change, boottime.Now()) {
		return
	}
	event := "zone_returned"
	if change.Evacuate {
		event = "zone_evacuated"
	}
	f.cfg.Logger.Info().Str("evacuated", change.Zone).EmbedObject(logposition.Logged(change.Offset)).Int("calls", f.callsIn(change.Zone)).Msg(event)
}

// callsIn counts this box's calls in flight in a zone. The caller holds mu.
func (f *Fleet) callsIn(zone string) int {
	calls := 0
	for _, state := range f.servers {
		if state.Zone == zone {
			calls += state.inFlight
		}
	}
	return calls
}

// EvacuatedZones returns the evacuated zones.
func (f *Fleet) EvacuatedZones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated.List()
}
