// Package delegate chooses which boxes of a zone do something for the others: read the
// platform's log, or pass on what boxes tell each other.
//
// All boxes that know the same ones choose alike, by rendezvous hashing: no lease, no
// message to agree. Boxes that know different ones may have several delegates for a while,
// which costs messages and nothing else, so nothing that must hold may rest on there being
// one.
//
// What a delegate does grows with the boxes of its zone, and a zone has small boxes and large
// ones. So delegates are chosen among the large boxes of the zone as long as any is there:
// the busiest of 295 boxes, a hub or a reader, took a fifth of its processor and a tenth of
// its link, of which the small boxes have a quarter and a tenth.
package delegate

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Role is what a delegate does for the others. Each has an order of its own, so that one
// box does not get all of them.
type Role string

// Box is an entry box.
type Box struct {
	Name string
	Zone string
	// Cores is the processor that it may use; zero where it does not say.
	Cores float64
	// Unavailable says that it is not to be chosen now: it is not heard, or did not answer. It
	// counts all the same for which zones have delegates of their own, which must not change
	// while boxes that start are heard one after the other.
	Unavailable bool
}

// Config says how many delegates there are.
type Config struct {
	Role Role
	// BoxesPerDelegate bounds the boxes of one delegate.
	BoxesPerDelegate int
}

const (
	// smallZone is the number of boxes below which a zone has no delegate of its own: its
	// boxes and those of other small zones have one together, so that a fleet of a dozen
	// boxes in four zones does not have four.
	smallZone = 8
	// largePart is the part of the largest box's cores from which on a box counts as large.
	largePart = 0.5
)

// Choose gives the delegate of a box, of those that are listed; false when it is one itself.
func Choose(cfg Config, self Box, others []Box) (chosen Box, other bool) {
	delegates := ofGroup(cfg, group(self.Zone, append(slices.Clone(others), self)))
	if slices.ContainsFunc(delegates, func(b Box) bool { return b.Name == self.Name }) {
		return Box{}, false
	}
	return slices.MinFunc(delegates, byRank(self.Name)), true
}

// ForZone gives the first delegate of a zone, which is the same for all who know the same
// boxes, whatever their own zone; false where nobody is there.
func ForZone(cfg Config, zone string, boxes []Box) (Box, bool) {
	delegates := ofGroup(cfg, group(zone, slices.Clone(boxes)))
	if len(delegates) == 0 {
		return Box{}, false
	}
	return delegates[0], true
}

// IsStandby reports whether a box would take the place of the only delegate that there is.
// Where there are several they stand in for each other.
func IsStandby(cfg Config, self Box, others []Box) bool {
	only, other := Choose(cfg, self, others)
	if !other || len(OfOtherGroups(cfg, self.Zone, append(slices.Clone(others), self))) > 0 {
		return false
	}
	rest := slices.Clone(others)
	for i := range rest {
		rest[i].Unavailable = rest[i].Unavailable || rest[i].Name == only.Name
	}
	_, other = Choose(cfg, self, rest)
	return !other
}

// OfOtherGroups gives the delegates of all groups but that of a zone.
func OfOtherGroups(cfg Config, zone string, boxes []Box) []Box {
	own := map[string]bool{}
	for _, box := range group(zone, slices.Clone(boxes)) {
		own[box.Zone] = true
	}
	rest := slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return own[b.Zone] || b.Zone == zone })
	var delegates []Box
	for len(rest) > 0 {
		next := group(rest[0].Zone, slices.Clone(rest)) // it is not empty
		delegates = append(delegates, ofGroup(cfg, next)...)
		rest = slices.DeleteFunc(rest, func(b Box) bool { return slices.Contains(next, b) })
	}
	return delegates
}

// Group lists the boxes that share delegates with a zone.
func Group(zone string, boxes []Box) []Box { return group(zone, slices.Clone(boxes)) }

// group drops the boxes that do not share delegates with a zone.
func group(zone string, boxes []Box) []Box {
	sizes := map[string]int{}
	for _, box := range boxes {
		sizes[box.Zone]++
	}
	return slices.DeleteFunc(boxes, func(b Box) bool {
		if sizes[zone] >= smallZone {
			return b.Zone != zone
		}
		return b.Zone != zone && sizes[b.Zone] >= smallZone
	})
}

// ofGroup gives the delegates of a group: as many as it needs, the first by rank.
func ofGroup(cfg Config, boxes []Box) []Box {
	needed := (len(boxes) + cfg.BoxesPerDelegate - 1) / cfg.BoxesPerDelegate
	there := slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return b.Unavailable })
	able := large(there)
	if len(able) < needed {
		able = there
	}
	slices.SortFunc(able, byRank(string(cfg.Role)))
	return able[:min(needed, len(able))]
}

// large lists the boxes with at least a part of the processor of the largest.
func large(boxes []Box) []Box {
	most := 0.0
	for _, box := range boxes {
		most = max(most, box.Cores)
	}
	return slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return b.Cores < largePart*most })
}

// byRank compares boxes by their rank for a name or a role.
func byRank(seed string) func(a, b Box) int {
	return func(a, b Box) int {
		return compareRank(rank(seed, a.Name), rank(seed, b.Name), a, b)
	}
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
	case first.Name > second.Name:
		return 1
	default:
		return 0
	}
}
