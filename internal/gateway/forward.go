// Forwarding a call through another box. A box that does not reach the servers of a service (package
// reach) sends the calls for it to a box that does (package peerpath), over HTTP, as if the caller had sent
// them there. The other box places the call, retries it and relays the response; to this box it is like a
// server, which states in its own headers what happened where no server's response shows it.
//
// A call is forwarded once only: a box does not forward what another one has forwarded. It counts once in
// the retry budget, and the other box gets what is left of the servers that the route allows. A call whose
// forwarding breaks off after it was sent may have run, at as many servers as were left.

package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/peerpath"
)

// Headers between boxes. They are valid only at the port for forwarded calls.
const (
	forwardHeaderPrefix = "Cometlock-Forward-"
	// headerForwardRemaining is the time left for the call, in milliseconds, headerForwardServers the
	// number of servers that it may still be sent to, and headerForwardResume the id of the last event
	// that the caller has.
	headerForwardRemaining = forwardHeaderPrefix + "Remaining"
	headerForwardServers   = forwardHeaderPrefix + "Servers"
	headerForwardResume    = forwardHeaderPrefix + "Resume"
	// headerForwardOutcome is the outcome of a call that ended without a server's response, and
	// headerForwardReason the reason. headerForwardReached is the number of servers that the call was
	// sent to.
	headerForwardOutcome = forwardHeaderPrefix + "Outcome"
	headerForwardReason  = forwardHeaderPrefix + "Reason"
	headerForwardReached = forwardHeaderPrefix + "Reached"
	// headerForwardRetry is the time after which a refused call should be sent again, in milliseconds.
	headerForwardRetry = forwardHeaderPrefix + "Retry"
)

const (
	// maxUnreached is the number of servers that a call fails to reach before it is forwarded, although
	// the service does not count as unreachable: kept connections may work while new ones are refused.
	maxUnreached = 2
	// maxPathsTried is the number of boxes that a call is forwarded to before it is refused.
	maxPathsTried = 3
	// minForwardTime is the least time left with which a call is forwarded.
	minForwardTime = 5 * time.Millisecond
)

// Reasons for refusing a forwarded call.
const (
	reasonUnreachable  = "service_unreachable"
	reasonForwardLimit = "forward_limit"
)

// hold is a call's place at a server, or at a box that it is forwarded to.
type hold interface {
	Server() fleet.Server
	MayHandOver() bool
	NoteEvent()
	Done(outcome fleet.Outcome)
	Weights() int
	Cold() bool
	Limited() bool
	Brittle() bool
	DelistedFor() time.Duration
	ExpectedFirstEvent() time.Duration
	Overdue() time.Duration
	IsResponsive() bool
}

// peerHold is a call's place at another box.
type peerHold struct {
	paths   *peerpath.Paths
	box     peerpath.Box
	service string
	// ended replaces the outcome of Done, where the other box has stated one.
	ended peerpath.Outcome
}

// peerPrefix distinguishes the names of boxes from those of servers.
const peerPrefix = "box/"

func (h *peerHold) Server() fleet.Server {
	return fleet.Server{Incarnation: peerPrefix + h.box.Name, Service: h.service, Address: h.box.Address, Zone: h.box.Zone}
}

func (h *peerHold) Done(outcome fleet.Outcome) {
	switch {
	case h.ended != 0:
		h.paths.Done(h.box.Name, h.service, h.ended)
	case outcome == fleet.OutcomeUnreachable:
		h.paths.Done(h.box.Name, h.service, peerpath.Failed)
	case outcome == fleet.OutcomeAbandoned:
		h.paths.Done(h.box.Name, h.service, peerpath.Abandoned)
	default:
		h.paths.Done(h.box.Name, h.service, peerpath.Served)
	}
}

func (h *peerHold) MayHandOver() bool                 { return true }
func (h *peerHold) NoteEvent()                        {}
func (h *peerHold) Weights() int                      { return 0 }
func (h *peerHold) Cold() bool                        { return false }
func (h *peerHold) Limited() bool                     { return false }
func (h *peerHold) Brittle() bool                     { return false }
func (h *peerHold) DelistedFor() time.Duration        { return 0 }
func (h *peerHold) ExpectedFirstEvent() time.Duration { return 0 }
func (h *peerHold) Overdue() time.Duration            { return 0 }
func (h *peerHold) IsResponsive() bool                { return true }

