// The retry loop: a call is sent to one server after another until it has a final result. Each
// server gets one attempt (attempt.go); retry.go decides whether another one may follow an attempt
// that brought no response.

package gateway

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/retrybudget"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// nextStep is how a call continues after an attempt.
type nextStep uint8

const (
	// stepDone: the call has its final result.
	stepDone nextStep = iota + 1
	// stepNextServer: another server may be tried.
	stepNextServer
	// stepSwitched: the call continues at the server of a hedge, sent while the last server was
	// unresponsive.
	stepSwitched
)

const (
	// maxIdleOnce is the longest idle time of a connection that may carry a call which cannot be
	// repeated: if the server closes the connection just then, the outcome of the call is unknown.
	maxIdleOnce = 5 * time.Second
	// maxIdleRepeatable is the same for calls that can be repeated.
	maxIdleRepeatable = 20 * time.Second
	// lateResponseLimit is how long after the deadline a response is still accepted. A server stops
	// at the deadline that it got, but what it has produced may be unread at a box that lacks CPU,
	// and the caller would get a 504 although the call has run well. The limit is well below half a
	// second, within which a call must have ended after its route's timeout.
	lateResponseLimit = 150 * time.Millisecond
	// maxBufferedBytes bounds a response that is buffered, and maxBufferedUnstated one that does not state
	// its length, which may have no end. Longer ones are passed on as they are read.
	maxBufferedBytes    = 16 << 20
	maxBufferedUnstated = 1 << 20
)

// reasonNoServer is the reason for ending a call that no server can take; the log line then
// describes the state of the servers.
const reasonNoServer = "no_server"

// reasonNoServerAnswered is the reason for ending a call that its servers refused or lost, and that may
// not be sent to a further one.
const reasonNoServerAnswered = "no_server_answered"

// serve tries servers until the call has a final result.
func (g *Gateway) serve(x *exchange) {
	if !x.forwarded {
		g.retryBudget(x).Deposit()
	}
	defer g.active.add(x)()
	g.cfg.AwaitQuarantine(x.ctx)
	for {
		if !g.admitQuarantine(x) {
			g.returnRetry(x)
			g.endQuarantined(x)
			return
		}
		chosen, ok := g.placeNext(x)
		if x.isQuarantined() {
			g.returnRetry(x)
			g.endQuarantinedUnsent(x, chosen)
			return
		}
		if !ok {
			g.returnRetry(x)
			g.endUnplaced(x)
			return
		}
		x.recordForward(chosen)
		if g.newAttempt(x, chosen).runAll() == stepDone {
			return
		}
		if !g.takeRetry(x) {
			g.endCall(x, reasonNoServerAnswered, retryAfterBusy)
			return
		}
	}
}

// recordForward records that the call is sent to a server.
func (x *exchange) recordForward(chosen placement) {
	x.placement = chosen
	x.attempted = append(x.attempted, chosen.hold.Server().Incarnation)
	if !chosen.isReturn {
		x.serversReached++
	}
}

// retryAfter returns when a call that found no server should be sent again: at the time that the queue
// that refused it has assigned. If the servers have announced when they take calls again, it is no
// earlier than that time plus a random delay of up to the same length, or up to retryAfterNoServers if
// that is longer.
func (g *Gateway) retryAfter(x *exchange) time.Duration {
	assigned := g.assignedReturn(x)
	if wait := g.availability(x).Wait; wait > 0 {
		return max(assigned, wait+rand.N(max(wait, retryAfterNoServers)))
	}
	if assigned > 0 {
		return assigned
	}
	return g.busyBackoff(x)
}

// assignedReturn returns the time that a queue has assigned to the call's return, within the bounds in
// which callers send calls again; zero if there is none.
func (g *Gateway) assignedReturn(x *exchange) time.Duration {
	if x.returnAfter <= 0 || !g.cfg.Mechanisms.Enabled(mechanism.ReturnTimes) {
		return 0
	}
	assigned := max(min(x.returnAfter, x.maxReturn()), retryAfterBusy)
	g.metrics.scope.Histogram("return_after_seconds", telemetry.LatencyBuckets()).RecordDuration(assigned)
	return assigned
}

// busyBackoff returns when a call that no queue has refused should be sent again: soon when none of its
// servers can be reached, and after some prompts have been processed when they are busy. For
// prompts it is random, so that calls refused together do not come back together.
func (g *Gateway) busyBackoff(x *exchange) time.Duration {
	if x.info.Prompt == nil {
		return retryAfterNoServers
	}
	objective := x.route.Objective
	if objective <= 0 {
		objective = retryAfterNoServers // a route need not have one
	}
	return objective + rand.N(2*objective)
}

// maxReturnFraction is the part of the time that a call has left after which its caller no longer sends
// it again.
const maxReturnFraction = 3

// maxReturn returns the longest time after which the call can be sent again; zero if it cannot.
func (x *exchange) maxReturn() time.Duration {
	if x.responseStarted {
		return 0
	}
	return max(boottime.Until(x.deadline)/maxReturnFraction, 0)
}

// returnKey identifies the call when it is sent again.
func (x *exchange) returnKey() uint64 { return binary.LittleEndian.Uint64(x.fingerprint[:]) }

// endCall ends a call for which no other server is tried.
func (g *Gateway) endCall(x *exchange, reason string, retryAfter time.Duration) {
	if x.responseStarted {
		g.abortResponse(x, reason)
	}
	if x.serverFailure != nil {
		x.outcome, x.reason = outcomeFailed, "server_failed"
		x.writeResponse(x.serverFailure)
		return
	}
	g.endWithoutResponse(x, reason, retryAfter)
}

// retryBudget returns the retry budget of the call's service. It is looked up for each use, since a long
// call may outlast the budget of a service that was removed.
func (g *Gateway) retryBudget(x *exchange) *retrybudget.Budget { return g.cfg.Budget(x.service.Name) }

// retryBudget returns the retry budget of the attempt's service.
func (a *attempt) retryBudget() *retrybudget.Budget { return a.gateway.retryBudget(a.x) }

// takeRetry reports whether the route, the time left and the retry budget allow another server, or the
// return to an earlier one, and takes a retry from the budget. Until a server has received the call, the next one does not count
// as a retry.
func (g *Gateway) takeRetry(x *exchange) bool {
	if !boottime.Now().Before(x.deadline) || x.request.Context().Err() != nil || x.outlastsStop() {
		return false
	}
	if x.serversReached == 0 {
		return true
	}
	x.tookRetry = (x.serversReached < x.maxServers() || x.mayReturn()) && g.retryBudget(x).TryWithdraw()
	return x.tookRetry
}

// returnRetry returns the retry that was taken for an attempt that reaches no server. When servers
// fail together, calls would otherwise spend the budget on attempts that are never made, and calls
// that could be served elsewhere a moment later would find it empty.
func (g *Gateway) returnRetry(x *exchange) {
	if x.tookRetry {
		x.tookRetry = false
		g.retryBudget(x).Refund()
	}
}

func (x *exchange) maxServers() int {
	if x.serversAllowed > 0 {
		return min(x.serversAllowed, max(x.route.MaxServers, 1))
	}
	return max(x.route.MaxServers, 1)
}

// mayRetry reports whether the call may run once more after it may have run.
func (x *exchange) mayRetry() bool {
	return x.route.IsRepeatable() && x.serversReached < x.maxServers()
}
