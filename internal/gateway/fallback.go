// Returning to a server that a call was switched away from. The server of a hedge may refuse the call, or
// lose it, after the first attempt was cancelled. If no other server can take the call, it returns to
// the first one, which was only unresponsive. The route counts servers, so a return needs no further one, but
// it is an arrival at a server and takes a retry from the budget.

package gateway

import "github.com/cometlock/cometlock/internal/boottime"

// nextServer ends an attempt after which another server may be tried. If the call was switched to this
// attempt, it may return to the server of the attempt before, unless this one has relayed a part of a
// response: then its server has served the call and failed later, which is no late refusal.
func (a *attempt) nextServer() nextStep {
	switch {
	case a.watch.hasStarted():
		a.x.fallback = ""
	case a.switchedFrom != "":
		a.x.fallback = a.switchedFrom
	}
	return stepNextServer
}

// mayReturn reports whether the call may return to its fallback server. A call returns once at most, so
// that it does not alternate between servers that refuse it and servers that do not respond.
func (x *exchange) mayReturn() bool {
	return x.fallback != "" && !x.returned && x.route.IsRepeatable()
}

// placeNext chooses the server for the next attempt: another one if the route allows it and one is found,
// the fallback server otherwise.
func (g *Gateway) placeNext(x *exchange) (placement, bool) {
	if x.serversReached < x.maxServers() {
		if chosen, ok := g.chooseServer(x); ok {
			return chosen, true
		}
	}
	return g.placeReturn(x)
}

// placeReturn reserves a place at the fallback server. The server may be suspect, since the call
// itself has reported that it is unresponsive.
func (g *Gateway) placeReturn(x *exchange) (placement, bool) {
	if !x.mayReturn() || !g.reaches(x) || x.ctx.Err() != nil || !boottime.Now().Before(x.deadline) {
		return placement{}, false
	}
	chosen, ok := g.placeAgain(x, x.fallback)
	if !ok {
		return placement{}, false
	}
	x.returned = true
	g.cfg.Logger.Info().Str("request", x.info.RequestID).Str("server", x.fallback).Str("service", x.service.Name).
		Dur("left", boottime.Until(x.deadline)).Float64("retries_saved", g.retryBudget(x).State().Balance).Msg("call_returned")
	chosen.isReturn = true
	return chosen, true
}

// placeAgain reserves a place at a server where the call was placed before, even if that is suspect. The
// server has admitted the call before, so its load is not considered.
func (g *Gateway) placeAgain(x *exchange, server string) (placement, bool) {
	query, plans := g.fleetQuery(x)
	query.Exclude, query.SuspectAllowed = nil, server
	hold := g.cfg.Fleet.PlaceAt(query, server)
	if hold == nil {
		return placement{}, false
	}
	x.placedBy, x.ownerError = placedByThisBox, ""
	return g.recordPlacement(x, hold, plans), true
}

// endUnplaced ends a call that no server can take. If its route allows no further server, a shortage of
// servers is not the cause.
func (g *Gateway) endUnplaced(x *exchange) {
	if x.outlastsStop() {
		g.endCall(x, reasonStopping, retryAfterBusy)
		return
	}
	if x.serversReached >= x.maxServers() {
		g.endCall(x, reasonNoServerAnswered, retryAfterBusy)
		return
	}
	if x.pathRefusal.reason != "" {
		g.endCall(x, x.pathRefusal.reason, x.pathRefusal.retryAfter)
		return
	}
	x.shortage = g.shortage(x)
	reason := g.unplacedReason(x, x.shortage)
	if reason == reasonNoVersion {
		g.endCall(x, reason, retryAfterBusy) // the caller may begin a new stream at once
		return
	}
	g.endCall(x, reason, g.retryAfter(x))
}
