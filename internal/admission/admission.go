// Package admission queues calls that wait for capacity at backend servers, in the order of package
// waitqueue. While calls wait, one goroutine rechecks the queue for all of them when capacity has
// been freed; while no call waits, nothing runs.
//
// The load that it answers: in a burst, a thousand calls wait for some hundred servers. Trying each
// of them at each of the servers takes longer than the time after which boxes give up on an owner.
// So a recheck skips calls that demand at least as much as one that has just found no server, and so
// does a new call behind waiting ones; and the rate of attempts that find no server is bounded.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

const (
	// recheckInterval is the time between two checks of the queue if no capacity was signalled as free:
	// servers' pauses end without a signal, and so do calls of other boxes.
	recheckInterval = 20 * time.Millisecond
	// minRecheckInterval is the least time between two checks.
	minRecheckInterval = 4 * time.Millisecond
	// failedAttemptInterval is the time until the next check for each attempt of this one that found no
	// server. At 200 servers an attempt takes some 0.1 ms, so failed ones use 8% of a core.
	failedAttemptInterval = 1250 * time.Microsecond
	// maxFailedAttempts is how many attempts of one check may find no server, so that new calls wait
	// less than two milliseconds for its end. The next check tries half as many of the first calls, and
	// continues with those behind.
	maxFailedAttempts = 16
)

// Config configures a Queue of calls C, which are assigned places P.
type Config[C, P any] struct {
	// TryPlace returns a place for a call if there is one now. Calls of it are never concurrent.
	TryPlace func(call C) (P, bool)
	// Demand returns what a call requires of a server.
	Demand func(call C) waitqueue.Demand
	// HasCapacity reports whether there is capacity for a call with another demand, which the same
	// servers may take. If it is nil, waiting calls are tried one by one.
	HasCapacity func(call C, demand waitqueue.Demand) bool
	// Freed returns a channel that is closed when there may be capacity again.
	Freed func() <-chan struct{}
	// Excess returns how much an organisation uses of its fair share; 1 or less means that it is within
	// it. Nil means that there are no shares.
	Excess func(organisation string) float64
	// Queued is called once for each call that isn't placed at once and could wait, before it waits
	// or is refused; it may be nil.
	Queued func(call C)
}

// Queue holds the calls that wait for capacity.
type Queue[C, P any] struct {
	cfg Config[C, P]

	mu    sync.Mutex
	calls waitqueue.Queue[*waiter[C, P]]
	// shortfall has the demands that found no server in the last check or since. Capacity that became
	// free later closes freed.
	shortfall   waitqueue.Shortfall
	shortfallAt time.Time
	freed       <-chan struct{}
	refusals    refusals
	// nextCheckAt is when the next check may be.
	nextCheckAt time.Time
	// resume is the position in the queue at which the next check continues after the first calls.
	resume int
	// emptied is closed when no call waits any more, which ends the goroutine of loop; nil if none runs.
	emptied chan struct{}
}

// waiter is a waiting call.
type waiter[C, P any] struct {
	call   C
	demand waitqueue.Demand
	// placed receives the call's place, and is closed if the call is refused.
	placed chan P
}

// New creates an empty queue.
func New[C, P any](cfg Config[C, P]) *Queue[C, P] {
	q := &Queue[C, P]{cfg: cfg}
	q.calls.Excess = cfg.Excess
	return q
}

// Len returns the number of waiting calls.
func (q *Queue[C, P]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.calls.Len()
}

// Acquire places a call at once if there is capacity. Otherwise it waits until the call's turn comes,
// its wait deadline passes or ctx ends; it does not wait if the turn is expected after the
// deadline.
func (q *Queue[C, P]) Acquire(ctx context.Context, params waitqueue.Params, call C) (place P, ok bool) {
	entry, place, ok := q.placeOrEnqueue(params, call)
	if entry == nil {
		return place, ok
	}
	return q.wait(ctx, entry)
}

// placeOrEnqueue places a call at once if there is capacity for it, and adds it to the queue otherwise.
// A nil entry means that the call was placed, or that waiting is pointless.
func (q *Queue[C, P]) placeOrEnqueue(params waitqueue.Params, call C) (entry *waitqueue.Entry[*waiter[C, P]], place P, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	demand, try := q.needsTry(params, call, now)
	if try {
		freed := q.cfg.Freed()
		if place, ok = q.cfg.TryPlace(call); ok {
			q.calls.RecordAdmission(params, now)
			return nil, place, true
		}
		if demand == nil {
			needed := q.cfg.Demand(call)
			demand = &needed
		}
		q.noteShortfall(*demand, freed, now)
	}
	if !now.Before(params.Deadline) {
		return nil, place, false
	}
	if q.cfg.Queued != nil {
		q.cfg.Queued(call)
	}
	if q.calls.CannotMeetDeadline(params, now) {
		return nil, place, false
	}
	return q.enqueue(params, &waiter[C, P]{call, *demand, make(chan P, 1)}, now), place, false
}

// enqueue adds a call to the queue. It returns nil if the queue is full of calls that go first. The
// caller holds mu.
func (q *Queue[C, P]) enqueue(params waitqueue.Params, call *waiter[C, P], now time.Time) *waitqueue.Entry[*waiter[C, P]] {
	entry, refused := q.calls.Add(params, call, now)
	if refused == entry {
		return nil
	}
	if refused != nil {
		close(refused.Value.placed)
	}
	q.startLoop()
	return entry
}

