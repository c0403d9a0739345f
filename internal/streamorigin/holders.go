// Which boxes hold the origin of a stream.

package streamorigin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// replicas is the number of holders of an origin.
	replicas = 3
	// smallFleet is the number of other boxes up to which all of them are asked for an origin. The box that
	// began the stream has it too, and need not be a holder.
	smallFleet = 16
)

// ranked is the index of a box with its rank for a key; the highest rank is first.
type ranked struct {
	index int
	rank  uint64
}

func (r ranked) precedes(other ranked) bool { return compareRank(r, other) < 0 }

func compareRank(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.index, b.index))
}

// holders returns the boxes that hold the origin of a key: the first box of each of the first zones, by
// rendezvous hashing, and where there are fewer zones than replicas, the next boxes of any zone.
func holders(key Key, boxes []Box) []Box { return holdersWithout(key, boxes, "") }

// holdersWithout returns the holders if a box did not count.
func holdersWithout(key Key, boxes []Box, excluded string) []Box {
	seed := xxhash.Sum64(key[:])
	first := map[string]ranked{}
	var rest []ranked
	for i := range boxes {
		if boxes[i].Name == excluded {
			continue
		}
		each := ranked{i, mix(seed ^ xxhash.Sum64String(boxes[i].Name))}
		best, found := first[boxes[i].Zone]
		if !found || each.precedes(best) {
			first[boxes[i].Zone], each = each, best
		}
		if found {
			rest = append(rest, each)
		}
	}
	chosen := slices.SortedFunc(maps.Values(first), compareRank)
	if len(chosen) < replicas {
		slices.SortFunc(rest, compareRank)
		chosen = append(chosen, rest...)
	}
	holding := make([]Box, min(len(chosen), replicas))
	for i := range holding {
		holding[i] = boxes[chosen[i].index]
	}
	return holding
}

// possibleHolders returns all boxes of a small fleet, and otherwise those that hold the origin of a key if any
// single box did not count when its holders were chosen: the one that began the stream, which holds no copy
// for itself, or one that it took for unavailable.
func possibleHolders(key Key, boxes []Box) []Box {
	if len(boxes) <= smallFleet {
		return boxes
	}
	possible := holders(key, boxes)
	for _, excluded := range slices.Clone(possible) {
		for _, box := range holdersWithout(key, boxes, excluded.Name) {
			if !containsBox(possible, box) {
				possible = append(possible, box)
			}
		}
	}
	return possible
}

func containsBox(boxes []Box, box Box) bool {
	return slices.ContainsFunc(boxes, func(b Box) bool { return b.Name == box.Name })
}

// mix is the finalizer of MurmurHash3. Without it, boxes would be ranked alike for similar seeds.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// others returns the other boxes that may hold origins, without those that are unavailable or avoided if
// available is set. The caller holds mu.
func (o *Origins) others(now time.Time, available bool) []Box {
	listed := o.cfg.Others()
	boxes := make([]Box, 0, len(listed)+1)
	for _, box := range listed {
		if box.Address == "" || available && (box.Unavailable || now.Before(o.avoided[box.Name])) {
			continue
		}
		boxes = append(boxes, box)
	}
	return boxes
}

// avoid records that a box did not respond.
func (o *Origins) avoid(box Box, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	avoidIn(o.avoided, box, now)
}

// avoidIn adds a box to those that are avoided for avoidDuration.
func avoidIn(avoided map[string]time.Time, box Box, now time.Time) {
	maps.DeleteFunc(avoided, func(_ string, until time.Time) bool { return now.After(until) })
	avoided[box.Name] = now.Add(avoidDuration)
}
