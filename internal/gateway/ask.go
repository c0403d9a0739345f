// Handing a call with an unresponsive server to another one: a hedged request whose first try is
// cancelled only after another server has accepted the call. Cancelling first would lose responses when
// the route or the retry budget allows no other server, when none has room, or when the one that is
// asked refuses or is unresponsive too. The first try goes on meanwhile, and its response counts if it
// comes. Two servers run a call side by side for askLimit at most.

package gateway

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
)

// askLimit is how long the server that is asked may take to refuse a call: a full one does so at
// once, and a connection takes half of it at most. After that the call is taken to be running
// there. It must stay well below 400 ms, for which a call that goes on elsewhere may still be
// running at its earlier server.
const askLimit = 200 * time.Millisecond

// answerLimit is how long a runner may take to answer at all before it is handed a call of a silent
// one. A sound one answers in a few milliseconds.
const answerLimit = 150 * time.Millisecond

// stayReason says why a call stays with its unresponsive server.
type stayReason string

// Reasons to stay.
const (
	stayRouteLimit       stayReason = "no_other_server_allowed"
	stayNoTimeLeft       stayReason = "no_time_left"
	stayNoRetrySaved     stayReason = "no_retry_saved"
	stayNoServerWithRoom stayReason = "no_sound_server_with_room"
	stayPeerUnresponsive stayReason = "the_other_server_is_silent_too"
	stayQuarantined      stayReason = reasonEndsServers
)

// check is what the timer does: it finds another server, sees whether that one answers at all, hands
// the call over there, and sees whether it is refused.
func (w *watch) check() {
	next, reason := w.startAsking()
	if reason != "" {
		w.t.log("try_kept", string(reason))
	}
	if next == nil {
		return
	}
	if !next.answers() {
		w.drop(next)
		return
	}
	if !w.handOver(next) {
		return
	}
	next.offer.await(askLimit)
	if w.inVain(next) {
		next.offer.end()
	}
}

// answers reports whether the server of a try says anything, though not to the call. Those that
// cannot be asked are believed to.
func (t *try) answers() bool {
	if t.chosen.namespace == "" || t.gateway.cfg.IsResponsive == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(t.ctx, answerLimit)
	defer cancel()
	return t.gateway.cfg.IsResponsive(ctx, t.chosen.hold.Server())
}

// drop leaves a server that does not answer. Nobody else is to be handed to it for a while either.
func (w *watch) drop(next *try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != next || w.state != asking {
		return // taken back, or taken over without an answer
	}
	w.next, w.state = nil, watching
	w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
	w.t.gateway.cfg.Budget.Return()
	next.cancel()
	next.finish(fleet.EndUnreachable)
	next.log("try_kept", string(stayPeerUnresponsive))
}

// handOver hands the call over, unless it was taken back meanwhile.
func (w *watch) handOver(next *try) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != next || w.state != asking {
		return false
	}
	next.offer.begin()
	return true
}

// startAsking chooses a server to ask, if the silence has lasted and all that it takes is there. Otherwise it
// says why the call stays, when that is news.
func (w *watch) startAsking() (next *try, reason stayReason) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != watching {
		return nil, ""
	}
	observed := w.observe(boottime.Now())
	if w.passing {
		w.scheduleCheck(observed.IdleLimit())
		return nil, ""
	}
	if another, next := observed.ShouldTryAnother(); !another {
		w.scheduleCheck(next)
		return nil, ""
	}
	w.probeOnce()
	if !w.begun {
		w.t.noteFetch()
	}
	if next, reason = w.find(); next != nil {
		w.state, w.next = asking, next
		return next, ""
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

// find takes a retry and a place for the call, or neither. The caller holds mu.
func (w *watch) find() (*try, stayReason) {
	x, g := w.t.x, w.t.gateway
	more := 1
	for _, other := range w.before {
		if other.offer.reached {
			more++
		}
	}
	switch _, held := g.cfg.Quarantine.HeldFor(x.fingerprint); {
	case held:
		return nil, stayQuarantined
	case w.t.handed+more > x.maxServers():
		return nil, stayRouteLimit
	case !boottime.Now().Before(x.deadline):
		return nil, stayNoTimeLeft
	case !g.cfg.Budget.Take():
		return nil, stayNoRetrySaved
	}
	chosen, ok := g.placeBeside(x, w.before)
	if !ok {
		g.cfg.Budget.Return()
		return nil, stayNoServerWithRoom
	}
	next := g.makeTry(x, chosen, w.t.number+len(w.before)+1, w.t.handed+more)
	next.offer = newOffer(next)
	return next, ""
}

// inVain looks at what became of the server that was asked, and reports whether it has refused the
// call. Otherwise it has the call, and the silent server loses it.
func (w *watch) inVain(next *try) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != next || w.state != asking {
		return false // the call was taken back, or has gone on there already
	}
	if next.offer.inVain(w.begun) {
		w.before, w.next, w.state = append(w.before, next), nil, watching
		w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
		return true
	}
	if next.chosen.namespace == "" && !next.offer.isDone() {
		// Nothing shows that it is at work, and a sound plain service would have answered.
		w.withdraw()
		w.scheduleCheck(w.observe(boottime.Now()).RecheckInterval())
		return false
	}
	w.state = taken
	w.t.cancel()
	return false
}

// placeBeside chooses a sound server for a call that has one, which is silent. It does not wait,
// and asks no owner: the server that is chosen says itself whether it has room.
func (g *Gateway) placeBeside(x *exchange, before []*try) (choice, bool) {
	query, plans := g.ask(x)
	query.SoundOnly, query.UncappedOnly = true, true
	query.Exclude = append([]string(nil), x.tried...)
	for _, other := range before {
		query.Exclude = append(query.Exclude, other.chosen.hold.Server().Incarnation)
	}
	hold := g.cfg.Fleet.Choose(query)
	if hold == nil {
		return choice{}, false
	}
	return g.placed(x, hold, plans), true
}
