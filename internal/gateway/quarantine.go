// Requests that crash the servers which run them, and parts of prompts that do (package quarantine). Such
// a request is refused before placement, and as soon as it is quarantined, its calls in flight are cancelled: those at a
// server, those in a queue and those that would be retried.

package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
)

// reasonCrashesServers is the reason for ending a call whose request is quarantined.
const reasonCrashesServers = "ends_servers"

// errCrashesServers cancels calls in flight.
var errCrashesServers = merry.Sentinel("the request crashes the servers that run it")

// activeCalls holds the calls in flight, by request.
type activeCalls struct {
	mu        sync.Mutex
	byRequest map[fingerprint.Fingerprint]map[*exchange]bool
}

func newActiveCalls() activeCalls {
	return activeCalls{byRequest: map[fingerprint.Fingerprint]map[*exchange]bool{}}
}

// add registers a call in flight until remove is called.
func (c *activeCalls) add(x *exchange) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byRequest[x.fingerprint] == nil {
		c.byRequest[x.fingerprint] = map[*exchange]bool{}
	}
	c.byRequest[x.fingerprint][x] = true
	return func() { c.remove(x) }
}

func (c *activeCalls) remove(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byRequest[x.fingerprint], x)
	if len(c.byRequest[x.fingerprint]) == 0 {
		delete(c.byRequest, x.fingerprint)
	}
}

// CancelRequest cancels all calls in flight of a request that crashes servers. A call that a server
// has begun to run may thus be cancelled before the server crashes.
func (g *Gateway) CancelRequest(request fingerprint.Fingerprint) {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	for x := range g.active.byRequest[request] {
		x.cancel(errCrashesServers)
	}
}

// errExpired cancels a call whose deadline passed while the machine was suspended, since timers do
// not count that time.
var errExpired = merry.Sentinel("the call's deadline passed while the machine was suspended")

// CancelExpired cancels all calls in flight whose deadline passed more than lateResponseLimit ago.
func (g *Gateway) CancelExpired() {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	for _, calls := range g.active.byRequest {
		for x := range calls {
			if boottime.Until(x.deadline.Add(lateResponseLimit)) <= 0 {
				x.cancel(errExpired)
			}
		}
	}
}

// spareAfter is how long a server must have been sending events of a stream for it to go on when a part of its
// prompt comes to be held. Parts that crash servers when they are read do so some 0.1 s after the call begins; the
// end of a sound stream releases the part.
const spareAfter = 250 * time.Millisecond

// CancelPart cancels the calls in flight that a held part blocks, except for streams that have been running for
// spareAfter at their server.
func (g *Gateway) CancelPart(part fingerprint.Fingerprint) {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	for _, calls := range g.active.byRequest {
		for x := range calls {
			if !x.isRunning.Load() && slices.Contains(x.parts, part) && slices.Contains(g.cfg.PartQuarantine.Blocking(x.parts), part) {
				x.cancel(errCrashesServers)
			}
		}
	}
}

// noteSound records that a server has served a call, so that neither its request nor a part of its prompt
// crashes servers.
func (g *Gateway) noteSound(x *exchange) {
	g.cfg.Quarantine.NoteServed(x.fingerprint)
	for _, part := range x.parts {
		g.cfg.PartQuarantine.NoteServed(part)
	}
}

// runningInterval is the time between two records that a server sends events of a stream.
const runningInterval = 500 * time.Millisecond

// noteRunning records that a server has been sending events of a call's stream, which shows that the parts of its
// prompt do not crash servers soon after they begin. Its request is excused by its end only: a request may crash
// servers at some place of its answer, and few other calls have the same request.
func (a *attempt) noteRunning() {
	if len(a.x.parts) == 0 {
		return
	}
	running := a.watch.runningFor()
	if running >= spareAfter {
		a.x.isRunning.Store(true)
	}
	if a.peer() != nil || running < a.runningNoted+runningInterval {
		return // the other box records what its servers send
	}
	a.runningNoted = running
	for _, part := range a.x.parts {
		a.gateway.cfg.PartQuarantine.NoteRunning(part, running)
	}
}

// admitQuarantine reports whether a call may be sent to a server: neither its request nor a part of its
// prompt is quarantined.
func (g *Gateway) admitQuarantine(x *exchange) bool {
	if _, admitted := g.cfg.Quarantine.Admit(x.fingerprint); !admitted {
		return false
	}
	_, admitted := g.cfg.PartQuarantine.AdmitAll(x.parts)
	return admitted
}

// quarantinedFor reports whether a call's request or a part of its prompt is quarantined, and for how long.
func (g *Gateway) quarantinedFor(x *exchange) (length time.Duration, held bool) {
	length, held = g.cfg.Quarantine.HeldFor(x.fingerprint)
	for _, part := range g.cfg.PartQuarantine.Blocking(x.parts) {
		left, partHeld := g.cfg.PartQuarantine.HeldFor(part)
		length, held = max(length, left), held || partHeld
	}
	return length, held
}

// hasRepeatedCrash reports whether several servers have crashed under a call's request, or under a part of
// its prompt that no server has served.
func (g *Gateway) hasRepeatedCrash(x *exchange) bool {
	return g.cfg.Quarantine.Crashes(x.fingerprint) > 1 || slices.ContainsFunc(x.parts, g.cfg.PartQuarantine.IsSuspect)
}

// isQuarantined reports whether the call was cancelled because its request is quarantined.
func (x *exchange) isQuarantined() bool { return errors.Is(context.Cause(x.ctx), errCrashesServers) }

// endQuarantined ends a call whose request must not be sent to any server.
func (g *Gateway) endQuarantined(x *exchange) {
	heldFor, _ := g.quarantinedFor(x)
	g.endCall(x, reasonCrashesServers, max(heldFor, retryAfterBusy))
}

// endQuarantinedUnsent ends a call that was cancelled before it was sent to its server.
func (g *Gateway) endQuarantinedUnsent(x *exchange, chosen placement) {
	if chosen.hold != nil {
		a := &attempt{gateway: g, x: x, chosen: chosen}
		a.release(fleet.OutcomeAbandoned)
	}
	g.endQuarantined(x)
}

// isRepeatedCrash checks whether the server of a lost call has crashed, and reports whether it
// was not the first server to crash under this request, or under a part of its prompt; the call is then
// not retried. After a first crash, the other calls that were lost with the server are best retried at
// once.
func (a *attempt) isRepeatedCrash(end fleet.Outcome) (repeated bool) {
	if end != fleet.OutcomeUnreachable || a.closedBy() == sideBox || a.gateway.cfg.ConfirmCrash == nil || a.peer() != nil {
		return false // the other box detects crashes of its servers; its own end shows nothing about the request
	}
	x := a.x
	loss := crash.BrokenCall{Server: a.chosen.hold.Server(), Request: x.fingerprint, Caller: xxhash.Sum64String(x.callerName()), Parts: x.parts, Running: a.watch.runningFor()}
	return a.gateway.cfg.ConfirmCrash(x.ctx, loss) && a.gateway.hasRepeatedCrash(x)
}
