// Package evacuation tracks which availability zones operators have evacuated. Servers of an
// evacuated zone get no new calls until the operators return the zone to service; calls in progress
// there continue.
//
// The record with the highest offset in the platform's log wins for each zone, so a record that
// arrives late changes nothing.
package evacuation

import (
	"slices"
	"time"
)

// Change is an operator's record about a zone.
type Change struct {
	Zone string
	// Evacuate is true if the zone is evacuated, and false if it returns to service.
	Evacuate bool
	// Offset is the record's position in the log.
	Offset int64
}

// Zones holds the state of all zones with a record. The zero value has none. It is not safe for
// concurrent use.
type Zones struct {
	states map[string]state
}

// state is the content of the newest record about a zone.
type state struct {
	evacuated bool
	offset    int64
	// endedAt is when this process learned that the evacuation ended.
	endedAt time.Time
}

// Apply processes a record at the time now, and reports whether the zone's state changed.
func (z *Zones) Apply(change Change, now time.Time) (changed bool) {
	before, known := z.states[change.Zone]
	if known && change.Offset < before.offset {
		return false
	}
	next := state{evacuated: change.Evacuate, offset: change.Offset, endedAt: before.endedAt}
	if before.evacuated && !next.evacuated {
		next.endedAt = now
	}
	if z.states == nil {
		z.states = map[string]state{}
	}
	z.states[change.Zone] = next
	return before.evacuated != next.evacuated
}

// IsEvacuated reports whether a zone is evacuated.
func (z *Zones) IsEvacuated(zone string) bool {
	return len(z.states) > 0 && z.states[zone].evacuated // the choice of a server asks for each server
}

// EndedAt returns when this process learned that the last evacuation of a zone ended; zero if none
// has.
func (z *Zones) EndedAt(zone string) time.Time { return z.states[zone].endedAt }

// List returns the evacuated zones, sorted by name.
func (z *Zones) List() []string {
	var evacuated []string
	for zone, state := range z.states {
		if state.evacuated {
			evacuated = append(evacuated, zone)
		}
	}
	slices.Sort(evacuated)
	return evacuated
}
