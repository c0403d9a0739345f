// Package waitqueue orders calls that wait for capacity, and predicts which of them cannot meet their
// deadline. It is pure: the time is a parameter, and it starts no goroutine and does not block.
//
// The load that it answers: prompts come in bursts, and each takes a part of a runner's memory for
// about a second. With half of the memory in use on average, bursts repeatedly fill it for some
// hundred milliseconds. A call that waits for that long still starts in time. One that waits longer
// is late about half the time, and takes capacity from new calls that would be in time. So calls wait
// for a short time, and are then refused and sent again.
//
// If capacity becomes free too slowly for all waiting calls, the last of them are refused at once: a
// call waits only if its turn should come in time at the recent rate of admissions of its priority.
//
// The order is: priority; organisations within their fair share before those above it; calls that only
// some of the servers can take; calls that were refused before and have come back; the earliest wait
// deadline. Each priority level with
// waiting calls gets its turn after some admissions, so that none starves.
package waitqueue

import (
	"cmp"
	"slices"
	"time"
)

// Params determine the position of a call in the queue.
type Params struct {
	// Priority is the call's rank; 0 goes first.
	Priority int
	// Deadline is when the call's wait ends.
	Deadline time.Time
	// Organisation sends the call; empty if unknown.
	Organisation string
	// Bound means that only some of the servers can take the call, because of their software version. Calls
	// that any server can take would leave it little of what becomes free there.
	Bound bool
	// Returning means that the call was refused before and has come back.
	Returning bool
	// Brief means that the call takes hardly any capacity, so that its admission uses up no turn.
	Brief bool
}

const (
	// maxLen bounds the queue. An owner that admits a thousand calls a second has fewer calls with a
	// chance to be admitted within the longest wait of a second.
	maxLen = 2048
	// maxLevels bounds the priority levels without waiting calls that are remembered.
	maxLevels = 16
)

// Queue holds the waiting calls, each with a value of type T. The zero value is an empty queue.
type Queue[T any] struct {
	// Excess returns how much an organisation uses of its fair share; 1 or less means that it is within
	// it. Nil means that there are no shares.
	Excess func(organisation string) float64

	// levels are in the order of priority.
	levels []*level[T]
	rate   rate
	len    int
	number uint64
	// order is the result of the last Sorted.
	order []*Entry[T]
}

// Entry is a call in the queue.
type Entry[T any] struct {
	Params
	Value T
	// above means that its organisation was above its fair share when that was last checked.
	above bool
	// number counts the calls that were added; older ones go first.
	number uint64
}

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int { return q.len }

// Levels returns the number of priority levels that the queue remembers.
func (q *Queue[T]) Levels() int { return len(q.levels) }

// Add adds a call to the queue. If the queue is full, the call that is last in order is refused: it is
// returned, and isn't in the queue any more. That may be the added one.
func (q *Queue[T]) Add(params Params, value T, now time.Time) (added, refused *Entry[T]) {
	added = q.newEntry(params, value)
	target := q.level(params.Priority)
	q.advance(now)
	target.add(added)
	q.len++
	if q.len <= maxLen {
		return added, nil
	}
	refused = q.last()
	q.Remove(refused, now)
	return added, refused
}

func (q *Queue[T]) newEntry(params Params, value T) *Entry[T] {
	q.number++
	return &Entry[T]{Params: params, Value: value, above: q.IsAboveShare(params.Organisation), number: q.number}
}

// last returns the call that is last in order; the queue isn't empty.
func (q *Queue[T]) last() *Entry[T] {
	for _, l := range slices.Backward(q.levels) {
		if entry := l.last(); entry != nil {
			return entry
		}
	}
	return nil
}

// Remove removes a call from the queue. It returns false if the call was not in the queue.
func (q *Queue[T]) Remove(entry *Entry[T], now time.Time) bool {
	q.advance(now)
	if !q.level(entry.Priority).remove(entry) {
		return false
	}
	q.len--
	return true
}

// RecordAdmission records that a call was admitted, whether it had waited or not. One that has waited is
// still in the queue.
func (q *Queue[T]) RecordAdmission(params Params, now time.Time) {
	own := q.level(params.Priority)
	q.advance(now)
	if params.Brief {
		return // it doesn't show how fast capacity becomes free either
	}
	q.rate.record(q.len > 0)
	own.rate.record(own.len() > 0)
	interval := q.turnInterval()
	for _, l := range q.levels {
		l.passes(l == own, interval)
	}
}

// turnInterval returns the number of admissions between two turns of a level.
func (q *Queue[T]) turnInterval() int {
	waiting := 0
	for _, l := range q.levels {
		if l.len() > 0 {
			waiting++
		}
	}
	return turnInterval(waiting)
}

