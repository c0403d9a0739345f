// Whether a service has servers that accept calls, and when the next one does.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Availability describes when a service accepts calls, regardless of the load of its servers.
type Availability struct {
	// Listed reports whether any server is listed that isn't draining, even if it is in an evacuated zone.
	Listed bool
	// HasServers reports whether any server may accept calls now or soon: it is listed, isn't
	// draining, and isn't in an evacuated zone.
	HasServers bool
	// Wait is how long no server accepts calls according to their own statements, and ForThisBox
	// reports whether one accepts a call of this box after that.
	Wait       time.Duration
	ForThisBox bool
}

// Availability returns when a service accepts calls in some zones; zoneAllowed is nil for all zones.
func (f *Fleet) Availability(service string, zoneAllowed func(zone string) bool) Availability {
	return f.AvailabilityFor(Query{Service: service, ZoneAllowed: zoneAllowed})
}

// AvailabilityFor returns when the servers of the query's service, zones and software version accept
// calls.
func (f *Fleet) AvailabilityFor(query Query) Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	best := Availability{}
	for state := range f.groups[query.Service].all() {
		if state.isDraining() || !f.isPresent(state, now) || query.Software != nil && state.Software != *query.Software {
			continue
		}
		best.Listed = true
		if f.evacuated.IsEvacuated(state.Zone) || query.ZoneAllowed != nil && !query.ZoneAllowed(state.Zone) {
			continue
		}
		wait, here := state.stated().Wait(now, f.limitPosition(state))
		if isBrittle(state) {
			wait = max(wait, state.stated().BlockedFor(now))
			here = here && f.roomShare(state, now) > 0
		}
		if !best.HasServers || here && !best.ForThisBox || here == best.ForThisBox && wait < best.Wait {
			best = Availability{Listed: true, HasServers: true, Wait: wait, ForThisBox: here}
		}
		if here && wait == 0 {
			break
		}
	}
	return best
}
