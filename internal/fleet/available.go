// Whether a service has servers that take calls at all, and when the next of them does.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Availability says when a service takes calls, whatever room its servers have.
type Availability struct {
	// Servers reports whether any server may take calls now or soon: one that is listed, does not
	// drain and is in no evacuated zone.
	HasServers bool
	// Wait is how long none of them takes a call by what it says of itself, and Here reports whether
	// one then takes a call of this box.
	Wait       time.Duration
	ForThisBox bool
}

// Availability says when a service takes calls in some zones; in is nil for all.
func (f *Fleet) Availability(service string, in func(zone string) bool) Availability {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	found := Availability{}
	for _, state := range f.byService[service] {
		if state.isDraining() || !f.present(state, now) || f.evacuated.IsEvacuated(state.Zone) || in != nil && !in(state.Zone) {
			continue
		}
		wait, here := state.advised.Wait(now, f.position(state, now))
		if !found.HasServers || here && !found.ForThisBox || here == found.ForThisBox && wait < found.Wait {
			found = Availability{HasServers: true, Wait: wait, ForThisBox: here}
		}
		if here && wait == 0 {
			break
		}
	}
	return found
}
