// The waiting calls of one priority level, in their order.

package waitqueue

import (
	"cmp"
	"slices"
)

// level holds the waiting calls of one priority.
type level[T any] struct {
	priority int
	// within has the calls of organisations within their fair share, and above the others.
	within, above []*Entry[T]
	rate          rate
	// credit counts the admissions from all levels while calls of this one waited, less the interval
	// between two of its turns for each one from this level.
	credit int
}

const (
	// minTurnInterval is the number of admissions of which each level with waiting calls gets at least
	// one, however many calls of higher priority wait.
	minTurnInterval = 10
	// sharedTurnInterval is the same for all levels but the first together: with six levels, a turn in
	// ten for each would leave the first one half of the capacity.
	sharedTurnInterval = 5
	// maxCredit bounds the credit of a level, in turns, whose calls find no server in their turn.
	maxCredit = 2
)

// turnInterval returns the number of admissions of which each of some levels with waiting calls gets at
// least one.
func turnInterval(levels int) int {
	return max(minTurnInterval, sharedTurnInterval*(levels-1))
}

func (l *level[T]) len() int { return len(l.within) + len(l.above) }

// isDue reports whether the level's calls go before those of higher priority, given the interval between
// its turns.
func (l *level[T]) isDue(interval int) bool { return l.credit >= interval && l.len() > 0 }

// passes records an admission; own means that it was from this level.
func (l *level[T]) passes(own bool, interval int) {
	if l.len() > 0 {
		l.credit = min(l.credit+1, maxCredit*interval)
	}
	if own {
		l.credit = max(l.credit-interval, 0)
	}
}

// compare orders calls of one priority and one side of the fair share.
func (e *Entry[T]) compare(other *Entry[T]) int {
	return cmp.Or(trueFirst(e.Bound, other.Bound), trueFirst(e.Returning, other.Returning), e.Deadline.Compare(other.Deadline), cmp.Compare(e.number, other.number))
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// side returns the list that a call belongs to.
func (l *level[T]) side(above bool) *[]*Entry[T] {
	if above {
		return &l.above
	}
	return &l.within
}

func (l *level[T]) add(entry *Entry[T]) {
	list := l.side(entry.above)
	at, _ := slices.BinarySearchFunc(*list, entry, (*Entry[T]).compare)
	*list = slices.Insert(*list, at, entry)
}

func (l *level[T]) remove(entry *Entry[T]) bool {
	list := l.side(entry.above)
	at, found := slices.BinarySearchFunc(*list, entry, (*Entry[T]).compare)
	if found {
		*list = slices.Delete(*list, at, at+1)
	}
	return found
}

// ahead counts the level's calls that go before one that is not in the queue.
func (l *level[T]) ahead(entry *Entry[T]) int {
	before, _ := slices.BinarySearchFunc(*l.side(entry.above), entry, (*Entry[T]).compare)
	if entry.above {
		before += len(l.within)
	}
	return before
}

// last returns the level's last call; nil if there is none.
func (l *level[T]) last() *Entry[T] {
	for _, list := range [][]*Entry[T]{l.above, l.within} {
		if len(list) > 0 {
			return list[len(list)-1]
		}
	}
	return nil
}

// classify moves calls whose organisations are now on the other side of their fair share.
func (l *level[T]) classify(isAbove func(organisation string) bool) {
	var moved []*Entry[T]
	for _, list := range []*[]*Entry[T]{&l.within, &l.above} {
		*list = slices.DeleteFunc(*list, func(entry *Entry[T]) bool {
			changed := isAbove(entry.Organisation) != entry.above
			if changed {
				moved = append(moved, entry)
			}
			return changed
		})
	}
	for _, entry := range moved {
		entry.above = !entry.above
		l.add(entry)
	}
}
