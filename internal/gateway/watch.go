// Watching the server of a call. If the server is unresponsive, a call that may run again is hedged
// to another one (switchover.go); the state here decides which of the two has the call.

package gateway

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/silence"
)

type watchState uint8

const (
	// watching: waiting for the server.
	watching watchState = iota
	// hedging: another server is being tried.
	hedging
	// switched: the call continues at the hedge's server.
	switched
	// closed: the attempt is over.
	closed
)

// keepAliveAfter is the idle time after which keep-alive is turned on, even if the call looks for another
// server much later, so that the time until a failed machine is detected does not depend on the objective.
const keepAliveAfter = time.Second

// watch watches the server of one attempt. The call's goroutine reports what is received; the timer
// looks for another server.
type watch struct {
	current *attempt

	mu    sync.Mutex
	state watchState
	timer *time.Timer
	// checkDue is when the timer should fire.
	checkDue time.Time
	// lastReceivedAt is when something was last received from the server, or when the attempt
	// began. started is set once a part of the response has been received.
	lastReceivedAt time.Time
	started        bool
	// relayingEvent is set while an event is sent to the caller and so nothing is read from the
	// server.
	relayingEvent bool
	// running is how long the server has been sending events. Only the time counts in which the box waited for
	// an event, up to maxEventGap each: events that the box reads late were sent before.
	running time.Duration
	// hedge is the attempt that is being tried, or that the call has switched to; pastHedges are
	// the failed and cancelled ones.
	hedge      *attempt
	pastHedges []*attempt
	// enableKeepAlive turns on TCP keep-alive for the connection; nil before there is a connection,
	// and once it has been called.
	enableKeepAlive func() error
	// loggedReason is the last reason for staying that was logged.
	loggedReason stayReason
}

// maxEventGap is how much of the time between two events counts as time in which a server was sending.
const maxEventGap = 500 * time.Millisecond

func newWatch(current *attempt) *watch { return &watch{current: current} }

// start starts the watch, if the call may run again.
func (w *watch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceivedAt = boottime.Now()
	if w.current.x.route.IsRepeatable() {
		w.scheduleCheck(min(w.observe(w.lastReceivedAt).IdleLimit(), keepAliveAfter))
	}
}

// noteConnError stores the error of the attempt's connection.
func (w *watch) noteConnError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current.connErr = err
}

// connError returns the error of the attempt's connection.
func (w *watch) connError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.connErr
}

// onConnect stores the function that turns on keep-alive for the attempt's connection.
func (w *watch) onConnect(enableKeepAlive func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enableKeepAlive = enableKeepAlive
}

// enableKeepAliveOnce turns on keep-alive for the connection to an unresponsive server. The caller
// holds mu.
func (w *watch) enableKeepAliveOnce() {
	if w.enableKeepAlive == nil {
		return
	}
	if err := w.enableKeepAlive(); err != nil {
		w.current.gateway.cfg.Logger.Debug().Str("error", err.Error()).Msg("connection_not_probed") // the connection has just been closed
	}
	w.enableKeepAlive = nil
}

// scheduleNextCheck schedules a check after the given time, or earlier if keep-alive is to be turned on
// before. The caller holds mu.
func (w *watch) scheduleNextCheck(after, idle time.Duration) {
	if w.enableKeepAlive != nil && idle < keepAliveAfter {
		after = min(after, keepAliveAfter-idle)
	}
	w.scheduleCheck(after)
}

// scheduleCheck sets the timer for the next check. The caller holds mu.
func (w *watch) scheduleCheck(after time.Duration) {
	w.checkDue = boottime.Now().Add(after)
	if w.timer == nil {
		w.timer = time.AfterFunc(after, w.check)
		return
	}
	w.timer.Reset(after)
}

// observe describes the call and its server to package silence. The caller holds mu.
func (w *watch) observe(now time.Time) silence.Observation {
	return silence.Observation{
		Objective: w.current.x.route.Objective, Started: w.started, HasPrompt: w.current.chosen.namespace != "",
		Idle: now.Sub(w.lastReceivedAt), Delay: now.Sub(w.checkDue), Responsive: w.current.chosen.hold != nil && w.current.chosen.hold.IsResponsive(),
	}
}

// responseReceived cancels the hedge once the response is complete. The response is delivered even
// if the call has just switched to the hedge.
func (w *watch) responseReceived() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hedge != nil {
		w.cancelHedge()
	}
}

// eventReceived records an event of a stream, which makes a hedge needless, and its id as the last
// one that the caller has. It returns fresh if the caller does not have the event yet, and
// accepted=false if the call has already switched to another server, so that the event is too late.
// Call eventRelayed afterwards.
func (w *watch) eventReceived(id string) (fresh, accepted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == switched {
		return false, false
	}
	if w.state == hedging {
		w.cancelHedge()
	}
	if w.started {
		w.running += min(boottime.Since(w.lastReceivedAt), maxEventGap)
	}
	w.started, w.relayingEvent = true, true
	if w.current.x.software == nil {
		w.current.x.software = w.current.software()
	}
	if id == "" {
		return true, true
	}
	if !isNewer(w.current.x.resumeAfter, id) {
		return false, true
	}
	w.current.x.resumeAfter = id
	return true, true
}

// withdrawEvent records that the first event of a stream is not sent to the caller, so that any server may begin it.
func (w *watch) withdrawEvent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relayingEvent = false
	w.current.x.software, w.current.x.resumeAfter = w.current.x.beginAt, w.current.x.info.ResumeAfter
}

// eventRelayed records that the caller has the event and the server is read again. Data from the
// server stays unread while the box waits for a slow caller, which must not count as idle time of
// the server.
func (w *watch) eventRelayed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastReceivedAt, w.relayingEvent = boottime.Now(), false
}

// runningFor returns how long the server has been sending events of a stream.
func (w *watch) runningFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// cancelHedge cancels the call at the hedge's server. The caller holds mu.
func (w *watch) cancelHedge() {
	w.hedge.asyncSend.cancelSend()
	w.pastHedges = append(w.pastHedges, w.hedge)
	w.hedge, w.state = nil, watching
}

// switchToHedge is called after the first attempt has failed. It reports whether the call continues
// at the server of a hedge, and sends the call there if that has not been done yet.
func (w *watch) switchToHedge() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == hedging {
		w.state = switched
		w.hedge.asyncSend.start()
	}
	return w.state == switched
}

// hasSwitched reports whether the call continues at another server.
func (w *watch) hasSwitched() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state == switched
}

// hasStarted reports whether a part of the response was received for the caller.
func (w *watch) hasStarted() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// close ends the watch with its attempt, and records the failed and cancelled hedges on the call.
// If the call switches to a hedge, close returns that one; otherwise it cancels any hedge.
func (w *watch) close(switching bool) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	successor := w.hedge
	if successor != nil && !switching {
		w.cancelHedge()
		successor = nil
	}
	w.state = closed
	for _, past := range w.pastHedges {
		past.asyncSend.recordOnCall()
	}
	if successor != nil {
		w.current.x.recordForward(successor.chosen)
		w.current.x.tookRetry = true
		w.current.x.placedBy, w.current.x.ownerError = placedByThisBox, ""
	}
	return successor
}
