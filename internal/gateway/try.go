// One server's part in a call: the call is handed over, and the answer relayed.

package gateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
)

// errPlaceExpired says that the call's place was for an earlier moment: the server bears few calls, or
// has said since that it drains or wants a pause.
var errPlaceExpired = merry.Sentinel("the place at the server has expired")

// try is one server's part in a call.
type try struct {
	gateway *Gateway
	x       *exchange
	chosen  choice
	// number counts the tries of a call from 1 on, and handed the servers that it was handed to,
	// this one included.
	number int
	handed int
	ctx    context.Context
	cancel context.CancelFunc
	// watch looks for another server while this one is silent.
	watch *watch
	// offer is set for a try that another one's watch began.
	offer *offer
}

// newTry makes the try of a call that was just handed to a server.
func (g *Gateway) newTry(x *exchange, chosen choice) *try {
	return g.makeTry(x, chosen, len(x.tried), x.handed)
}

// makeTry makes a try. It reads nothing that a try under way writes.
func (g *Gateway) makeTry(x *exchange, chosen choice, number, handed int) *try {
	ctx, cancel := context.WithTimeout(x.ctx, boottime.Until(x.deadline.Add(lateAnswer)))
	t := &try{gateway: g, x: x, chosen: chosen, number: number, handed: handed, ctx: ctx, cancel: cancel}
	t.watch = newWatch(t)
	return t
}

// runAll runs a try, and after it those that take the call over.
func (t *try) runAll() next {
	for {
		then, after := t.runOne()
		if after == nil {
			return then
		}
		t = after
	}
}

// runOne runs a try, and gives the one that takes the call over, if any. Its watch is closed also
// when the caller's connection is cut, which leaves this by a panic.
func (t *try) runOne() (then next, after *try) {
	defer t.cancel()
	defer func() { after = t.watch.close(then == nextTaken) }()
	return t.run(), nil
}

// run hands the call to one server and relays its answer.
func (t *try) run() next {
	answer, err := t.send()
	if err != nil {
		return t.noAnswer(err)
	}
	defer answer.Close()
	marks := t.gateway.cfg.Protocol.ReadMarks(answer.Status, answer.Header)
	if marks.NotRun {
		return t.refused(answer, marks)
	}
	t.x.mayHaveRun = true
	if !marks.Genuine {
		return t.lost("answer_not_genuine", fleet.EndFailed)
	}
	if isEventStream(answer) {
		return t.relayStream(answer)
	}
	if t.x.answering {
		return t.lost("stream_not_continued", fleet.EndFailed)
	}
	return t.relayWhole(answer)
}

// send hands the call over, if that was not done before the try's turn came, and gives the head
// of the answer.
func (t *try) send() (*handover.Response, error) {
	t.watch.begin()
	if t.offer != nil {
		return t.offer.wait()
	}
	return t.handOver(t.message())
}

// handOver hands the call over, and takes in what the head of the answer says of the server, also when
// the rest of it is lost or no longer wanted.
func (t *try) handOver(message handover.Request) (*handover.Response, error) {
	if !t.chosen.hold.MayHandOver() {
		return nil, errPlaceExpired
	}
	sent := boottime.Now()
	answer, err := t.gateway.cfg.Pool.Send(t.ctx, message)
	if err != nil {
		return nil, err
	}
	marks := t.gateway.cfg.Protocol.ReadMarks(answer.Status, answer.Header)
	t.gateway.cfg.Fleet.Advise(t.answeredBy(answer.Status, marks), advisory.Answer{
		Advisory: marks.Advisory, Sent: sent, Received: boottime.Now(), Genuine: marks.Genuine,
	})
	return answer, nil
}

// answeredBy gives the incarnation that answered: another one may stand at the server's address.
func (t *try) answeredBy(status int, marks call.Marks) string {
	server := t.chosen.hold.Server()
	if status == http.StatusMisdirectedRequest && marks.Server != "" && marks.Server != server.CalledBy() {
		return marks.Server
	}
	return server.Incarnation
}

func isEventStream(answer *handover.Response) bool {
	return answer.Status/100 == 2 && strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
}

func (t *try) message() handover.Request {
	x := t.x
	header := forwardable(x.request.Header)
	t.gateway.cfg.Protocol.WriteHandover(header, x.handover(t.chosen, t.gateway.remaining(x, t.chosen)))
	rest := freshRest
	if x.route.MayRepeat() {
		rest = repeatableRest
	}
	return handover.Request{
		Address: t.chosen.hold.Server().Address, Method: x.request.Method, Target: x.target(), Host: x.request.Host,
		Header: header, Body: x.body, MaxIdle: rest, Matches: t.belongs, OnConnect: t.watch.connected,
	}
}

// belongs reports whether an answer names this call, or no call at all.
func (t *try) belongs(response *http.Response) bool {
	marks := t.gateway.cfg.Protocol.ReadMarks(response.StatusCode, response.Header)
	return marks.RequestID == "" || marks.RequestID == t.x.facts.RequestID
}