// peer returns the box that the attempt forwards the call to, or nil if it goes to a server.
func (a *attempt) peer() *peerHold {
	forwarded, _ := a.chosen.hold.(*peerHold)
	return forwarded
}

// reaches reports whether this box reaches servers of the call's service.
func (g *Gateway) reaches(x *exchange) bool {
	return g.cfg.Reach == nil || !g.cfg.Reach.Unreachable(x.service.Name)
}

// forwardsNow reports whether the call is to be forwarded rather than placed: the service is unreachable,
// or the call has met several servers that are.
func (g *Gateway) forwardsNow(x *exchange) bool {
	return g.mayForward(x) && (!g.reaches(x) || x.unreached >= maxUnreached)
}

// mayForward reports whether the call may be forwarded at all.
func (g *Gateway) mayForward(x *exchange) bool {
	return g.cfg.Peers != nil && !x.forwarded && x.pathsTried < maxPathsTried && x.serversReached < x.maxServers() &&
		boottime.Until(x.deadline) > minForwardTime
}

// chooseServer places the call at a server, or chooses a box to forward it to. It returns false if there is
// neither.
func (g *Gateway) chooseServer(x *exchange) (placement, bool) {
	if g.forwardsNow(x) {
		if chosen, ok := g.choosePath(x); ok {
			return chosen, true
		}
	}
	if !g.reaches(x) {
		// The call would wait for one server after the other.
		x.pathRefusal = cmpRefusal(x.pathRefusal, pathRefusal{reason: reasonUnreachable, retryAfter: retryAfterNoServers})
		return placement{}, false
	}
	return g.placeOrWait(x)
}

// choosePath chooses a box to forward the call to.
func (g *Gateway) choosePath(x *exchange) (placement, bool) {
	box, ok := g.cfg.Peers.Choose(x.service.Name, x.triedPaths())
	if !ok {
		return placement{}, false
	}
	x.pathsTried++
	return placement{hold: &peerHold{paths: g.cfg.Peers, box: box, service: x.service.Name}}, true
}

// chooseHedgePath chooses a box to forward a hedge to. It runs while an attempt is in progress, and reads no
// field that the attempt writes.
func (g *Gateway) chooseHedgePath(x *exchange, pastHedges []*attempt) (placement, bool) {
	if g.cfg.Peers == nil || x.forwarded {
		return placement{}, false
	}
	exclude := x.triedPaths()
	for _, past := range pastHedges {
		if path := past.peer(); path != nil {
			exclude = append(exclude, path.box.Name)
		}
	}
	box, ok := g.cfg.Peers.Choose(x.service.Name, exclude)
	if !ok {
		return placement{}, false
	}
	return placement{hold: &peerHold{paths: g.cfg.Peers, box: box, service: x.service.Name}}, true
}

// triedPaths returns the names of the boxes that the call was forwarded to.
func (x *exchange) triedPaths() []string {
	var tried []string
	for _, name := range x.attempted {
		if len(name) > len(peerPrefix) && name[:len(peerPrefix)] == peerPrefix {
			tried = append(tried, name[len(peerPrefix):])
		}
	}
	return tried
}

// buildForward builds the request for another box: that of the caller, with the state of the call.
func (a *attempt) buildForward() handover.Request {
	x := a.x
	header := endToEndHeaders(x.request.Header)
	header.Set(headerForwardRemaining, strconv.FormatInt(max(boottime.Until(x.deadline).Milliseconds(), 1), 10))
	header.Set(headerForwardServers, strconv.Itoa(x.maxServers()-a.serversReached+1))
	header.Set(headerForwardResume, x.resumeAfter)
	maxIdle := maxIdleOnce
	if x.route.IsRepeatable() {
		maxIdle = maxIdleRepeatable
	}
	return handover.Request{
		Address: a.chosen.hold.Server().Address, Method: x.request.Method, Target: x.target(), Host: x.request.Host,
		Header: header, Body: x.body, MaxIdle: maxIdle, Matches: a.matches, OnConnect: a.watch.onConnect,
	}
}

