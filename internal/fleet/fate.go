// What the registry says became of a server, for those who must tell a crash from a planned
// end.

package fleet

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Fate is what became of a life of a server.
type RegistryStatus uint8

// Fates of a life.
const (
	// FateListed: it stands in the registry and is to stay.
	StatusListed RegistryStatus = iota + 1
	// FateLeft: it said that it leaves, or its entry went and nothing says more.
	StatusLeft
	// FateReplaced: without a word before, another life of the server is listed, or another
	// server at its address.
	StatusReplaced
)

// Fate says what became of a life of a server.
func (f *Fleet) RegistryStatus(incarnation string) RegistryStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	switch {
	case state == nil || state.isDraining():
		return StatusLeft
	case f.replaced(state):
		return StatusReplaced
	case !state.gone.IsZero():
		return StatusLeft
	default:
		return StatusListed
	}
}

// Near gives the addresses of other servers of a server's zone that can be reached as far as
// this box knows, those first that most of its calls are at.
func (f *Fleet) ZonePeers(server Server) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	var near []*State
	for _, other := range f.servers {
		if other.Zone == server.Zone && other.Address != server.Address && other.gone.IsZero() && !other.suspect(now) {
			near = append(near, other)
		}
	}
	slices.SortFunc(near, func(a, b *State) int {
		return cmp.Or(-cmp.Compare(a.inFlight, b.inFlight), strings.Compare(a.Incarnation, b.Incarnation))
	})
	addresses := make([]string, len(near))
	for i, other := range near {
		addresses[i] = other.Address
	}
	return addresses
}

// replaced reports whether another life stands where one is or was. The caller holds mu.
func (f *Fleet) replaced(state *State) bool {
	for _, other := range f.servers {
		if other != state && other.gone.IsZero() && other.Address == state.Address && other.offset >= state.offset {
			return true
		}
	}
	return false
}