// wait waits until the call is placed or refused, its wait deadline passes, or ctx ends.
func (q *Queue[C, P]) wait(ctx context.Context, entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	expired := time.NewTimer(boottime.Until(entry.Deadline))
	defer expired.Stop()
	select {
	case place, ok = <-entry.Value.placed:
		return place, ok
	case <-expired.C:
	case <-ctx.Done():
	}
	return q.cancel(entry)
}

// startLoop starts the goroutine that rechecks the queue, unless it runs. The caller holds mu.
func (q *Queue[C, P]) startLoop() {
	if q.emptied == nil {
		q.emptied = make(chan struct{})
		go q.loop(q.freed, q.emptied)
	}
}

// endLoopIfEmpty ends that goroutine if no call waits. The caller holds mu.
func (q *Queue[C, P]) endLoopIfEmpty() {
	if q.calls.Len() == 0 && q.emptied != nil {
		close(q.emptied)
		q.emptied = nil
	}
}

// loop rechecks the queue until no call waits.
func (q *Queue[C, P]) loop(freed, emptied <-chan struct{}) {
	for {
		pause(recheckInterval, freed, emptied)
		freed = q.cfg.Freed()
		next, more := q.recheck(freed, emptied)
		if !more {
			return
		}
		pause(next, nil, emptied)
	}
}

// pause waits for a duration, or until one of the channels is closed.
func pause(duration time.Duration, freed, emptied <-chan struct{}) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-freed:
	case <-emptied:
	}
}

// recheck places the calls for which there is capacity now, in their order. A call without capacity
// does not block those behind it: while runners' memory is too full for long prompts, short ones
// and those for other weights may still fit. It returns the least time until the next check, and
// whether calls are still waiting.
func (q *Queue[C, P]) recheck(freed, emptied <-chan struct{}) (next time.Duration, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if isClosed(emptied) {
		return 0, false
	}
	now := boottime.Now()
	q.shortfall.Clear()
	q.shortfallAt, q.freed = now, freed
	order := q.calls.Sorted()
	attempts := 0
	at := q.placeFrom(order, 0, &attempts, maxFailedAttempts/2, now)
	at = q.placeFrom(order, max(at, q.resume), &attempts, maxFailedAttempts, now)
	if q.resume = at; at >= len(order) {
		q.resume = 0
	}
	q.endLoopIfEmpty()
	next = max(minRecheckInterval, time.Duration(attempts)*failedAttemptInterval)
	q.nextCheckAt = now.Add(next)
	return next, !isClosed(emptied)
}

// placeFrom places the calls from a position in the order, until a number of attempts have found no
// server. It returns the position of the next call. The caller holds mu.
func (q *Queue[C, P]) placeFrom(order []*waitqueue.Entry[*waiter[C, P]], from int, attempts *int, limit int, now time.Time) int {
	leastTried := map[uint64]bool{} // by the class of demands, since the last call was placed
	for at := from; at < len(order); at++ {
		if *attempts >= limit {
			return at
		}
		entry := order[at]
		switch {
		case now.After(entry.Deadline):
			q.calls.Remove(entry, now) // timers don't count the time in which the machine was suspended
			close(entry.Value.placed)
		case q.shortfall.Includes(entry.Value.demand):
		case q.placeWaiting(entry, now):
			clear(leastTried)
		default:
			*attempts++
			if class := entry.Value.demand.Class; !leastTried[class] {
				leastTried[class] = true
				*attempts += q.tryLeast(order, entry.Value)
			}
		}
	}
	return len(order)
}

// placeWaiting places a waiting call if there is capacity for it. The caller holds mu.
func (q *Queue[C, P]) placeWaiting(entry *waitqueue.Entry[*waiter[C, P]], now time.Time) bool {
	place, ok := q.cfg.TryPlace(entry.Value.call)
	if !ok {
		q.shortfall.Add(entry.Value.demand)
		return false
	}
	q.calls.RecordAdmission(entry.Params, now)
	q.calls.Remove(entry, now)
	entry.Value.placed <- place
	return true
}

// tryLeast finds out whether there is capacity for any of the waiting calls that the same servers may
// take as one that has just found none. It returns the number of attempts that found no server. The
// caller holds mu.
func (q *Queue[C, P]) tryLeast(order []*waitqueue.Entry[*waiter[C, P]], call *waiter[C, P]) int {
	if q.cfg.HasCapacity == nil {
		return 0
	}
	least := call.demand
	for _, entry := range order {
		least = least.Least(entry.Value.demand)
	}
	if least == call.demand || q.cfg.HasCapacity(call.call, least) {
		return 0
	}
	q.shortfall.Add(least)
	return 1
}

// cancel removes a call from the queue that no longer waits. It may have been placed just now; the
// place is then returned for the caller to release or use.
func (q *Queue[C, P]) cancel(entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.calls.Remove(entry, boottime.Now()) {
		q.endLoopIfEmpty()
		return place, false
	}
	place, ok = <-entry.Value.placed
	return place, ok
}
