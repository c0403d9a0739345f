// Package zonereader has one box of a zone read the platform's log and ask the store boxes,
// and tell the others what it learns.
//
// Each call of the log has a price and a store box answers a dozen askers, so what boxes
// ask must not grow with their number. Who reads follows from which boxes hear each other
// (Choose): no lease, no message to agree. Boxes that hear different ones may have several
// readers for a while, which costs calls and nothing else. A box that is not told in time
// reads for itself (packages registry and partindex say when), so a reader that dies,
// freezes or is cut off delays what others know by a bounded time: at most 0.7 s until they
// notice, or what their last word counts for, 1.6 s, if the reader itself is cut off from
// the log.
//
// Ways weighed: a lease in the log (a call a second, and nobody reads while it changes
// hands); gossip (each word passes several boxes, so its age is a multiple of one way, and
// the bounds leave 2 s); each box telling every other (grows with the square). One reader
// a zone, asked by the others, has one hop, and a question costs the reader 0.1 ms.
package zonereader

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Box is an entry box.
type Box struct {
	Name string
	Zone string
	// Address is where boxes that follow it ask it.
	Address string
}

const (
	// smallZone is the number of boxes below which a zone has no reader of its own: its
	// boxes and those of other small zones have one together, so that a fleet of a dozen
	// boxes in four zones does not have four.
	smallZone = 8
	// boxesPerReader bounds the boxes of one reader: 24 of them ask some 100 times a
	// second together, about a hundredth of a core.
	boxesPerReader = 24
)

// Choose gives the box that a box follows, of those that it hears; false when it is to read
// itself. All boxes that hear the same ones choose alike.
func Choose(self Box, others []Box) (reader Box, follow bool) {
	group := group(self, append(slices.Clone(others), self))
	slices.SortFunc(group, func(a, b Box) int { return compareRank(rank("reader", a.Name), rank("reader", b.Name), a, b) })
	readers := group[:(len(group)+boxesPerReader-1)/boxesPerReader]
	if slices.ContainsFunc(readers, func(b Box) bool { return b.Name == self.Name }) {
		return Box{}, false
	}
	return slices.MinFunc(readers, func(a, b Box) int { return compareRank(rank(self.Name, a.Name), rank(self.Name, b.Name), a, b) }), true
}

// group lists the boxes that share readers with a box.
func group(self Box, boxes []Box) []Box {
	sizes := map[string]int{}
	for _, box := range boxes {
		sizes[box.Zone]++
	}
	return slices.DeleteFunc(boxes, func(b Box) bool {
		if sizes[self.Zone] >= smallZone {
			return b.Zone != self.Zone
		}
		return sizes[b.Zone] >= smallZone
	})
}

func rank(seed, name string) uint64 { return xxhash.Sum64String(seed + "/" + name) }

func compareRank(a, b uint64, first, second Box) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	case first.Name < second.Name:
		return -1
	default:
		return 1
	}
}
