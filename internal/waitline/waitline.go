// Package waitline decides who of the calls that wait at a box for room goes next, and
// which of them wait for nothing. It is plain data and arithmetic: the time is given to
// it, and it starts and waits for nothing.
//
// The load that it answers: prompts come in bursts, and each holds a part of a runner's
// memory for a second or so. With half of the memory taken on average, bursts fill it for
// some hundred milliseconds, again and again. A call that waits for that long still starts
// in time; one that waits longer is late as often as not, and keeps the room from new
// calls that would not be. So calls wait for a short time, the more urgent first and of
// these the one whose time ends first, and then come back.
//
// Where room comes too slowly for all that wait, the last of them are refused at once: a
// call waits only if its turn should come in time at the rate at which calls have found
// room lately.
package waitline

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Call is what the order goes by.
type Call struct {
	// Urgency is the call's rank; 0 goes first.
	Urgency int
	// Until is when the call's wait ends.
	Until time.Time
}

const (
	// rateWindow is the time over which the rate of calls that find room is observed:
	// bursts last about as long.
	rateWindow = 2 * time.Second
	// leastRate is the rate, in calls a second, that is assumed where less was observed: a
	// box of which little was asked has seen few calls find room, and that says nothing of
	// how soon a burst will. With 10, four calls that came to a quiet box together were
	// too many.
	leastRate = 50.0
)

// Line holds the calls that wait, each with a value of its owner's.
type Line[T any] struct {
	entries []*Entry[T]
	// found is the number of calls that found room lately, faded to fadedAt.
	found   float64
	fadedAt time.Time
}

// Entry is a call in the line.
type Entry[T any] struct {
	Call
	Value T
}

// Len counts the calls that wait.
func (l *Line[T]) Len() int { return len(l.entries) }

// Enter puts a call into the line.
func (l *Line[T]) Enter(call Call, value T) *Entry[T] {
	entry := &Entry[T]{call, value}
	l.entries = append(l.entries, entry)
	return entry
}

// Leave takes a call out of the line. It reports false when it is out already.
func (l *Line[T]) Leave(entry *Entry[T]) bool {
	at := slices.Index(l.entries, entry)
	if at >= 0 {
		l.entries = slices.Delete(l.entries, at, at+1)
	}
	return at >= 0
}

// Found notes that a call has found room, whether it waited or not.
func (l *Line[T]) Found(now time.Time) {
	l.fade(now)
	l.found++
}

func (l *Line[T]) fade(now time.Time) {
	if passed := now.Sub(l.fadedAt); passed > 0 {
		l.found *= math.Exp(-passed.Seconds() / rateWindow.Seconds())
		l.fadedAt = now
	}
}

// order compares calls by who goes first.
func (c Call) order(other Call) int {
	return cmp.Or(cmp.Compare(c.Urgency, other.Urgency), c.Until.Compare(other.Until))
}

// InOrder lists the calls that wait, the next one first.
func (l *Line[T]) InOrder() []*Entry[T] {
	slices.SortStableFunc(l.entries, func(a, b *Entry[T]) int { return a.order(b.Call) })
	return slices.Clone(l.entries)
}

// Wait estimates how long a call waits for its turn, in the line or not: as long as those
// before it need to find room.
func (l *Line[T]) Wait(call Call, now time.Time) time.Duration {
	ahead := 0
	for _, entry := range l.entries {
		if entry.order(call) < 0 {
			ahead++
		}
	}
	l.fade(now)
	perSecond := max(l.found/rateWindow.Seconds(), leastRate)
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// Hopeless reports whether a call's turn comes after its wait has ended.
func (l *Line[T]) Hopeless(call Call, now time.Time) bool {
	return now.Add(l.Wait(call, now)).After(call.Until)
}
