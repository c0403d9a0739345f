// Package roomline lets calls wait for room at backend servers. Package waitline says in which
// order; here whichever goroutine of a waiting call is woken, by an answer that ended or by the
// clock, lets the line move on for all of them, so nothing runs while nobody waits.
package roomline

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/waitline"
)

const (
	// lookEvery is the time between two looks at the line when nothing is heard of room:
	// pauses of servers end, and other boxes' work does.
	lookEvery = 20 * time.Millisecond
	// shortestLook is the least time between two looks, which cost some 20 µs for each
	// server.
	shortestLook = 4 * time.Millisecond
)

// Config sets up a Line of calls C, which find places P.
type Config[C, P any] struct {
	// Place finds a place for a call now. It is never called by two at once.
	Place func(call C) (P, bool)
	// Freed gives a channel that is closed when there may be room again.
	Freed func() <-chan struct{}
}

// Line holds the calls that wait for room.
type Line[C, P any] struct {
	cfg Config[C, P]

	mu       sync.Mutex
	calls    waitline.Line[*waiter[C, P]]
	lookedAt time.Time
}

// waiter is a call that waits.
type waiter[C, P any] struct {
	call C
	// found gets its place.
	found chan P
}

// New makes an empty line.
func New[C, P any](cfg Config[C, P]) *Line[C, P] { return &Line[C, P]{cfg: cfg} }

// Wait places a call at once if there is room. Otherwise it waits until the call's turn comes,
// its wait is over or ctx ends; not at all if its turn would come too late.
func (l *Line[C, P]) Wait(ctx context.Context, limits waitline.Call, call C) (place P, ok bool) {
	entry, place, ok := l.enter(limits, call)
	if entry == nil {
		return place, ok
	}
	return l.wait(ctx, entry)
}

// enter places a call at once if there is room for it, and puts it into the line otherwise.
// Without an entry it has been placed, or to wait is hopeless.
func (l *Line[C, P]) enter(limits waitline.Call, call C) (entry *waitline.Entry[*waiter[C, P]], place P, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if place, ok = l.cfg.Place(call); ok {
		l.calls.Found(now)
		return nil, place, true
	}
	if !now.Before(limits.Until) || l.calls.Hopeless(limits, now) {
		return nil, place, false
	}
	return l.calls.Enter(limits, &waiter[C, P]{call, make(chan P, 1)}), place, false
}

// wait waits until a call's turn comes, its wait is over, or ctx ends.
func (l *Line[C, P]) wait(ctx context.Context, entry *waitline.Entry[*waiter[C, P]]) (place P, ok bool) {
	timer := time.NewTicker(lookEvery)
	defer timer.Stop()
	for {
		wake := l.cfg.Freed()
		l.look()
		if l.giveUp(entry) {
			return place, false
		}
		select {
		case place = <-entry.Value.found:
			return place, true
		case <-wake:
		case <-timer.C:
		case <-ctx.Done():
			return l.abandon(entry)
		}
	}
}

// look places the calls for which there is room now, in their order. One for which there
// is none holds up nobody: with runners' memory full for long prompts, short ones and those
// that need other weights still find some.
func (l *Line[C, P]) look() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := boottime.Now()
	if now.Sub(l.lookedAt) < shortestLook {
		return
	}
	l.lookedAt = now
	for _, entry := range l.calls.InOrder() {
		if place, ok := l.cfg.Place(entry.Value.call); ok {
			l.calls.Leave(entry)
			l.calls.Found(now)
			entry.Value.found <- place
		}
	}
}

// giveUp takes a call out of the line whose wait is over.
func (l *Line[C, P]) giveUp(entry *waitline.Entry[*waiter[C, P]]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return boottime.Now().After(entry.Until) && l.calls.Leave(entry) // it may have been placed just now
}

// abandon takes a call out of the line that nobody waits for any more. It may have been placed
// just now, which whoever gets the place finds out.
func (l *Line[C, P]) abandon(entry *waitline.Entry[*waiter[C, P]]) (place P, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls.Leave(entry) {
		return place, false
	}
	return <-entry.Value.found, true
}
