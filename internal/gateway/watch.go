// What happens while a server says nothing. A call that may run again and whose server has been
// silent for too long asks another one, and leaves the first only when that one has taken it.
//
// Whoever left first and then asked lost answers that would have come: the route may allow no
// other server, the retry budget may be spent, no server may have room, the one that looked as if
// it had may refuse, or be as silent as the first. So all of that is found out beside the silent
// try, which goes on as long as any of it says no, and whose answer counts if it comes meanwhile.
// Two servers run a call side by side for askLimit at most.

package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/silence"
)

// askLimit is how long the server that is asked may take to refuse a call: a full one does so at
// once, and a connection takes half of it at most. After that the call is taken to be running
// there. It must stay well below 400 ms, for which a call that goes on elsewhere may still be
// running at its earlier server.
const askLimit = 200 * time.Millisecond

// answerLimit is how long a runner may take to answer at all before it is handed a call of a silent
// one. A sound one answers in a few milliseconds.
const answerLimit = 150 * time.Millisecond

// watchState says what a watch does.
type watchState uint8

const (
	// watching: the server may speak, or be silent.
	watching watchState = iota
	// asking: another server is being asked.
	asking
	// taken: the call goes on at the server that was asked.
	taken
	// closed: the try is over.
	closed
)

// kept says why a call stays with its silent server.
type kept string

// Reasons to stay.
const (
	keptByRoute  kept = "no_other_server_allowed"
	keptByTime   kept = "no_time_left"
	keptByBudget kept = "no_retry_saved"
	keptByRoom   kept = "no_sound_server_with_room"
	keptBySilent kept = "the_other_server_is_silent_too"
	keptByHold   kept = reasonEndsServers
)

// watch looks after one try. The goroutine of the call tells it what is heard; its timer looks
// for another server.
type watch struct {
	t *try

	mu    sync.Mutex
	state watchState
	timer *time.Timer
	// due is when the timer should fire.
	due time.Time
	// heardAt is when the server was last heard, or the try began; begun says that a part of the
	// answer has come.
	heardAt time.Time
	begun   bool
	// next is the try that is asked, or that has taken the call; before are those asked earlier
	// in vain.
	next   *try
	before []*try
	// probe has the system probe the connection; nil before there is one, and once it does.
	probe func() error
	// told is the last reason to stay that was logged.
	told kept
}

func newWatch(t *try) *watch { return &watch{t: t} }

// begin starts to look after the try, if its call may run again: by another server, or by its
// caller where no other may.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = boottime.Now()
	if w.t.x.route.MayRepeat() {
		w.lookIn(w.seen(w.heardAt).Limit())
	}
}

// connected notes what has the system probe the try's connection.
func (w *watch) connected(probe func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probe = probe
}

// probeOnce has the connection of a silent server probed. The caller holds mu.
func (w *watch) probeOnce() {
	if w.probe == nil {
		return
	}
	if err := w.probe(); err != nil {
		w.t.gateway.cfg.Logger.Debug().Str("error", err.Error()).Msg("connection_not_probed") // it has just ended
	}
	w.probe = nil
}

// lookIn has the watch look after a while. The caller holds mu.
func (w *watch) lookIn(after time.Duration) {
	w.due = boottime.Now().Add(after)
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.look)
		return
	}
	w.timer.Reset(after)
}

// seen gives what is known of the silence. The caller holds mu.
func (w *watch) seen(now time.Time) silence.Seen {
	return silence.Seen{
		Objective: w.t.x.route.Objective, Begun: w.begun, Prompt: w.t.chosen.namespace != "",
		Silent: now.Sub(w.heardAt), Late: now.Sub(w.due), Speaks: w.t.chosen.hold != nil && w.t.chosen.hold.Speaks(),
	}
}

// hear notes a sign of the server, which makes another one needless. It reports false when the
// call goes on elsewhere already, so that the sign comes too late.
func (w *watch) hear() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard()
}

// heard is hear; the caller holds mu.
func (w *watch) heard() bool {
	if w.state == taken {
		return false
	}
	w.heardAt = boottime.Now()
	if w.state == asking {
		w.withdraw()
	}
	return true
}

