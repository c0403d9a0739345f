// Waiting for room. Calls with prompts that find no runner with the time and the memory
// for them wait in the line of their service (package waitline). Whichever goroutine of a
// waiting call is woken, by an answer that ended or by the clock, lets the line move on for
// all of them, in order.

package gateway

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
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

// line holds the calls to a service that wait for room.
type line struct {
	mu       sync.Mutex
	calls    waitline.Line[*waiter]
	lookedAt time.Time
}

// waiter is a call that waits.
type waiter struct {
	x *exchange
	// found gets where the call goes.
	found chan choice
}

// line gives the line of a service.
func (g *Gateway) line(service string) *line {
	found, _ := g.lines.LoadOrStore(service, &line{})
	return found.(*line)
}

// limits says how urgent a call is and until when it may wait for room.
func (x *exchange) limits() waitline.Call {
	return waitline.Call{Urgency: x.urgency, Until: x.arrived.Add(time.Duration(placing.WaitPart * float64(x.route.Objective)))}
}

// placeSoon places a call, and lets one with a prompt wait for its turn.
func (g *Gateway) placeSoon(x *exchange) (choice, bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	began := time.Now()
	defer func() { x.placeTime += time.Since(began) }()
	if x.facts.Prompt == nil || x.service.Engine == nil {
		return g.place(x)
	}
	l := g.line(x.service.Name)
	entry, chosen, ok := l.enter(g, x)
	if entry == nil {
		return chosen, ok
	}
	return g.wait(l, entry)
}

// enter places a call at once if there is room for it, and puts it into the line otherwise.
// Without an entry it has been placed, or to wait is hopeless.
func (l *line) enter(g *Gateway, x *exchange) (entry *waitline.Entry[*waiter], chosen choice, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, limits := time.Now(), x.limits()
	if chosen, ok := g.place(x); ok {
		l.calls.Found(now)
		return nil, chosen, true
	}
	if l.calls.Hopeless(limits, now) || !g.cfg.Off.On(mechanism.WaitingLine) {
		return nil, choice{}, false
	}
	return l.calls.Enter(limits, &waiter{x, make(chan choice, 1)}), choice{}, false
}

// wait waits until a call's turn comes, its wait is over, or its caller leaves.
func (g *Gateway) wait(l *line, entry *waitline.Entry[*waiter]) (choice, bool) {
	x := entry.Value.x
	timer := time.NewTicker(lookEvery)
	defer timer.Stop()
	for {
		wake := g.cfg.Fleet.Freed()
		l.look(g)
		if l.giveUp(entry) {
			return choice{}, false
		}
		select {
		case chosen := <-entry.Value.found:
			return chosen, true
		case <-wake:
		case <-timer.C:
		case <-x.request.Context().Done():
			return l.abandon(entry)
		}
	}
}

// look places the calls for which there is room now, in their order. One for which there
// is none holds up nobody: with runners' memory full for long prompts, short ones and those
// that need other weights still find some (mean worth of three days, two seeds each, 0.679
// with a strict order and 0.687 without).
func (l *line) look(g *Gateway) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lookedAt) < shortestLook {
		return
	}
	l.lookedAt = now
	for _, entry := range l.calls.InOrder() {
		if chosen, ok := g.place(entry.Value.x); ok {
			l.calls.Leave(entry)
			l.calls.Found(now)
			entry.Value.found <- chosen
		}
	}
}

// giveUp takes a call out of the line whose wait is over.
func (l *line) giveUp(entry *waitline.Entry[*waiter]) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().After(entry.Until) && l.calls.Leave(entry) // it may have been placed just now
}

// abandon takes a call out of the line whose caller has left.
func (l *line) abandon(entry *waitline.Entry[*waiter]) (choice, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls.Leave(entry) {
		return choice{}, false
	}
	return <-entry.Value.found, true // it was placed meanwhile; the try finds out
}
