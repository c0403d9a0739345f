// The status of an incarnation in the registry, which distinguishes a crash from a planned stop.

package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cometlock/cometlock/internal/boottime"
)

// RegistryStatus is the status of an incarnation in the registry.
type RegistryStatus uint8

// Statuses of an incarnation.
const (
	// StatusListed means that it is listed and not leaving.
	StatusListed RegistryStatus = iota + 1
	// StatusLeft means that it announced that it leaves, or that its entry was removed and nothing
	// else is known.
	StatusLeft
	// StatusReplaced means that, without such an announcement, another incarnation of the server is
	// listed, or another server at its address.
	StatusReplaced
)

// RegistryStatus returns the status of an incarnation.
func (f *Fleet) RegistryStatus(incarnation string) RegistryStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	switch {
	case state == nil || state.isDraining():
		return StatusLeft
	case f.isReplaced(state):
		return StatusReplaced
	case !state.delistedAt.IsZero():
		return StatusLeft
	default:
		return StatusListed
	}
}

// SampleAddresses returns the addresses of some servers of a service, at random, that are listed and not
// draining.
func (f *Fleet) SampleAddresses(service string, count int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sample []string
	seen := 0
	for state := range f.groups[service].all() {
		if state.isDraining() || !state.delistedAt.IsZero() {
			continue
		}
		seen++
		if len(sample) < count {
			sample = append(sample, state.Address)
		} else if at := rand.IntN(seen); at < count { // reservoir sampling
			sample[at] = state.Address
		}
	}
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample
}

// ZonePeers returns the addresses of the other servers in a server's zone that this box considers
// reachable, sorted by this box's calls in flight, most first.
func (f *Fleet) ZonePeers(server Server) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	var peers []*State
	for _, other := range f.servers {
		if other.Zone == server.Zone && other.Address != server.Address && other.delistedAt.IsZero() && !other.isSuspect(now) {
			peers = append(peers, other)
		}
	}
	slices.SortFunc(peers, func(a, b *State) int {
		return cmp.Or(-cmp.Compare(a.inFlight, b.inFlight), strings.Compare(a.Incarnation, b.Incarnation))
	})
	addresses := make([]string, len(peers))
	for i, other := range peers {
		addresses[i] = other.Address
	}
	return addresses
}

// isReplaced reports whether another incarnation is listed at a server's address. The caller holds
// mu.
func (f *Fleet) isReplaced(state *State) bool {
	for _, other := range f.servers {
		if other != state && other.delistedAt.IsZero() && other.Address == state.Address && other.offset >= state.offset {
			return true
		}
	}
	return false
}
