// Tries: a call is handed to one server after another until it has its end. Whether
// there may be another after one that brought no answer is judged in verdict.go.

package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
)

// next says how a call goes on after a try.
type next uint8

const (
	// nextEnd: the call has its end.
	nextEnd next = iota + 1
	// nextServer: another server may be tried.
	nextServer
)

const (
	// freshRest is the longest rest of a connection that may carry a call which
	// cannot be repeated: a server that closes it at that moment leaves its
	// outcome unknown.
	freshRest = 5 * time.Second
	// repeatableRest is the same for calls that can.
	repeatableRest = 20 * time.Second
	// patienceFactor times the objective is how long a call that can be repeated
	// waits for a sign of its server before it is tried elsewhere.
	patienceFactor = 2
	// shortestPatience bounds that from below: a server may be slow for a moment.
	shortestPatience = 400 * time.Millisecond
	// longestFactor times the objective is how long a prompt waits at a runner that
	// others hear of. Such a runner is busy, and to read the prompt again elsewhere
	// would only make more work; it must be the call that is lost.
	longestFactor = 5
	// lateAnswer is how long after the deadline an answer is still taken in. A server stops at
	// the time that it was given, but what it made may lie unread at a box that lacks the
	// processor: 55 calls of a day's first seconds got a 504 though they had run well. It is
	// well below the half second by which a call must have ended after its route's time.
	lateAnswer = 150 * time.Millisecond
	// maxAnswerBytes bounds an answer that is taken in whole.
	maxAnswerBytes = 16 << 20
)

// reasonNoServer is why a call ends that no server may take; the log then tells of the
// servers.
const reasonNoServer = "no_server"

// serve tries servers until the call has its end.
func (g *Gateway) serve(x *exchange) {
	g.cfg.Budget.Earn()
	defer g.running.add(x)()
	for {
		if _, admitted := g.cfg.Quarantine.Admit(x.fingerprint); !admitted {
			g.endHeld(x)
			return
		}
		chosen, ok := g.placeSoon(x)
		if x.isStopped() {
			g.endUnplaced(x, chosen)
			return
		}
		if !ok {
			x.shortage = g.shortage(x)
			g.end(x, reasonNoServer, g.comeBack(x))
			return
		}
		x.choice = chosen
		x.tried = append(x.tried, chosen.hold.Server().Incarnation)
		if g.try(x, chosen) == nextEnd {
			return
		}
		if !g.mayTryAnother(x) {
			g.end(x, "no_server_answered", busyPause)
			return
		}
	}
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
	return x.handed == 0 || x.handed < x.maxServers() && g.cfg.Budget.Take()
}

func (x *exchange) maxServers() int { return max(x.route.MaxServers, 1) }

// mayRepeat reports whether the call may run once more after it may have run.
func (x *exchange) mayRepeat() bool {
	return x.route.MayRepeat() && x.handed < x.maxServers()
}

// try hands the call to one server and relays its answer.
func (g *Gateway) try(x *exchange, chosen choice) next {
	t := g.newTry(x, chosen)
	defer t.cancel()
	x.handed++
	answer, err := g.cfg.Pool.Send(t.ctx, t.message())
	if err != nil {
		return t.noAnswer(err)
	}
	defer answer.Close()
	marks := g.cfg.Protocol.ReadMarks(answer.Status, answer.Header)
	if marks.NotRun {
		return t.refused(answer, marks)
	}
	x.mayHaveRun = true
	if !marks.Genuine {
		return t.lost("answer_not_genuine", fleet.EndFailed)
	}
	if isEventStream(answer) {
		return t.relayStream(answer)
	}
	if x.answering {
		return t.lost("stream_not_continued", fleet.EndFailed)
	}
	return t.relayWhole(answer)
}

func isEventStream(answer *handover.Answer) bool {
	return answer.Status/100 == 2 && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

// try is one server's part in a call.
type try struct {
	gateway *Gateway
	x       *exchange
	chosen  choice
	ctx     context.Context
	cancel  context.CancelFunc
	began   time.Time
	// patience ends a try at a silent server; nil for calls that cannot be tried
	// elsewhere.
	patience *time.Timer
	// impatient says that it did.
	impatient chan struct{}
}

func (g *Gateway) newTry(x *exchange, chosen choice) *try {
	ctx, cancel := context.WithTimeout(x.ctx, boottime.Until(x.deadline.Add(lateAnswer)))
	t := &try{gateway: g, x: x, chosen: chosen, ctx: ctx, cancel: cancel, began: boottime.Now(), impatient: make(chan struct{})}
	if x.mayRepeat() {
		t.patience = time.AfterFunc(max(patienceFactor*x.route.Objective, shortestPatience), t.lookImpatiently)
	}
	return t
}

// lookImpatiently ends a try whose server has kept silent for too long.
func (t *try) lookImpatiently() {
	again := max(t.x.route.Objective/2, shortestPatience/2)
	if t.chosen.namespace != "" && t.chosen.hold.Speaks() && boottime.Since(t.began) < longestFactor*t.x.route.Objective {
		t.patience.Reset(again)
		return
	}
	t.noteFetch()
	close(t.impatient)
	t.cancel()
}

// heard ends the patience with the server's first sign; it reports false when it
// had run out.
func (t *try) heard() bool {
	if t.patience != nil {
		t.patience.Stop()
	}
	return !t.ranOut()
}

func (t *try) message() handover.Call {
	x := t.x
	header := forwardable(x.request.Header)
	t.gateway.cfg.Protocol.WriteHandover(header, x.handover(t.chosen, t.gateway.remaining(x, t.chosen)))
	rest := freshRest
	if x.route.MayRepeat() {
		rest = repeatableRest
	}
	return handover.Call{
		Address: t.chosen.hold.Server().Address, Method: x.request.Method, Target: x.target(), Host: x.request.Host,
		Header: header, Body: x.body, MaxIdle: rest, Belongs: t.belongs,
	}
}

// belongs reports whether an answer names this call, or no call at all.
func (t *try) belongs(response *http.Response) bool {
	marks := t.gateway.cfg.Protocol.ReadMarks(response.StatusCode, response.Header)
	return marks.RequestID == "" || marks.RequestID == t.x.facts.RequestID
}

// ranOut reports whether the patience with the server ran out.
func (t *try) ranOut() bool {
	select {
	case <-t.impatient:
		return true
	default:
		return false
	}
}
