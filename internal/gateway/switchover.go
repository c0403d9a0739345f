// Moving a call from an unresponsive server to another one: a hedged request whose first attempt is
// cancelled only after another server has accepted the call. Cancelling first would lose responses
// when the route or the retry budget allows no other server, when no server has capacity, or when the
// chosen one refuses the call or is unresponsive too. The first attempt continues meanwhile, and
// its response is used if it arrives. Two servers run a call at the same time for refusalTimeout at
// most.

package gateway

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
)

// refusalTimeout is how long the server of a hedge has to refuse the call: a full server refuses at
// once, and connecting takes half of this time at most. After that the call counts as running
// there. It must stay well below 400 ms, the time for which a call that continues at another server
// may still be running at its earlier one.
const refusalTimeout = 200 * time.Millisecond

// responsiveTimeout is how long a runner has to respond to a health check before it is sent the
// call of an unresponsive one. A healthy runner responds in a few milliseconds.
const responsiveTimeout = 150 * time.Millisecond

// stayReason is why a call stays at its unresponsive server.
type stayReason string

// Reasons for staying.
const (
	stayRouteLimit       stayReason = "no_other_server_allowed"
	stayNoTimeLeft       stayReason = "no_time_left"
	stayNoRetrySaved     stayReason = "no_retry_saved"
	stayNoServerWithRoom stayReason = "no_sound_server_with_room"
	stayPeerUnresponsive stayReason = "the_other_server_is_silent_too"
	stayQuarantined      stayReason = reasonCrashesServers
)

// check runs when the timer fires: it chooses another server, checks that this one is responsive,
// sends it the call, and waits for a refusal.
func (w *watch) check() {
	hedge, reason := w.prepareHedge()
	if reason != "" {
		w.current.log("try_kept", string(reason))
	}
	if hedge == nil {
		return
	}
	if !hedge.isResponsive() {
		w.dropHedge(hedge)
		return
	}
	if !w.sendHedge(hedge) {
		return
	}
	hedge.asyncSend.await(refusalTimeout)
	if w.hedgeFailed(hedge) {
		hedge.asyncSend.finishFailed()
	}
}

// isResponsive checks that the attempt's server responds, independently of the call. A server that
// cannot be checked counts as responsive.
func (a *attempt) isResponsive() bool {
	if a.chosen.namespace == "" || a.gateway.cfg.IsResponsive == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(a.ctx, responsiveTimeout)
	defer cancel()
	return a.gateway.cfg.IsResponsive(ctx, a.chosen.hold.Server())
}

// dropHedge cancels a hedge before it is sent, because its server is unresponsive. The server is
// reported as unreachable, so that for a while it gets no other calls either.
func (w *watch) dropHedge(hedge *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != hedge || w.state != hedging {
		return // cancelled, or switched to without this check
	}
	w.hedge, w.state = nil, watching
	w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
	w.current.retryBudget().Refund()
	hedge.cancel()
	hedge.release(fleet.OutcomeUnreachable)
	hedge.log("try_kept", string(stayPeerUnresponsive))
}

// sendHedge sends the call to the hedge's server, unless the hedge was cancelled meanwhile.
func (w *watch) sendHedge(hedge *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != hedge || w.state != hedging {
		return false
	}
	hedge.asyncSend.start()
	return true
}

// prepareHedge chooses a server for a hedge, if this one has been unresponsive for long enough and
// another attempt is allowed. Otherwise it returns the reason why the call stays, if that differs
// from the last one.
func (w *watch) prepareHedge() (hedge *attempt, reason stayReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != watching {
		return nil, ""
	}
	observed := w.observe(boottime.Now())
	if w.relayingEvent {
		w.scheduleCheck(observed.IdleLimit())
		return nil, ""
	}
	another, recheckAfter := observed.ShouldTryAnother()
	if another || observed.Idle >= keepAliveAfter {
		w.enableKeepAliveOnce()
	}
	if !another {
		w.scheduleNextCheck(recheckAfter, observed.Idle)
		return nil, ""
	}
	if !w.started {
		w.current.recordFetchDelay()
	}
	if hedge, reason = w.reserveHedge(); hedge != nil {
		w.state, w.hedge = hedging, hedge
		return hedge, ""
	}
	if reason != stayRouteLimit {
		w.scheduleCheck(observed.RecheckInterval())
	}
	if reason == w.loggedReason {
		return nil, ""
	}
	w.loggedReason = reason
	return nil, reason
}

// reserveHedge takes a retry from the budget and a place at a server, or neither. The caller holds
// mu.
func (w *watch) reserveHedge() (*attempt, stayReason) {
	x, g := w.current.x, w.current.gateway
	added := 1
	for _, past := range w.pastHedges {
		added += past.asyncSend.servers
	}
	switch _, held := g.quarantinedFor(x); {
	case held:
		return nil, stayQuarantined
	case w.current.peer() != nil:
		return nil, stayRouteLimit // the other box may use all servers that are left, and hedges itself
	case w.current.serversReached+added > x.maxServers():
		return nil, stayRouteLimit
	case !boottime.Now().Before(x.deadline):
		return nil, stayNoTimeLeft
	case !g.retryBudget(x).TryWithdraw():
		return nil, stayNoRetrySaved
	}
	chosen, ok := g.placeHedge(x, w.pastHedges)
	if !ok {
		g.retryBudget(x).Refund()
		return nil, stayNoServerWithRoom
	}
	hedge := g.makeAttempt(x, chosen, w.current.number+len(w.pastHedges)+1, w.current.serversReached+added)
	hedge.asyncSend = newAsyncSend(hedge)
	return hedge, ""
}

// hedgeFailed reports whether the hedge's server has refused or failed the call. Otherwise the call
// switches to it, and the first attempt is cancelled.
func (w *watch) hedgeFailed(hedge *attempt) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != hedge || w.state != hedging {
		return false // the hedge was cancelled, or the call has switched to it already
	}
	if hedge.asyncSend.failed(w.started) {
		w.pastHedges, w.hedge, w.state = append(w.pastHedges, hedge), nil, watching
		w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
		return true
	}
	if hedge.chosen.namespace == "" && hedge.peer() == nil && !hedge.asyncSend.isDone() {
		// Nothing shows that the server is working, and a healthy plain service would have
		// responded.
		w.cancelHedge()
		w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
		return false
	}
	w.state = switched
	hedge.switchedFrom = w.current.chosen.hold.Server().Incarnation
	w.current.cancel()
	return false
}

// placeHedge chooses a healthy server for a hedge. It neither waits for capacity nor sends a
// request to an owner box: the chosen server refuses the call if it has no capacity.
//
// If this box does not reach the service, it chooses another box to forward the call to.
func (g *Gateway) placeHedge(x *exchange, pastHedges []*attempt) (placement, bool) {
	if !g.reaches(x) {
		return g.chooseHedgePath(x, pastHedges)
	}
	query, plans := g.fleetQuery(x)
	query.HealthyOnly, query.UncappedOnly = true, true
	query.Exclude = append([]string(nil), x.attempted...)
	for _, past := range pastHedges {
		query.Exclude = append(query.Exclude, past.chosen.hold.Server().Incarnation)
	}
	hold := g.cfg.Fleet.Choose(query)
	if hold == nil {
		return placement{}, false
	}
	return g.recordPlacement(x, hold, plans), true
}
