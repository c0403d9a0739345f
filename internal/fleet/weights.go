// Which versions of weights servers hold, for the box that orders weights to be loaded and for the
// choice of a version. A server's record lags behind a load of weights, so the versions found at
// the server itself count too.

package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// BehindServer is a server with an older version of a model.
type BehindServer struct {
	Server
	// Held is the version that it holds.
	Held int
	// suspect, heldTokens and inFlight order the servers.
	suspect              bool
	heldTokens, inFlight int
}

// ServersBehind returns the servers that hold a version of a model older than the given one.
// Servers with the oldest version come first, since the value of their answers declines first, and
// among these the servers with the least work. Servers that recently couldn't be reached come last.
func (f *Fleet) ServersBehind(model string, version int) []BehindServer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.holdsOlder(model, version) {
		return nil
	}
	now := boottime.Now()
	var behind []BehindServer
	for _, state := range f.servers {
		if held := state.weights(model); held > 0 && held < version && !state.isDraining() && state.delistedAt.IsZero() {
			behind = append(behind, BehindServer{state.Server, held, now.Before(state.suspectUntil), state.totalHeldTokens(), state.inFlight})
		}
	}
	slices.SortFunc(behind, func(a, b BehindServer) int {
		if a.suspect != b.suspect {
			if b.suspect {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Held, b.Held), cmp.Compare(a.heldTokens, b.heldTokens), cmp.Compare(a.inFlight, b.inFlight))
	})
	return behind
}

// totalHeldTokens returns the memory used by the known calls of all boxes at the server.
func (s *State) totalHeldTokens() int { return s.heldTokens + s.others.heldTokens }

// KnownCalls returns the number of known calls of all boxes at a server.
func (f *Fleet) KnownCalls(incarnation string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.remoteWork(incarnation).inFlight
	if state := f.servers[incarnation]; state != nil {
		calls += state.inFlight
	}
	return calls
}

// ModelWork is the known work of all boxes at the servers that hold a model and can be reached.
type ModelWork struct {
	// Service is the service of one of these servers.
	Service string
	// ByZone counts the servers of each zone.
	ByZone map[string]int
	// Servers counts them all, Slots is the sum of their slots, and InFlight that of the calls.
	Servers, Slots, InFlight int
	// HeldTokens is the memory that the calls use, and PrefillTime the time for the pending prefill,
	// both summed over the servers.
	HeldTokens  int
	PrefillTime time.Duration
}

// ModelWork returns the known work at the servers that hold a model.
func (f *Fleet) ModelWork(model string) ModelWork {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	work := ModelWork{ByZone: map[string]int{}}
	for _, state := range f.servers {
		if state.weights(model) > 0 && state.delistedAt.IsZero() && !state.isDraining() && !now.Before(state.suspectUntil) {
			f.addModelWork(&work, state)
		}
	}
	return work
}

// addModelWork adds the work at one server. The caller holds mu.
func (f *Fleet) addModelWork(work *ModelWork, state *State) {
	others := &state.others
	work.Service = state.Service
	work.ByZone[state.Zone]++
	work.Servers++
	work.Slots += state.Slots
	work.InFlight += state.inFlight + others.inFlight
	work.HeldTokens += state.heldTokens + others.heldTokens
	millis := float64(state.pendingTokens+others.pendingTokens) * cmp.Or(state.prefillCost, f.tokenCost())
	work.PrefillTime += time.Duration(millis * float64(time.Millisecond))
}

// CountHolders counts the listed servers that hold a model.
func (f *Fleet) CountHolders(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, state := range f.servers {
		if state.delistedAt.IsZero() && state.weights(model) > 0 {
			count++
		}
	}
	return count
}

// NewestVersion returns the newest version of a model that any server holds.
func (f *Fleet) NewestVersion(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := 0
	for service := range f.groups {
		for _, held := range f.heldVersions(service, model) {
			newest = max(newest, held)
		}
	}
	return newest
}

// holdsOlder reports whether any server holds a version of a model older than the given one. The
// caller holds mu.
func (f *Fleet) holdsOlder(model string, version int) bool {
	for service := range f.groups {
		if slices.ContainsFunc(f.heldVersions(service, model), func(held int) bool { return held < version }) {
			return true
		}
	}
	return false
}

// servedModel is a model of a service.
type servedModel struct{ service, model string }

// heldVersions returns the versions of a model's weights that servers of a service hold. They are
// needed for each call and seldom change, so they are cached until a server's weights do. The caller
// holds mu.
func (f *Fleet) heldVersions(service, model string) []int {
	key := servedModel{service, model}
	versions, known := f.versions[key]
	if known {
		return versions
	}
	for state := range f.groups[service].all() {
		if held := state.weights(model); held > 0 && !slices.Contains(versions, held) {
			versions = append(versions, held)
		}
	}
	f.versions[key] = versions
	return versions
}

// NoteWeights records that a server was found to hold a version. Within one incarnation, a server's
// version only rises.
func (f *Fleet) NoteWeights(incarnation, model string, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	if state == nil || !f.noteWeights(state, model, version) {
		return
	}
	f.cfg.Logger.Info().Str("server", incarnation).Str("model", model).Int("weights", version).Msg("weights_held")
}

// BeginOrder stops new calls of all boxes to a server that is ordered to load weights, until
// EndOrder or the given time.
func (f *Fleet) BeginOrder(incarnation string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.servers[incarnation]; state != nil {
		state.weightOrderUntil = until
		f.reporting[state] = struct{}{}
	}
}

// EndOrder allows new calls to the server again.
func (f *Fleet) EndOrder(incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state := f.servers[incarnation]; state != nil {
		state.weightOrderUntil = time.Time{}
		state.pausedUntil = time.Time{}
	}
}
