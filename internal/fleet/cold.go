// Cold servers: which are cold, as far as this box knows, and whether it may call them
// (package coldstart).

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
)

// SetColdLimits takes over what is allowed at the cold servers of each service.
func (f *Fleet) SetColdLimits(limits map[string]coldstart.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldLimits = limits
}

// isCold reports whether a server is cold: its entry said so for longer than until now, or its zone
// was taken back so lately that its entry may not say so yet. The caller holds mu.
func (f *Fleet) isCold(state *State, now time.Time) bool {
	if now.Before(state.coldUntil) {
		return true
	}
	limit := f.coldLimits[state.Service]
	return limit.Bounded() && now.Before(f.evacuated.EndedAt(state.Zone).Add(limit.ColdTime))
}

// isBounded reports whether the calls to a server are bounded now. The caller holds mu.
func (f *Fleet) isBounded(state *State, now time.Time) bool {
	return f.coldLimits[state.Service].Bounded() && f.isCold(state, now)
}

// isSpared reports whether this box keeps calls from a cold server: another box calls it, or this
// one has sent it all that it may. The caller holds mu.
func (f *Fleet) isSpared(state *State, now time.Time) bool {
	return f.isBounded(state, now) && (!f.callsCold(state) || !state.coldCalls.HasRoom(f.coldLimits[state.Service], now))
}

func (f *Fleet) callsCold(state *State) bool {
	return f.cfg.OwnsColdServer == nil || f.cfg.OwnsColdServer(state.Zone, state.Incarnation)
}

// noteCold counts a call that is placed at a server, and reports whether its calls are bounded since it
// is cold. The caller holds mu.
func (f *Fleet) noteCold(state *State, now time.Time) bool {
	bounded := f.isBounded(state, now)
	if bounded {
		state.coldCalls.Admit(now)
	}
	return bounded
}

// Cold counts the listed servers that are cold, and those of them that this box calls.
func (f *Fleet) CountCold() (cold, own int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for _, state := range f.servers {
		if !state.gone.IsZero() || !f.isCold(state, now) {
			continue
		}
		cold++
		if f.callsCold(state) {
			own++
		}
	}
	return cold, own
}
