// Package delegate chooses the boxes of a zone that perform a role for the others, such as reading
// the platform's log or forwarding reports between boxes.
//
// The choice uses rendezvous hashing, so boxes with the same list of boxes make the same choice
// without a lease or any message. Boxes with different lists may have several delegates for a
// while. This costs only extra messages, so no invariant may depend on a single delegate.
//
// The work of a delegate grows with the boxes of its zone, which may have small and large boxes.
// Delegates are therefore chosen among the large boxes of the zone while any is available: the
// busiest of 295 boxes, a hub or a reader, used a fifth of its CPU and a tenth of its network
// bandwidth. Small boxes have a quarter of that CPU and a tenth of that bandwidth.
package delegate

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Role is what a delegate does for the others. Boxes rank differently for each role, so that one
// box does not get all of them.
type Role string

// Box is an entry box.
type Box struct {
	Name string
	Zone string
	// Cores is the number of CPU cores that the box may use; zero if unknown.
	Cores float64
	// Unavailable excludes the box from the choice: it sends no reports or did not respond. The box
	// still counts towards the size of its zone, which decides whether the zone has its own
	// delegates. That must not change while the reports of starting boxes arrive one after the
	// other.
	Unavailable bool
}

// Config selects a role and its number of delegates.
type Config struct {
	Role Role
	// BoxesPerDelegate bounds the boxes of one delegate.
	BoxesPerDelegate int
}

const (
	// minBoxesForOwnDelegate is the number of boxes from which a zone has its own delegates.
	// Smaller zones form one group, so that a fleet of a dozen boxes in four zones does not have
	// four delegates.
	minBoxesForOwnDelegate = 8
	// minLargeShare is the share of the largest box's cores from which a box counts as large.
	minLargeShare = 0.5
)

// Choose returns the delegate that a box follows, or false if the box is a delegate itself or no box is
// available.
func Choose(cfg Config, self Box, others []Box) (chosen Box, found bool) {
	delegates := delegatesOf(cfg, inGroup(self.Zone, append(slices.Clone(others), self)))
	if len(delegates) == 0 || slices.ContainsFunc(delegates, func(b Box) bool { return b.Name == self.Name }) {
		return Box{}, false
	}
	return slices.MinFunc(delegates, byRank(self.Name)), true
}

// ForZone returns the first delegate of a zone, or false if no box is available. It is the same for
// all callers with the same list of boxes, in any zone.
func ForZone(cfg Config, zone string, boxes []Box) (Box, bool) {
	delegates := delegatesOf(cfg, inGroup(zone, slices.Clone(boxes)))
	if len(delegates) == 0 {
		return Box{}, false
	}
	return delegates[0], true
}

// IsStandby reports whether a box would replace the only delegate. There is no standby if there are
// several delegates, since they replace each other.
func IsStandby(cfg Config, self Box, others []Box) bool {
	current, found := Choose(cfg, self, others)
	if !found || hasOtherGroups(self.Zone, others) {
		return false
	}
	rest := slices.Clone(others)
	for i := range rest {
		rest[i].Unavailable = rest[i].Unavailable || rest[i].Name == current.Name
	}
	_, found = Choose(cfg, self, rest)
	return !found
}

// hasOtherGroups reports whether any available box is in another group than a zone.
func hasOtherGroups(zone string, boxes []Box) bool {
	sizes := zoneSizes(boxes)
	sizes[zone]++ // the caller's own box
	own := groupOf(zone, sizes)
	return slices.ContainsFunc(boxes, func(b Box) bool { return !b.Unavailable && groupOf(b.Zone, sizes) != own })
}

// OfOtherGroups returns the delegates of all groups except that of a zone.
func OfOtherGroups(cfg Config, zone string, boxes []Box) []Box {
	sizes := zoneSizes(boxes)
	own := groupOf(zone, sizes)
	groups := map[string][]Box{}
	for _, box := range boxes {
		if name := groupOf(box.Zone, sizes); name != own && box.Zone != zone {
			groups[name] = append(groups[name], box)
		}
	}
	var delegates []Box
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		delegates = append(delegates, delegatesOf(cfg, groups[name])...)
	}
	return delegates
}

