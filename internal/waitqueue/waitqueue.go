// Package waitqueue decides the order in which calls that wait for room are placed, by priority and
// deadline, and which of them cannot meet theirs. It is plain data and arithmetic: the time is a
// parameter, and it starts and waits for nothing.
//
// The load that it answers: prompts come in bursts, and each holds a part of a runner's
// memory for a second or so. With half of the memory taken on average, bursts fill it for
// some hundred milliseconds, again and again. A call that waits for that long still starts
// in time; one that waits longer is late as often as not, and keeps the room from new
// calls that would not be. So calls wait for a short time, and then come back.
//
// Where room comes too slowly for all that wait, the last of them are refused at once: a
// call waits only if its turn should come in time at the rate at which calls were
// admitted lately.
package waitqueue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Params are what the order goes by.
type Params struct {
	// Priority is the call's rank; 0 goes first.
	Priority int
	// Deadline is when the call's wait ends.
	Deadline time.Time
}

const (
	// rateWindow is the time over which the rate of calls that find room is observed:
	// bursts last about as long.
	rateWindow = 2 * time.Second
	// leastRate is the rate, in calls a second, that is assumed where less was observed: few
	// calls that found room at a quiet box do not predict how soon those of a burst will.
	leastRate = 50.0
)

// Queue holds the calls that wait, each with a value of its owner's.
type Queue[T any] struct {
	entries []*Entry[T]
	// admitted is the number of calls that were admitted lately, faded to fadedAt.
	admitted float64
	fadedAt  time.Time
}

// Entry is a call in the queue.
type Entry[T any] struct {
	Params
	Value T
}

// Len counts the calls that wait.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Add puts a call into the queue.
func (q *Queue[T]) Add(call Params, value T) *Entry[T] {
	entry := &Entry[T]{call, value}
	q.entries = append(q.entries, entry)
	return entry
}

// Remove takes a call out of the queue. It reports false when it is out already.
func (q *Queue[T]) Remove(entry *Entry[T]) bool {
	at := slices.Index(q.entries, entry)
	if at >= 0 {
		q.entries = slices.Delete(q.entries, at, at+1)
	}
	return at >= 0
}

// RecordAdmission notes that a call has found room, whether it waited or not.
func (q *Queue[T]) RecordAdmission(now time.Time) {
	q.fade(now)
	q.admitted++
}

func (q *Queue[T]) fade(now time.Time) {
	if passed := now.Sub(q.fadedAt); passed > 0 {
		q.admitted *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
		q.fadedAt = now
	}
}

// order compares calls by who goes first.
func (c Params) order(other Params) int {
	return cmp.Or(cmp.Compare(c.Priority, other.Priority), c.Deadline.Compare(other.Deadline))
}

// Sorted lists the calls that wait, the next one first.
func (q *Queue[T]) Sorted() []*Entry[T] {
	slices.SortStableFunc(q.entries, func(a, b *Entry[T]) int { return a.order(b.Params) })
	return slices.Clone(q.entries)
}

// EstimateWait estimates how long a call waits for its turn, in the queue or not: as long as those
// before it need to find room.
func (q *Queue[T]) EstimateWait(call Params, now time.Time) time.Duration {
	ahead := 0
	for _, entry := range q.entries {
		if entry.order(call) < 0 {
			ahead++
		}
	}
	q.fade(now)
	perSecond := max(q.admitted/rateWindow.Seconds(), leastRate)
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// CannotMeetDeadline reports whether a call's turn comes after its wait has ended.
func (q *Queue[T]) CannotMeetDeadline(call Params, now time.Time) bool {
	return now.Add(q.EstimateWait(call, now)).After(call.Deadline)
}
