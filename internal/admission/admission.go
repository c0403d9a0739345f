// Package admission lets calls wait for room at backend servers, in the order of package waitqueue.
// Whichever goroutine of a waiting call wakes up, by an answer that ended or by its timer, places
// all calls for which there is room, so nothing runs while no call waits.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

const (
	// recheckInterval is the time between two checks of the queue without a signal of freed room:
	// pauses of servers end, and other boxes' work does.
	recheckInterval = 20 * time.Millisecond
	// shortestRecheck is the least time between two checks, which cost some 20 µs for each
	// server.
	shortestRecheck = 4 * time.Millisecond
)

// Config sets up a Queue of calls C, which find places P.
type Config[C, P any] struct {
	// TryPlace finds a place for a call now. It is never called by two at once.
	TryPlace func(call C) (P, bool)
	// Freed gives a channel that is closed when there may be room again.
	Freed func() <-chan struct{}
}

// Queue holds the calls that wait for room.
type Queue[C, P any] struct {
	cfg Config[C, P]

	mu          sync.Mutex
	calls       waitqueue.Queue[*waiter[C, P]]
	recheckedAt time.Time
}

// waiter is a call that waits.
type waiter[C, P any] struct {
	call C
	// found gets its place.
	found chan P
}

// New makes an empty queue.
func New[C, P any](cfg Config[C, P]) *Queue[C, P] { return &Queue[C, P]{cfg: cfg} }

// Acquire places a call at once if there is room. Otherwise it waits until the call's turn comes,
// its wait is over or ctx ends; not at all if its turn would come too late.
func (q *Queue[C, P]) Acquire(ctx context.Context, limits waitqueue.Params, call C) (place P, ok bool) {
	entry, place, ok := q.enter(limits, call)
	if entry == nil {
		return place, ok
	}
	return q.wait(ctx, entry)
}

// enter places a call at once if there is room for it, and puts it into the queue otherwise.
// Without an entry it has been placed, or to wait is pointless.
func (q *Queue[C, P]) enter(limits waitqueue.Params, call C) (entry *waitqueue.Entry[*waiter[C, P]], place P, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if place, ok = q.cfg.TryPlace(call); ok {
		q.calls.RecordAdmission(now)
		return nil, place, true
	}
	if !now.Before(limits.Deadline) || q.calls.CannotMeetDeadline(limits, now) {
		return nil, place, false
	}
	return q.calls.Add(limits, &waiter[C, P]{call, make(chan P, 1)}), place, false
}

// wait waits until a call's turn comes, its wait is over, or ctx ends.
func (q *Queue[C, P]) wait(ctx context.Context, entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	timer := time.NewTicker(recheckInterval)
	defer timer.Stop()
	for {
		wake := q.cfg.Freed()
		q.recheck()
		if q.giveUp(entry) {
			return place, false
		}
		select {
		case place = <-entry.Value.found:
			return place, true
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			return q.abandon(entry)
		}
	}
}

// recheck places the calls for which there is room now, in their order. One for which there
// is none holds up nobody: with runners' memory full for long prompts, short ones and those
// that need other weights still find some.
func (q *Queue[C, P]) recheck() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if now.Sub(q.recheckedAt) < shortestRecheck {
		return
	}
	q.recheckedAt = now
	for _, entry := range q.calls.Sorted() {
		if place, ok := q.cfg.TryPlace(entry.Value.call); ok {
			q.calls.Remove(entry)
			q.calls.RecordAdmission(now)
			entry.Value.found <- place
		}
	}
}

// giveUp takes a call out of the queue whose wait is over.
func (q *Queue[C, P]) giveUp(entry *waitqueue.Entry[*waiter[C, P]]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return boottime.Now().After(entry.Deadline) && q.calls.Remove(entry) // it may have been placed just now
}

// abandon takes a call out of the queue that nobody waits for any more. It may have been placed
// just now, which whoever gets the place finds out.
func (q *Queue[C, P]) abandon(entry *waitqueue.Entry[*waiter[C, P]]) (place P, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.calls.Remove(entry) {
		return place, false
	}
	return <-entry.Value.found, true
}
