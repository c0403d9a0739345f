// A call is handed to one server after another until it has its end. Each is a try (try.go);
// whether there may be another after one that brought no answer is judged in verdict.go.

package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// next says how a call goes on after a try.
type next uint8

const (
	// nextEnd: the call has its end.
	nextEnd next = iota + 1
	// nextServer: another server may be tried.
	nextServer
	// nextTaken: the call goes on at a server that was asked while the last one was silent.
	nextTaken
)

const (
	// freshRest is the longest rest of a connection that may carry a call which
	// cannot be repeated: a server that closes it at that moment leaves its
	// outcome unknown.
	freshRest = 5 * time.Second
	// repeatableRest is the same for calls that can.
	repeatableRest = 20 * time.Second
	// lateAnswer is how long after the deadline an answer is still taken in. A server stops at
	// the time that it was given, but what it made may lie unread at a box that lacks the
	// processor, and its caller would get a 504 though the call has run well. It is well below the half second by which a call must have ended after its route's time.
	lateAnswer = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer that is taken in whole.
	maxAnswerBytes = 16 << 20
)

// reasonNoServer is why a call ends that no server may take; the log then tells of the
// servers.
const reasonNoServer = "no_server"

// serve tries servers until the call has its end.
func (g *Gateway) serve(x *exchange) {
	g.cfg.Budget.Deposit()
	defer g.running.add(x)()
	for {
		if _, admitted := g.cfg.Quarantine.Admit(x.fingerprint); !admitted {
			g.returnRetry(x)
			g.endHeld(x)
			return
		}
		chosen, ok := g.placeSoon(x)
		if x.isStopped() {
			g.returnRetry(x)
			g.endUnplaced(x, chosen)
			return
		}
		if !ok {
			g.returnRetry(x)
			x.shortage = g.shortage(x)
			g.end(x, g.unplacedReason(x, x.shortage), g.retryAfter(x))
			return
		}
		x.handTo(chosen)
		if g.newTry(x, chosen).runAll() == nextEnd {
			return
		}
		if !g.mayTryAnother(x) {
			g.end(x, "no_server_answered", busyPause)
			return
		}
	}
}

// handTo notes that the call is handed to a server.
func (x *exchange) handTo(chosen choice) {
	x.choice = chosen
	x.tried = append(x.tried, chosen.hold.Server().Incarnation)
	x.handed++
}

// retryAfter says when a call that found no server should come back: when the servers take calls again,
// where they say so themselves, spread over as long again.
func (g *Gateway) retryAfter(x *exchange) time.Duration {
	if wait := g.cfg.Fleet.Availability(x.service.Name, g.allowedZones(x)).Wait; wait > 0 {
		return wait + rand.N(max(wait, serverlessPause))
	}
	return g.comeBack(x)
}

// comeBack says when a call that found no room should come back: soon when none of
// its servers can be reached, and after some prompts have been read when they are
// busy. Calls that come back at different moments do not meet again.
func (g *Gateway) comeBack(x *exchange) time.Duration {
	if x.facts.Prompt == nil {
		return serverlessPause
	}
	objective := x.route.Objective
	if objective <= 0 {
		objective = serverlessPause // a route need not name one
	}
	return objective + rand.N(2*objective)
}

// end ends a call for which no further server is tried.
func (g *Gateway) end(x *exchange, reason string, pause time.Duration) {
	if x.answering {
		g.breakOff(x, reason)
	}
	if x.failure != nil {
		x.outcome, x.reason = outcomeFailed, "server_failed"
		x.passOn(x.failure)
		return
	}
	g.giveUp(x, reason, pause)
}

// mayTryAnother reports whether the route, the time left and the retry budget allow
// another server, and takes from the budget. The next server that a call is handed to is
// no retry as long as none has seen it.
func (g *Gateway) mayTryAnother(x *exchange) bool {
	if !boottime.Now().Before(x.deadline) || x.request.Context().Err() != nil {
		return false
	}
	if x.handed == 0 {
		return true
	}
	x.paid = x.handed < x.maxServers() && g.cfg.Budget.TryWithdraw()
	return x.paid
}

// returnRetry gives the retry back that was taken for a try which no server sees. When servers
// fail together, calls would else spend the budget on tries that are never made, and those that
// could be served elsewhere a moment later would find none.
func (g *Gateway) returnRetry(x *exchange) {
	if x.paid {
		x.paid = false
		g.cfg.Budget.Refund()
	}
}

func (x *exchange) maxServers() int { return max(x.route.MaxServers, 1) }

// mayRepeat reports whether the call may run once more after it may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.MayRepeat() && x.handed < x.maxServers()
}
