// Cold servers: which ones are cold in this box's view, and whether it may call them (package
// coldstart).

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
)

// SetColdLimits sets the limits for the cold servers of each service.
func (f *Fleet) SetColdLimits(limits map[string]coldstart.Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldLimits = limits
}

// isCold reports whether a server is cold: its entry marks it as cold and that time hasn't passed,
// or its zone was returned to service so recently that its entry may not be marked yet. The caller
// holds mu.
func (f *Fleet) isCold(state *State, now time.Time) bool {
	if now.Before(state.coldUntil) {
		return true
	}
	if len(f.coldLimits) == 0 {
		return false
	}
	limit := f.coldLimits[state.Service]
	return limit.Bounded() && now.Before(f.evacuated.EndedAt(state.Zone).Add(limit.ColdTime))
}

// isBounded reports whether calls to a server are limited now because it is cold. The caller holds
// mu.
func (f *Fleet) isBounded(state *State, now time.Time) bool {
	return len(f.coldLimits) > 0 && f.coldLimits[state.Service].Bounded() && f.isCold(state, now)
}

// isColdExcluded reports whether this box may not call a cold server, since another box calls it or
// this one has used up the limit. The caller holds mu.
func (f *Fleet) isColdExcluded(state *State, now time.Time) bool {
	return f.isBounded(state, now) && (!f.ownsColdServer(state) || !state.coldCalls.HasRoom(f.coldLimits[state.Service], now))
}

func (f *Fleet) ownsColdServer(state *State) bool {
	return f.cfg.OwnsColdServer == nil || f.cfg.OwnsColdServer(state.Zone, state.Incarnation)
}

// countColdCall counts a call that is placed at a server, and reports whether its calls are limited
// because it is cold. The caller holds mu.
func (f *Fleet) countColdCall(state *State, now time.Time) bool {
	bounded := f.isBounded(state, now)
	if bounded {
		state.coldCalls.Admit(now)
	}
	return bounded
}

// CountCold counts the listed servers that are cold, and those of them that this box may call.
func (f *Fleet) CountCold() (cold, own int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for _, state := range f.servers {
		if !state.delistedAt.IsZero() || !f.isCold(state, now) {
			continue
		}
		cold++
		if f.ownsColdServer(state) {
			own++
		}
	}
	return cold, own
}