// pathRefusal is why the calls of this box are refused where it does not reach the service.
type pathRefusal struct {
	reason     string
	retryAfter time.Duration
}

// cmpRefusal returns the first refusal that has a reason.
func cmpRefusal(refusals ...pathRefusal) pathRefusal {
	at := slices.IndexFunc(refusals, func(r pathRefusal) bool { return r.reason != "" })
	if at < 0 {
		return pathRefusal{}
	}
	return refusals[at]
}

// forwardResult is what another box states about a forwarded call.
type forwardResult struct {
	// outcome is empty if the response is that of a server.
	outcome    outcome
	reason     string
	reached    int
	retryAfter time.Duration
}

// readForwardResult reads the headers of another box's response.
func readForwardResult(header http.Header) forwardResult {
	number := func(name string) int {
		n, err := strconv.Atoi(header.Get(name))
		if err != nil {
			return 0
		}
		return max(n, 0)
	}
	return forwardResult{
		outcome: outcome(header.Get(headerForwardOutcome)), reason: header.Get(headerForwardReason),
		reached: number(headerForwardReached), retryAfter: time.Duration(number(headerForwardRetry)) * time.Millisecond,
	}
}

// responseInfo returns the metadata of a response. What another box has decided itself is not genuine, and
// means that the call was not run if the box says so.
func (a *attempt) responseInfo(response *handover.Response) call.ResponseInfo {
	info := a.gateway.cfg.Protocol.ReadResponse(response.Status, response.Header)
	if a.peer() == nil {
		return info
	}
	switch result := readForwardResult(response.Header); result.outcome {
	case "":
		info.NotRun = false // a server's refusal ends at the other box
	case outcomeRefused, outcomeRejected:
		info.NotRun, info.Genuine, info.Advisory = true, false, advisory.Advisory{}
	default:
		info.NotRun, info.Genuine, info.Advisory = false, false, advisory.Advisory{}
	}
	return info
}

// recordForwardRefusal records that the other box has not run the call, and what its refusal shows.
func (a *attempt) recordForwardRefusal(response *handover.Response) {
	result := readForwardResult(response.Header)
	path := a.peer()
	switch {
	case result.reason == reasonUnreachable:
		path.ended = peerpath.Unreachable
	case result.reason == reasonForwardLimit:
		path.ended = peerpath.Limited
	case result.outcome == outcomeRejected:
		// The other box may have another version of the configuration.
		path.ended = peerpath.Served
	default:
		// The fleet has no capacity for the call, which other boxes would find too.
		path.ended = peerpath.Served
		a.x.pathsTried = maxPathsTried
		a.x.pathRefusal = pathRefusal{reason: result.reason, retryAfter: result.retryAfter}
	}
	a.release(fleet.OutcomeBusy)
	a.log("forward_refused", result.reason)
}

// countReached counts the servers that a forwarded call was sent to, in place of the box itself. Where the
// box has not stated them, all that were left count.
func (a *attempt) countReached(response *handover.Response) {
	x := a.x
	x.serversReached--
	if response == nil {
		x.serversReached = x.maxServers()
		return
	}
	x.serversReached = min(x.serversReached+readForwardResult(response.Header).reached, x.maxServers())
}

// withoutForwardHeaders removes the headers between boxes.
func withoutForwardHeaders(header http.Header) http.Header {
	for name := range header {
		if len(name) > len(forwardHeaderPrefix) && name[:len(forwardHeaderPrefix)] == forwardHeaderPrefix {
			delete(header, name)
		}
	}
	return header
}

// noteSent, noteContact and noteUnreached record for package reach what this box's own links show.
func (a *attempt) noteSent() {
	if a.gateway.cfg.Reach != nil && a.peer() == nil {
		a.gateway.cfg.Reach.NoteSent(a.x.service.Name)
	}
}

func (a *attempt) noteContact() {
	if a.gateway.cfg.Reach != nil && a.peer() == nil {
		a.gateway.cfg.Reach.NoteContact(a.x.service.Name)
	}
}

func (a *attempt) noteUnreached() {
	if a.peer() != nil {
		return
	}
	a.x.unreached++
	if a.gateway.cfg.Reach != nil {
		a.gateway.cfg.Reach.NoteFailure(a.x.service.Name)
	}
}
