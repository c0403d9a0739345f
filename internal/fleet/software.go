// The software versions of servers. What servers of two versions write for one stream does not fit
// together, and versions have no order: several may serve side by side, and one may be withdrawn.

package fleet

import (
	"maps"
	"slices"

	"github.com/cometlock/cometlock/internal/boottime"
)

// SoftwareVersions returns the software versions of the servers of a service, including those that were
// delisted in the last forgetAfter, so that the version of any stream that is still running is among
// them. It must not be modified.
func (f *Fleet) SoftwareVersions(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions, known := f.softwareVersions[service]
	if known {
		return versions
	}
	for state := range f.groups[service].all() {
		if !slices.Contains(versions, state.Software) {
			versions = append(versions, state.Software)
		}
	}
	f.softwareVersions[service] = versions
	return versions
}

// ListedSoftware counts the listed servers of each service by software version, without draining ones.
func (f *Fleet) ListedSoftware() map[string]map[string]int {
	counts := map[string]map[string]int{}
	for _, service := range f.Services() {
		counts[service] = f.listedSoftware(service)
	}
	return counts
}

// listedSoftware is ListedSoftware for one service. Calls are placed between two of them, since counting 20,000 servers
// takes milliseconds.
func (f *Fleet) listedSoftware(service string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[string]int{}
	for state := range f.groups[service].all() {
		if state.delistedAt.IsZero() && !state.Leaving {
			counts[state.Software]++
		}
	}
	return counts
}

// ShareOfServers returns the part of the servers that are open for a call which have a software version; zero if none
// are. A sample stands for the servers of a large service.
func (f *Fleet) ShareOfServers(query Query, software string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	same, others := 0, 0
	for _, state := range f.sample(&query, min(f.attempts(query.Service)-1, 1)) {
		switch {
		case !f.isOpen(state, &query, now):
		case state.Software == software:
			same++
		default:
			others++
		}
	}
	return float64(same) / float64(max(same+others, 1))
}

// Services returns the services that have servers, including those whose servers were delisted recently.
func (f *Fleet) Services() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.groups))
}

// ZoneWithServers returns a zone with servers that are open for a call, whether or not they have room: the
// box's own one if it has any, or that with most of them. It returns the own one if no zone has any.
func (f *Fleet) ZoneWithServers(query Query) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	counts := map[string]int{}
	for state := range f.groups[query.Service].all() {
		if f.isOpen(state, &query, now) {
			counts[state.Zone]++
		}
	}
	chosen := query.Zone
	if counts[chosen] > 0 {
		return chosen
	}
	for zone, count := range counts {
		if count > counts[chosen] || count == counts[chosen] && zone < chosen {
			chosen = zone
		}
	}
	return chosen
}
