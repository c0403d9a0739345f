// The keys of a stream in the order in which they changed, so that the changes since an offset are
// found without a look at all entries: a reader answers some hundred requests a second, and nearly
// all of them for the last few changes of thousands of entries.

package registry

import (
	"cmp"
	"slices"
)

// change is the offset at which a key changed.
type change struct {
	offset int64
	key    string
}

func compareChanges(a, b change) int {
	return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.key, b.key))
}

// changeIndex lists changes. A key that has changed again stays listed with its earlier changes
// until the index is rebuilt; callers compare a change with the key's entry.
type changeIndex struct {
	changes []change
	sorted  bool
}

// minRebuildChanges is the number of changes below which the index is not rebuilt.
const minRebuildChanges = 256

// add lists the change of an entry.
func (x *changeIndex) add(next change) {
	x.sorted = len(x.changes) == 0 || x.sorted && compareChanges(x.changes[len(x.changes)-1], next) <= 0
	x.changes = append(x.changes, next)
}

// needsRebuild reports whether most changes are of keys that have changed again.
func (x *changeIndex) needsRebuild(entries int) bool {
	return len(x.changes) > max(minRebuildChanges, 2*entries)
}

// rebuild lists the changes of all entries.
func (x *changeIndex) rebuild(entries map[string]entry) {
	x.changes, x.sorted = x.changes[:0], false
	for key, known := range entries {
		x.changes = append(x.changes, change{known.changed, key})
	}
}

// from returns the changes that do not precede the given one, in order.
func (x *changeIndex) from(first change) []change {
	if !x.sorted {
		slices.SortFunc(x.changes, compareChanges)
		x.sorted = true
	}
	at, _ := slices.BinarySearchFunc(x.changes, first, compareChanges)
	return x.changes[at:]
}