// Roots returns the delegates of all zones with delegates of their own, by rank: the first performs
// the role for the delegates of all groups, and the next ones would replace it. It returns none if
// too few zones have delegates. The result is the same for all callers with the same list of boxes.
func Roots(cfg Config, boxes []Box) []Box {
	delegates := OfOtherGroups(cfg, noZone, boxes)
	zones := map[string]bool{}
	for _, box := range delegates {
		zones[box.Zone] = true
	}
	if len(zones) < minZonesForRoot {
		return nil
	}
	sortByRank(rootSeed+string(cfg.Role), delegates)
	return delegates
}

const (
	// minZonesForRoot is the number of zones with delegates from which there are roots. With fewer,
	// it would save little.
	minZonesForRoot = 3
	// rootSeed makes the rank of roots independent of that of delegates.
	rootSeed = "root/"
	// noZone is the name of no zone. Like those of small zones, it belongs to the shared group.
	noZone = "\x00none"
)

// sharedGroup is the name of the group of all small zones; other groups have the name of their zone.
const sharedGroup = "\x00small"

func groupOf(zone string, sizes map[string]int) string {
	if sizes[zone] >= minBoxesForOwnDelegate {
		return zone
	}
	return sharedGroup
}

func zoneSizes(boxes []Box) map[string]int {
	sizes := map[string]int{}
	for _, box := range boxes {
		sizes[box.Zone]++
	}
	return sizes
}

// Group returns the boxes that share delegates with a zone.
func Group(zone string, boxes []Box) []Box { return inGroup(zone, slices.Clone(boxes)) }

// Targets returns the boxes of a delegate's group that it serves: those that choose it, and the
// other delegates of the group.
func Targets(cfg Config, self Box, others []Box) []Box {
	group := inGroup(self.Zone, append(slices.Clone(others), self))
	delegates := delegatesOf(cfg, group)
	isDelegate := map[string]bool{}
	for _, box := range delegates {
		isDelegate[box.Name] = true
	}
	return slices.DeleteFunc(group, func(b Box) bool {
		return b.Name == self.Name || !isDelegate[b.Name] && slices.MinFunc(delegates, byRank(b.Name)).Name != self.Name
	})
}

// inGroup deletes the boxes that do not share delegates with a zone from the slice.
func inGroup(zone string, boxes []Box) []Box {
	sizes := zoneSizes(boxes)
	own := groupOf(zone, sizes)
	return slices.DeleteFunc(boxes, func(b Box) bool { return groupOf(b.Zone, sizes) != own })
}

// delegatesOf returns the delegates of a group: as many as it needs, the first by rank.
func delegatesOf(cfg Config, boxes []Box) []Box {
	needed := (len(boxes) + cfg.BoxesPerDelegate - 1) / cfg.BoxesPerDelegate
	available := slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return b.Unavailable })
	eligible := largeBoxes(available)
	if len(eligible) < needed {
		eligible = available
	}
	sortByRank(string(cfg.Role), eligible)
	return eligible[:min(needed, len(eligible))]
}

// largeBoxes returns the boxes with at least minLargeShare of the cores of the largest.
func largeBoxes(boxes []Box) []Box {
	maxCores := 0.0
	for _, box := range boxes {
		maxCores = max(maxCores, box.Cores)
	}
	return slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return b.Cores < minLargeShare*maxCores })
}

// byRank compares boxes by their rank for a seed, which is a box name or a role.
func byRank(seed string) func(a, b Box) int {
	return func(a, b Box) int {
		return compareRank(rank(seed, a.Name), rank(seed, b.Name), a, b)
	}
}

// sortByRank sorts boxes by their rank for a seed, and computes each rank once.
func sortByRank(seed string, boxes []Box) {
	ranks := make(map[string]uint64, len(boxes))
	for _, box := range boxes {
		ranks[box.Name] = rank(seed, box.Name)
	}
	slices.SortFunc(boxes, func(a, b Box) int { return compareRank(ranks[a.Name], ranks[b.Name], a, b) })
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