// hearEvent is hear for an event of a stream, whose id is noted as the last one that the caller
// has. Fresh says that the caller has not had it.
func (w *watch) hearEvent(id string) (fresh, ours bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.heard() {
		return false, false
	}
	w.begun = true
	if id == "" {
		return true, true
	}
	if !rises(w.t.x.resumeAfter, id) {
		return false, true
	}
	w.t.x.resumeAfter = id
	return true, true
}

// withdraw takes the call back from the server that is asked. The caller holds mu.
func (w *watch) withdraw() {
	w.next.offer.leave()
	w.before = append(w.before, w.next)
	w.next, w.state = nil, watching
}

// takeOver reports whether the call goes on at a server that was asked, now that the one that was
// silent has ended the try.
func (w *watch) takeOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == asking {
		w.state = taken
		w.next.offer.begin()
	}
	return w.state == taken
}

// isTaken reports whether the call goes on elsewhere.
func (w *watch) isTaken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == taken
}

// close ends the watch with its try, and tells the call of the servers that were asked. Where the
// call goes on at one, it gives that try; otherwise a server that is being asked is left.
func (w *watch) close(goesOn bool) *try {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	next := w.next
	if next != nil && !goesOn {
		w.withdraw()
		next = nil
	}
	w.state = closed
	for _, other := range w.before {
		other.offer.settle()
	}
	if next != nil {
		w.t.x.handTo(next.chosen)
		w.t.x.paid = true
		w.t.x.placedBy, w.t.x.unplaced = placedHere, ""
	}
	return next
}

// look is what the timer does: it finds another server, sees whether that one answers at all, hands
// the call over there, and sees whether it is refused.
func (w *watch) look() {
	next, reason := w.ask()
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
	if t.chosen.namespace == "" || t.gateway.cfg.Answers == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(t.ctx, answerLimit)
	defer cancel()
	return t.gateway.cfg.Answers(ctx, t.chosen.hold.Server())
}

// drop leaves a server that does not answer. Nobody else is to be handed to it for a while either.
func (w *watch) drop(next *try) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != next || w.state != asking {
		return // taken back, or taken over without an answer
	}
	w.next, w.state = nil, watching
	w.lookIn(w.seen(boottime.Now()).Again())
	w.t.gateway.cfg.Budget.Return()
	next.cancel()
	next.finish(fleet.EndUnreachable)
	next.log("try_kept", string(keptBySilent))
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

// ask asks another server, if the silence has lasted and all that it takes is there. Otherwise it
// says why the call stays, when that is news.
func (w *watch) ask() (next *try, reason kept) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != watching {
		return nil, ""
	}
	seen := w.seen(boottime.Now())
	if elsewhere, again := seen.Judge(); !elsewhere {
		w.lookIn(again)
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
	if reason != keptByRoute {
		w.lookIn(seen.Again())
	}
	if reason == w.told {
		return nil, ""
	}
	w.told = reason
	return nil, reason
}

// find takes a retry and a place for the call, or neither. The caller holds mu.
func (w *watch) find() (*try, kept) {
	x, g := w.t.x, w.t.gateway
	more := 1
	for _, other := range w.before {
		if other.offer.reached {
			more++
		}
	}
	switch _, held := g.cfg.Quarantine.HeldFor(x.fingerprint); {
	case held:
		return nil, keptByHold
	case w.t.handed+more > x.maxServers():
		return nil, keptByRoute
	case !boottime.Now().Before(x.deadline):
		return nil, keptByTime
	case !g.cfg.Budget.Take():
		return nil, keptByBudget
	}
	chosen, ok := g.placeBeside(x, w.before)
	if !ok {
		g.cfg.Budget.Return()
		return nil, keptByRoom
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
		w.lookIn(w.seen(boottime.Now()).Again())
		return true
	}
	if next.chosen.namespace == "" && !next.offer.isDone() {
		// Nothing shows that it is at work, and a sound plain service would have answered.
		w.withdraw()
		w.lookIn(w.seen(boottime.Now()).Again())
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
	query.SoundOnly = true
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
