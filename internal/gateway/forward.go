// Forwarding a call through another box. A box that does not reach the servers of a service (package
// reach) sends the calls for it to a box that does (package peerpath), over HTTP, as if the caller had sent
// them there. The other box places the call, retries it and relays the response; to this box it is like a
// server (forwardhold.go), which states in its own headers what happened where no server's response shows it
// (forwardresult.go).
//
// A call is forwarded once only: a box does not forward what another one has forwarded. It counts once in
// the retry budget, and the other box gets what is left of the servers that the route allows. A call whose
// forwarding breaks off after it was sent may have run, at as many servers as were left.

package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/handover"
)

const (
	// maxUnreached is the number of servers that a call fails to reach before it is forwarded, although
	// the service does not count as unreachable: kept connections may work while new ones are refused.
	maxUnreached = 2
	// maxUnreachedForwarded is the number of servers that a forwarded call fails to reach before this box
	// refuses it. It is higher, since where some servers have failed, other boxes do not reach them either.
	maxUnreachedForwarded = 4
	// maxPathsTried is the number of boxes that a call is forwarded to before it is refused.
	maxPathsTried = 3
	// forwardDialTimeout bounds the time to connect to another box. It is longer than for servers, of which
	// there are many: a box that lacks CPU for a moment would find no other box, and refuse its calls.
	forwardDialTimeout = 500 * time.Millisecond
	// minForwardTime is the least time left with which a call is forwarded.
	minForwardTime = 5 * time.Millisecond
)

// Reasons for refusing a forwarded call.
const (
	reasonUnreachable  = "service_unreachable"
	reasonForwardLimit = "forward_limit"
	// reasonNoShare: the box has used up its part of what boxes divide among each other.
	reasonNoShare = "no_share_left"
)

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
	if !g.reaches(x) || x.forwarded && x.unreached >= maxUnreachedForwarded {
		// The call would wait for one server after the other.
		x.refuseUnreachable()
		return placement{}, false
	}
	if chosen, ok := g.placeReconnect(x); ok {
		return chosen, true
	}
	if chosen, ok, decided := g.placeElsewhere(x); decided {
		return chosen, ok
	}
	chosen, ok := g.placeOrWait(x)
	if !ok && x.forwarded && x.unreached >= maxUnreached {
		x.refuseUnreachable()
	}
	return chosen, ok
}

// placeElsewhere chooses a box to forward a call to for which this box has used up its part of what boxes
// divide among each other. New connections may all come to one box, while the parts of the others are left.
// A call that was forwarded for that reason is refused, so that the first box tries another one; one whose
// first box does not reach the service waits here like others. It returns decided=false if the call
// stays here.
func (g *Gateway) placeElsewhere(x *exchange) (chosen placement, ok, decided bool) {
	if g.cfg.Peers == nil || x.forwarded && !x.shareOnly || !x.forwarded && !g.mayForward(x) {
		return placement{}, false, false
	}
	// A box that has just started does not know the limits for which others have no share left, so it
	// would send all their calls to the limited servers.
	uninformed := x.forwarded && g.cfg.IsInformed != nil && !g.cfg.IsInformed()
	if !uninformed && !g.cfg.Fleet.LacksShare(g.serversQuery(x)) {
		return placement{}, false, false
	}
	if x.forwarded {
		x.pathRefusal = pathRefusal{reason: reasonNoShare, retryAfter: retryAfterBusy}
		return placement{}, false, true
	}
	chosen, ok = g.choosePath(x)
	return chosen, ok, ok
}

// refuseUnreachable sets the reason for a call that this box cannot serve since it does not reach the
// service. For another box it means that the fleet may have capacity, and that a third one may serve it.
func (x *exchange) refuseUnreachable() {
	if x.pathRefusal.reason == "" {
		x.pathRefusal = pathRefusal{reason: reasonUnreachable, retryAfter: retryAfterNoServers}
	}
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
		if box, ok := strings.CutPrefix(name, peerPrefix); ok {
			tried = append(tried, box)
		}
	}
	return tried
}

// buildForward builds the request for another box: that of the caller, with the state of the call.
func (a *attempt) buildForward() handover.Request {
	x := a.x
	header := endToEndHeaders(x.request.Header)
	header.Set(headerForwardRemaining, strconv.FormatInt(max(boottime.Until(x.deadline).Milliseconds(), 1), 10))
	header.Set(headerForwardServers, strconv.Itoa(a.serversAllowed()))
	header.Set(headerForwardResume, x.resumeAfter)
	header.Set(headerForwardService, x.service.Name)
	if a.gateway.reaches(x) {
		header.Set(headerForwardShare, "1")
	}
	if x.software != nil {
		header.Set(headerForwardSoftware, *x.software)
	}
	maxIdle := maxIdleOnce
	if x.route.IsRepeatable() {
		maxIdle = maxIdleRepeatable
	}
	return handover.Request{
		Address: a.chosen.hold.Server().Address, Method: x.request.Method, Target: x.target(), Host: x.request.Host,
		Header: header, Body: x.body, MaxIdle: maxIdle, Matches: a.matches, OnConnect: a.watch.onConnect,
		DialTimeout: forwardDialTimeout, TLS: a.gateway.cfg.PeerTLS, Memory: x.memory,
	}
}

// serversAllowed returns the number of servers that the attempt may send the call to: one, or those that are
// left for another box.
func (a *attempt) serversAllowed() int {
	if a.peer() == nil {
		return 1
	}
	return max(a.x.maxServers()-a.serversReached+1, 1)
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
