// Watching the server of a call. A call that may run again and whose server is unresponsive asks another
// one (ask.go); the state here says which of the two has the call.

package gateway

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/silence"
)

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

// watch watches the server of one try. The goroutine of the call reports what is received; the timer
// looks for another server.
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
	// passing says that an event is being passed on, so that nothing is read from the server.
	passing bool
	// next is the try that is asked, or that has taken the call; before are those asked earlier
	// in vain.
	next   *try
	before []*try
	// probe has the system probe the connection; nil before there is one, and once it does.
	probe func() error
	// loggedReason is the last reason to stay that was logged.
	loggedReason stayReason
}

func newWatch(t *try) *watch { return &watch{t: t} }

// begin starts the watch, if the call may run again.
func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt = boottime.Now()
	if w.t.x.route.MayRepeat() {
		w.scheduleCheck(w.observe(w.heardAt).IdleLimit())
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

// scheduleCheck has the watch check its server after a while. The caller holds mu.
func (w *watch) scheduleCheck(after time.Duration) {
	w.due = boottime.Now().Add(after)
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.check)
		return
	}
	w.timer.Reset(after)
}

// observe describes the call and its server to package silence. The caller holds mu.
func (w *watch) observe(now time.Time) silence.Observation {
	return silence.Observation{
		Objective: w.t.x.route.Objective, Started: w.begun, HasPrompt: w.t.chosen.namespace != "",
		Idle: now.Sub(w.heardAt), Delay: now.Sub(w.due), Responsive: w.t.chosen.hold != nil && w.t.chosen.hold.Speaks(),
	}
}

// hearAll notes that the whole answer has come, which is delivered also if the call has just gone
// on elsewhere.
func (w *watch) hearAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		w.withdraw()
	}
}

// hearEvent notes an event of a stream, which makes another server needless, and its id as the last
// one that the caller has. Fresh says that the caller has not had it. It is not ours when the call
// goes on elsewhere already, so that it comes too late. After it passed is called.
func (w *watch) hearEvent(id string) (fresh, ours bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == taken {
		return false, false
	}
	if w.state == asking {
		w.withdraw()
	}
	w.begun, w.passing = true, true
	if id == "" {
		return true, true
	}
	if !rises(w.t.x.resumeAfter, id) {
		return false, true
	}
	w.t.x.resumeAfter = id
	return true, true
}

// passed notes that the caller has the event, and the server is read again. While a slow caller
// holds the box up, what its server says lies unread, and that is no silence.
func (w *watch) passed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heardAt, w.passing = boottime.Now(), false
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
