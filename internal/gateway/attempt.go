// One attempt of a call: the call is forwarded to one server, and the response relayed.

package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
)

// errPlacementExpired is the error of a call that must no longer be sent to its server. A placement
// at a server that takes few calls is valid only for a short time, and a server may have announced
// since the placement that it drains or wants a pause.
var errPlacementExpired = merry.Sentinel("the placement has expired")

// attempt is one attempt of a call at one server.
type attempt struct {
	gateway *Gateway
	x       *exchange
	chosen  placement
	// number counts the attempts of a call, starting at 1; serversReached is the number of servers
	// that the call was sent to, this one included.
	number         int
	serversReached int
	ctx            context.Context
	cancel         context.CancelFunc
	// watch hedges the call to another server while this one is unresponsive.
	watch *watch
	// asyncSend is set for an attempt that was started as a hedge.
	asyncSend *asyncSend
	// switchedFrom is the unresponsive server from which the call was switched to this attempt; empty
	// if it was not, or if the attempt there had failed.
	switchedFrom string
	// connErr is the error of the connection to the server, if the attempt was lost by one; the lock of
	// the watch guards it, since checks log who ended the attempt.
	connErr error
	// peerSoftware is the software version that serves the call at another box, by its response.
	peerSoftware *string
	// runningNoted is the time for which the server had been sending events when that was last recorded.
	runningNoted time.Duration
}

// newAttempt creates the attempt of a call that was just assigned to a server.
func (g *Gateway) newAttempt(x *exchange, chosen placement) *attempt {
	return g.makeAttempt(x, chosen, len(x.attempted), x.serversReached)
}

// makeAttempt creates an attempt. It reads no field that an attempt in progress writes.
func (g *Gateway) makeAttempt(x *exchange, chosen placement, number, serversReached int) *attempt {
	ctx, cancel := context.WithTimeout(x.ctx, boottime.Until(x.deadline.Add(lateResponseLimit)))
	a := &attempt{gateway: g, x: x, chosen: chosen, number: number, serversReached: serversReached, ctx: ctx, cancel: cancel}
	a.watch = newWatch(a)
	return a
}

// runAll runs an attempt, and then those that the call switches to.
func (a *attempt) runAll() nextStep {
	for {
		step, successor := a.runOne()
		if successor == nil {
			return step
		}
		a = successor
	}
}

// runOne runs an attempt, and returns the one that the call switches to, if any. The watch is also
// closed when the caller's connection is aborted, which leaves this function by a panic.
func (a *attempt) runOne() (step nextStep, successor *attempt) {
	defer a.cancel()
	defer a.x.isRunning.Store(false)
	defer func() { successor = a.watch.close(step == stepSwitched) }()
	return a.run(), nil
}

// run forwards the call to one server and relays its response.
func (a *attempt) run() nextStep {
	response, err := a.send()
	if err != nil {
		return a.handleNoResponse(err)
	}
	defer response.Close()
	info := a.responseInfo(response)
	if a.peer() != nil {
		a.countReached(response)
		a.peerSoftware = readForwardSoftware(response.Header)
	}
	if info.NotRun {
		if a.peer() != nil {
			a.applyForwardRefusal(response)
		}
		return a.handleRefusal(response, info)
	}
	a.x.mayHaveRun = true
	if !info.Genuine {
		return a.handleLost("answer_not_genuine", fleet.OutcomeFailed)
	}
	if isEventStream(response) && !a.x.isHead() {
		return a.relayStream(response)
	}
	if a.x.responseStarted {
		return a.handleLost("stream_not_continued", fleet.OutcomeFailed)
	}
	return a.relayBuffered(response)
}

// send forwards the call, unless a hedge has done so already, and returns the response headers.
func (a *attempt) send() (*handover.Response, error) {
	a.watch.start()
	if a.asyncSend != nil {
		return a.asyncSend.wait()
	}
	return a.forward(a.buildRequest())
}

// forward sends the call to the server and applies the server's advisory from the response headers,
// even if the body is lost or no longer needed.
func (a *attempt) forward(request handover.Request) (*handover.Response, error) {
	if !a.chosen.hold.MayHandOver() {
		return nil, errPlacementExpired
	}
	sent := boottime.Now()
	a.noteSent()
	a.announceSoftware()
	response, err := a.gateway.cfg.Pool.Send(a.ctx, request)
	if err != nil {
		return nil, err
	}
	a.noteContact()
	info := a.responseInfo(response)
	a.gateway.cfg.Fleet.ApplyAdvisory(a.respondingServer(response.Status, info), advisory.Answer{
		Advisory: info.Advisory, Sent: sent, Received: boottime.Now(), Genuine: info.Genuine,
	})
	return response, nil
}

// respondingServer returns the incarnation that responded: a new incarnation may be running at the
// server's address.
func (a *attempt) respondingServer(status int, info call.ResponseInfo) string {
	server := a.chosen.hold.Server()
	if a.peer() != nil {
		return info.Server // unknown to the fleet if empty
	}
	if status == http.StatusMisdirectedRequest && info.Server != "" && info.Server != server.TargetName() {
		return info.Server
	}
	return server.Incarnation
}

func isEventStream(response *handover.Response) bool {
	return response.Status/100 == 2 && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// isHead reports whether the call's response has headers only.
func (x *exchange) isHead() bool { return x.request.Method == http.MethodHead }

func (a *attempt) buildRequest() handover.Request {
	if a.peer() != nil {
		return a.buildForward()
	}
	x := a.x
	header := endToEndHeaders(x.request.Header)
	a.gateway.cfg.Protocol.WriteForwardInfo(header, x.forwardInfo(a.chosen, a.gateway.serverTimeout(x, a.chosen)))
	maxIdle := maxIdleOnce
	if x.route.IsRepeatable() {
		maxIdle = maxIdleRepeatable
	}
	return handover.Request{
		Address: a.chosen.hold.Server().Address, Method: x.request.Method, Target: x.target(), Host: x.request.Host,
		Header: header, Body: x.body, MaxIdle: maxIdle, Matches: a.matches, OnConnect: a.watch.onConnect, Memory: x.memory,
	}
}

// matches reports whether a response names this call, or names none.
func (a *attempt) matches(response *http.Response) bool {
	info := a.gateway.cfg.Protocol.ReadResponse(response.StatusCode, response.Header)
	return info.RequestID == "" || info.RequestID == a.x.info.RequestID
}
