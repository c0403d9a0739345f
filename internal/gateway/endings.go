// Requests that end the servers which run them (package quarantine). Such a request is turned
// away before it is placed, and once it is known to be one, none of its calls that are under
// way goes on: not at a server, not in a line, not as a second try.

package gateway

import (
	"context"
	"errors"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
)

// reasonEndsServers is why a call ends whose request ends the servers that run it.
const reasonEndsServers = "ends_servers"

// errEndsServers stops a call under way.
var errEndsServers = merry.Sentinel("the request ends the servers that run it")

// running holds the calls under way, by request.
type running struct {
	mu    sync.Mutex
	calls map[fingerprint.Fingerprint]map[*exchange]bool
}

func newRunning() running { return running{calls: map[fingerprint.Fingerprint]map[*exchange]bool{}} }

// add notes a call that is under way until remove is called.
func (r *running) add(x *exchange) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[x.fingerprint] == nil {
		r.calls[x.fingerprint] = map[*exchange]bool{}
	}
	r.calls[x.fingerprint][x] = true
	return func() { r.remove(x) }
}

func (r *running) remove(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls[x.fingerprint], x)
	if len(r.calls[x.fingerprint]) == 0 {
		delete(r.calls, x.fingerprint)
	}
}

// StopRequest ends all calls under way that are sendings of a request which ends servers. One
// that a server has begun to run may thereby be taken back before the server ends.
func (g *Gateway) StopRequest(request fingerprint.Fingerprint) {
	g.running.mu.Lock()
	defer g.running.mu.Unlock()
	for x := range g.running.calls[request] {
		x.stop(errEndsServers)
	}
}

// errOverdue ends a call whose time passed while the machine was suspended: timers did not see it.
var errOverdue = merry.Sentinel("the call's time ended while the machine was suspended")

// EndOverdue ends all calls under way whose time is over.
func (g *Gateway) EndOverdue() {
	g.running.mu.Lock()
	defer g.running.mu.Unlock()
	for _, calls := range g.running.calls {
		for x := range calls {
			if boottime.Until(x.deadline.Add(lateAnswer)) <= 0 {
				x.stop(errOverdue)
			}
		}
	}
}

// isStopped reports whether the call was ended for its request's sake.
func (x *exchange) isStopped() bool { return errors.Is(context.Cause(x.ctx), errEndsServers) }

// endHeld ends a call whose request is not to be handed to any server.
func (g *Gateway) endHeld(x *exchange) {
	left, _ := g.cfg.Quarantine.HeldFor(x.fingerprint)
	g.end(x, reasonEndsServers, max(left, busyPause))
}

// endUnplaced ends a call that was stopped before it was handed over.
func (g *Gateway) endUnplaced(x *exchange, chosen choice) {
	if chosen.hold != nil {
		t := &try{gateway: g, x: x, chosen: chosen}
		t.finish(fleet.EndAbandoned)
	}
	g.endHeld(x)
}

// judgeEnd finds out whether the server of a call that broke off has ended, and reports whether
// the call is not to go on at another for that: it was not the first that ended under this
// request. After the first one, the other calls that it took along are best served at once.
func (t *try) judgeEnd(end fleet.End) (endsServers bool) {
	if end != fleet.EndUnreachable || t.endedBy() == sideBox || t.gateway.cfg.Crashed == nil {
		return false
	}
	x := t.x
	loss := crash.BrokenCall{Server: t.chosen.hold.Server(), Request: x.fingerprint, Caller: xxhash.Sum64String(x.caller())}
	return t.gateway.cfg.Crashed(x.ctx, loss) && t.gateway.cfg.Quarantine.Crashes(x.fingerprint) > 1
}
