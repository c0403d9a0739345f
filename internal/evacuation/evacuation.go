// Package evacuation keeps which availability zones operators have evacuated. No call is handed to
// a server of an evacuated zone until the operators take the zone back; calls that run there go on.
//
// The newest record on a zone decides, by the order of the platform's log: a record that arrives
// late changes nothing.
package evacuation

import (
	"slices"
	"time"
)

// Change is one record of the operators.
type Change struct {
	Zone string
	// Active says that the zone is evacuated, rather than taken back.
	Evacuate bool
	// Offset is the record's position in the log.
	Offset int64
}

// Zones holds the state of all zones on which there was a record. The zero value knows none. It is
// not safe for concurrent use.
type Zones struct {
	zones map[string]state
}

// state is what the newest record on a zone says.
type state struct {
	active bool
	offset int64
	// endedAt is when this process learned that the zone was taken back.
	endedAt time.Time
}

// Apply takes over a record at time now, and reports whether the zone's state changed.
func (z *Zones) Apply(change Change, now time.Time) (changed bool) {
	before, known := z.zones[change.Zone]
	if known && change.Offset < before.offset {
		return false
	}
	next := state{active: change.Evacuate, offset: change.Offset, endedAt: before.endedAt}
	if before.active && !next.active {
		next.endedAt = now
	}
	if z.zones == nil {
		z.zones = map[string]state{}
	}
	z.zones[change.Zone] = next
	return before.active != next.active
}

// Active reports whether a zone is evacuated.
func (z *Zones) IsEvacuated(zone string) bool { return z.zones[zone].active }

// EndedAt gives when this process learned that a zone was taken back; zero if it never was.
func (z *Zones) EndedAt(zone string) time.Time { return z.zones[zone].endedAt }

// All lists the evacuated zones in the order of their names.
func (z *Zones) List() []string {
	var active []string
	for zone, state := range z.zones {
		if state.active {
			active = append(active, zone)
		}
	}
	slices.Sort(active)
	return active
}
