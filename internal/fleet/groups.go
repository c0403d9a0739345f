// The servers of each service by availability zone, and the sample of them that a call is placed
// among. A look at every server for each call costs a box with 10,000 servers some milliseconds of
// a core a call. The best of a few dozen random servers is nearly as good as the best of all (power
// of d choices), so a service with more servers than that is sampled.

package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxScanned is the number of servers of a service up to which a call is placed among all of
	// them.
	maxScanned = 512
	// sampledInZone and sampledElsewhere are the sizes of the sample in a larger service, in the
	// call's zone and in all other zones together. If none of these accepts the call, maxScanned
	// servers of each are tried, and then all.
	sampledInZone    = 64
	sampledElsewhere = 32
)

// pool holds the servers of a service in a zone, ordered by the hash of their incarnations, so that
// neighbours have nothing in common.
type pool struct {
	states []*State
	// unsorted means that states were added since the last use. A box that starts adds thousands.
	unsorted bool
}

func (p *pool) add(state *State) {
	p.states, p.unsorted = append(p.states, state), true
}

func (p *pool) remove(state *State) {
	p.sort()
	if at, found := slices.BinarySearchFunc(p.states, state, compareOrder); found {
		p.states = slices.Delete(p.states, at, at+1)
	}
}

func (p *pool) sort() {
	if p.unsorted {
		slices.SortFunc(p.states, compareOrder)
		p.unsorted = false
	}
}

func compareOrder(a, b *State) int {
	return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.Incarnation, b.Incarnation))
}

// appendWindow appends count servers, or all if there are fewer, from the position of the seed among
// the hashes. For one seed they change only by the servers that come or go there.
func (p *pool) appendWindow(servers []*State, seed uint64, count int) []*State {
	p.sort()
	first, _ := slices.BinarySearchFunc(p.states, seed, func(s *State, seed uint64) int { return cmp.Compare(s.order, seed) })
	servers = append(servers, p.states[first:min(first+count, len(p.states))]...)
	if rest := first + count - len(p.states); rest > 0 {
		servers = append(servers, p.states[:min(rest, first)]...)
	}
	return servers
}

// group holds the servers of a service by zone.
type group struct {
	pools map[string]*pool
	count int
}

// all yields all servers of the group; a nil group has none.
func (g *group) all() iter.Seq[*State] {
	return func(yield func(*State) bool) {
		if g == nil {
			return
		}
		for _, p := range g.pools {
			for _, state := range p.states {
				if !yield(state) {
					return
				}
			}
		}
	}
}

// size returns the number of servers of the group.
func (g *group) size() int {
	if g == nil {
		return 0
	}
	return g.count
}

// sample returns up to inZone servers of a zone and up to elsewhere servers of each other zone. The
// seed selects which.
func (g *group) sample(zone string, seed uint64, inZone, elsewhere int) []*State {
	servers := make([]*State, 0, min(inZone+elsewhere*(len(g.pools)-1), g.count))
	for _, name := range slices.Sorted(maps.Keys(g.pools)) {
		count := elsewhere
		if name == zone {
			count = inZone
		}
		servers = g.pools[name].appendWindow(servers, seed, count)
	}
	return servers
}

// addToGroup lists a server under its service and zone. The caller holds mu.
func (f *Fleet) addToGroup(state *State) {
	if state.grouped {
		return
	}
	clear(f.versions)
	delete(f.softwareVersions, state.Service)
	state.grouped, state.order = true, xxhash.Sum64String(state.Incarnation)
	g := f.groups[state.Service]
	if g == nil {
		g = &group{pools: map[string]*pool{}}
		f.groups[state.Service] = g
	}
	p := g.pools[state.Zone]
	if p == nil {
		p = &pool{}
		g.pools[state.Zone] = p
	}
	p.add(state)
	g.count++
}

// removeFromGroup removes a server from its service and zone, if it is listed there. The caller
// holds mu.
func (f *Fleet) removeFromGroup(state *State) {
	if !state.grouped {
		return
	}
	clear(f.versions)
	delete(f.softwareVersions, state.Service)
	state.grouped = false
	g := f.groups[state.Service]
	p := g.pools[state.Zone]
	p.remove(state)
	g.count--
	if len(p.states) == 0 {
		delete(g.pools, state.Zone)
	}
	if g.count == 0 {
		delete(f.groups, state.Service)
	}
}

// isSampled reports whether a call to a service is placed among a sample of its servers.
func (f *Fleet) isSampled(service string) bool { return f.groups[service].size() > maxScanned }

// sampleCount is the number of samples among which a call to a large service is placed, one after the other.
const sampleCount = 3

// attempts returns among how many samples a call to a service is placed. The caller holds mu.
func (f *Fleet) attempts(service string) int {
	if f.isSampled(service) {
		return sampleCount
	}
	return 1
}

// sample returns the servers among which a call is placed in an attempt: all servers of a small
// service, or a small sample, a larger one, and all of them. The caller holds mu, and may modify the
// slice.
func (f *Fleet) sample(query *Query, attempt int) []*State {
	g := f.groups[query.Service]
	if attempt == f.attempts(query.Service)-1 {
		return slices.AppendSeq(make([]*State, 0, g.size()), g.all())
	}
	zones := len(g.pools)
	seed, inZone, elsewhere := query.Load.TieBreaker, sampledInZone, max(1, sampledElsewhere/zones)
	if attempt > 0 {
		inZone, elsewhere = maxScanned, max(1, maxScanned/zones)
	}
	if query.Load.AffinityKey != 0 {
		// Boxes of all zones must find the same two servers, so the sample is that of no zone.
		seed, elsewhere = query.Load.AffinityKey, max(1, (sampledInZone+sampledElsewhere)/zones)
		if attempt > 0 {
			elsewhere = max(1, maxScanned/zones)
		}
		inZone = elsewhere
	}
	return g.sample(query.Zone, seed, inZone, elsewhere)
}