// advance advances the measurements of rates up to now.
func (q *Queue[T]) advance(now time.Time) {
	q.rate.advance(now, q.len > 0)
	for _, l := range q.levels {
		l.rate.advance(now, l.len() > 0)
	}
}

// level returns the level of a priority.
func (q *Queue[T]) level(priority int) *level[T] {
	at, found := slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return cmp.Compare(l.priority, p) })
	if found {
		return q.levels[at]
	}
	if len(q.levels) >= maxLevels {
		q.levels = slices.DeleteFunc(q.levels, func(l *level[T]) bool { return l.len() == 0 })
		at, _ = slices.BinarySearchFunc(q.levels, priority, func(l *level[T], p int) int { return cmp.Compare(l.priority, p) })
	}
	q.levels = slices.Insert(q.levels, at, &level[T]{priority: priority})
	return q.levels[at]
}

// IsAboveShare reports whether an organisation is above its fair share.
func (q *Queue[T]) IsAboveShare(organisation string) bool {
	return q.Excess != nil && q.Excess(organisation) > 1
}

// Sorted returns the waiting calls, the next one first. The result is valid until the next call of
// Sorted.
func (q *Queue[T]) Sorted() []*Entry[T] {
	q.classify()
	q.order = q.order[:0]
	interval := q.turnInterval()
	for _, due := range []bool{true, false} {
		for _, l := range q.levels {
			if l.isDue(interval) == due {
				q.order = append(append(q.order, l.within...), l.above...)
			}
		}
	}
	return q.order
}

// classify determines again which of the organisations with waiting calls are above their fair share.
func (q *Queue[T]) classify() {
	if q.Excess == nil {
		return
	}
	known := map[string]bool{}
	for _, l := range q.levels {
		l.classify(func(organisation string) bool {
			above, found := known[organisation]
			if !found {
				above = q.IsAboveShare(organisation)
				known[organisation] = above
			}
			return above
		})
	}
}

// GoesFirst reports whether a new call goes before all waiting ones.
func (q *Queue[T]) GoesFirst(params Params) bool {
	interval := q.turnInterval()
	for _, l := range q.levels {
		if l.priority < params.Priority && l.len() > 0 || l.priority != params.Priority && l.isDue(interval) {
			return false
		}
	}
	return q.len == 0 || q.level(params.Priority).ahead(q.probe(params)) == 0
}

// probe returns a new call that isn't in the queue.
func (q *Queue[T]) probe(params Params) *Entry[T] {
	var none T
	return q.newEntry(params, none)
}

// EstimateWait estimates how long a call that is not in the queue waits for its turn: as long as the
// calls of its level before it need to be admitted, at the rate that levels of higher priority leave.
// The rate measured for its own level would be too low wherever other calls took the capacity:
// calls of the level would be refused without waiting, none would wait when capacity becomes free,
// and the level would get no more than before.
func (q *Queue[T]) EstimateWait(params Params, now time.Time) time.Duration {
	own := q.level(params.Priority)
	q.advance(now)
	ahead := own.ahead(q.probe(params))
	perSecond, measured := q.rateLeftTo(params.Priority)
	if !measured {
		perSecond = q.rate.assumed()
		for _, l := range q.levels {
			if l.priority < params.Priority {
				ahead += l.len()
			}
		}
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}

// rateLeftTo returns the rate of admissions, in calls a second, that levels of higher priority leave
// to a level, if it has been measured. It is at least the part that is reserved for each level.
func (q *Queue[T]) rateLeftTo(priority int) (perSecond float64, measured bool) {
	all, measured := q.rate.measured()
	left := all
	for _, l := range q.levels {
		if l.priority < priority {
			left -= l.rate.contended / q.rate.waited
		}
	}
	return max(left, all/float64(q.turnInterval())), measured
}

// CannotMeetDeadline reports whether a call's turn is expected after its deadline.
func (q *Queue[T]) CannotMeetDeadline(params Params, now time.Time) bool {
	return now.Add(q.EstimateWait(params, now)).After(params.Deadline)
}

// AdmissionRate returns how many calls of a priority are admitted per second while calls wait.
func (q *Queue[T]) AdmissionRate(priority int, now time.Time) float64 {
	own := q.level(priority)
	q.advance(now)
	if perSecond, measured := own.rate.measured(); measured {
		return perSecond
	}
	return q.rate.assumed()
}

// DrainTime estimates how long it takes until the waiting calls of a priority, and all those before
// them, have been admitted.
func (q *Queue[T]) DrainTime(priority int, now time.Time) time.Duration {
	const endOfTime = 1 << 62
	return q.EstimateWait(Params{Priority: priority, Deadline: now.Add(endOfTime)}, now)
}
