// Which boxes hold the origin of a stream.

package streamorigin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// replicas is the number of holders of an origin.
const replicas = 3

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
func holders(key Key, boxes []Box) []Box {
	seed := xxhash.Sum64(key[:])
	first := map[string]ranked{}
	var rest []ranked
	for i := range boxes {
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

// mix is the finalizer of MurmurHash3. Without it, boxes would be ranked alike for similar seeds.
func mix(hash uint64) uint64 {
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	hash = (hash ^ hash>>33) * 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// boxes returns the boxes that may hold origins, this one included, without those that are unavailable or
// avoided if available is set. The caller holds mu.
func (o *Origins) boxes(now time.Time, available bool) []Box {
	boxes := []Box{o.cfg.Self}
	for _, box := range o.cfg.Others() {
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
