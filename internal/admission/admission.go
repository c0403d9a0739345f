// Package admission queues calls that wait for capacity at backend servers, in the order of package
// waitqueue. There is no scheduler goroutine: each waiting call's goroutine that wakes up, by freed
// capacity or by its timer, places all calls for which there is capacity. So nothing runs while no call
// waits.
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
	// minRecheckInterval is the least time between two checks, which cost some 20 µs for each
	// server.
	minRecheckInterval = 4 * time.Millisecond
)

// Config configures a Queue of calls C, which are assigned places P.
type Config[C, P any] struct {
	// TryPlace returns a place for a call if there is one now. Calls of it are never concurrent.
	TryPlace func(call C) (P, bool)
	// Freed returns a channel that is closed when there may be capacity again.
	Freed func() <-chan struct{}
}

// Queue holds the calls that wait for capacity.
type Queue[C, P any] struct {
	cfg Config[C, P]

	mu          sync.Mutex
	calls       waitqueue.Queue[*waiter[C, P]]
	recheckedAt time.Time
}

// waiter is a waiting call.
type waiter[C, P any] struct {
	call C
	// placed receives the call's place.
	placed chan P
}

// New creates an empty queue.
func New[C, P any](cfg Config[C, P]) *Queue[C, P] { return &Queue[C, P]{cfg: cfg} }

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
	if place, ok = q.cfg.TryPlace(call); ok {
		q.calls.RecordAdmission(now)
		return nil, place, true
	}
	if !now.Before(params.Deadline) || q.calls.CannotMeetDeadline(params, now) {
		return nil, place, false
	}
	return q.calls.Add(params, &waiter[C, P]{call, make(chan P, 1)}), place, false
}

// wait waits until the call is placed, its wait deadline passes, or ctx ends.
func (q *Queue[C, P]) wait(ctx context.Context, entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	timer := time.NewTicker(recheckInterval)
	defer timer.Stop()
	for {
		wake := q.cfg.Freed()
		q.recheck()
		if q.expire(entry) {
			return place, false
		}
		select {
		case place = <-entry.Value.placed:
			return place, true
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			return q.cancel(entry)
		}
	}
}

// recheck places the calls for which there is capacity now, in their order. A call without capacity
// does not block those behind it: while runners' memory is too full for long prompts, short ones
// and those for other weights may still fit.
func (q *Queue[C, P]) recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if now.Sub(q.recheckedAt) < minRecheckInterval {
		return
	}
	q.recheckedAt = now
	for _, entry := range q.calls.Sorted() {
		if place, ok := q.cfg.TryPlace(entry.Value.call); ok {
			q.calls.Remove(entry)
			q.calls.RecordAdmission(now)
			entry.Value.placed <- place
		}
	}
}

// expire removes a call from the queue once its wait deadline has passed.
func (q *Queue[C, P]) expire(entry *waitqueue.Entry[*waiter[C, P]]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return boottime.Now().After(entry.Deadline) && q.calls.Remove(entry) // it may have been placed just now
}

// cancel removes a call from the queue whose caller no longer waits. It may have been placed just
// now; the place is then returned for the caller to release.
func (q *Queue[C, P]) cancel(entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.calls.Remove(entry) {
		return place, false
	}
	return <-entry.Value.placed, true
}
