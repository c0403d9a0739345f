// Which versions of weights servers hold, for the box that gives orders and for the
// choice of version. A server's record lags behind a load, so what was found at the
// server itself counts too.

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Behind lists the servers that hold an older version of a model than the given one:
// those with the oldest first, since their answers lose their worth first, and of
// these those with the least work. Servers that could not be reached lately come last.
func (f *Fleet) ServersBehind(model string, version int) []Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	var behind []*State
	for _, state := range f.servers {
		if held := state.weights(model); held > 0 && held < version && !state.isDraining() && state.gone.IsZero() {
			behind = append(behind, state)
		}
	}
	slices.SortFunc(behind, func(a, b *State) int {
		if as, bs := now.Before(a.suspectUntil), now.Before(b.suspectUntil); as != bs {
			if bs {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.weights(model), b.weights(model)), cmp.Compare(f.heldAt(a), f.heldAt(b)), cmp.Compare(a.inFlight, b.inFlight))
	})
	servers := make([]Server, len(behind))
	for i, state := range behind {
		servers[i] = state.Server
	}
	return servers
}

// heldAt gives the memory that the known calls at a server take, of all boxes. The
// caller holds mu.
func (f *Fleet) heldAt(state *State) int {
	return state.heldTokens + f.othersAt(state.Incarnation).heldTokens
}

// Holders counts the listed servers that hold a model.
func (f *Fleet) CountHolders(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, state := range f.servers {
		if state.gone.IsZero() && state.weights(model) > 0 {
			count++
		}
	}
	return count
}

// NewestHeld gives the newest version of a model that any server holds.
func (f *Fleet) NewestVersion(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := 0
	for _, state := range f.servers {
		newest = max(newest, state.weights(model))
	}
	return newest
}

// NoteWeights notes that a server was found to hold a version. Within one life a
// server's version only rises.
func (f *Fleet) NoteWeights(incarnation, model string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	if state == nil || !state.hold(model, version) {
		return
	}
	f.cfg.Logger.Info().Str("server", incarnation).Str("model", model).Int("weights", version).Msg("weights_held")
}

// BeginOrder keeps new calls of all boxes from a server that is to load weights,
// until EndOrder or the given time.
func (f *Fleet) BeginOrder(incarnation string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.servers[incarnation]; state != nil {
		state.orderedUntil = until
	}
}

// EndOrder lets calls go to the server again.
func (f *Fleet) EndOrder(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.servers[incarnation]; state != nil {
		state.orderedUntil = time.Time{}
		state.pausedUntil = time.Time{}
	}
}
