// A server that is asked to take a call while the one before it is silent (watch.go).

package gateway

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
)

// offer is the handing over of a call to another server while its try at one goes on.
type offer struct {
	t *try
	// reached says that a server has seen the call, mayHaveRun that it may run it. The lock of the
	// watch that asks guards both.
	reached    bool
	mayHaveRun bool

	// done is closed when the head of the answer has come, or none will; answer and err are
	// written before.
	done   chan struct{}
	answer *handover.Response
	err    error

	mu sync.Mutex
	// left says that nobody wants the answer.
	left bool
}

func newOffer(t *try) *offer { return &offer{t: t, done: make(chan struct{})} }

// begin hands the call over, once. What the server is told is written down before this returns.
func (o *offer) begin() {
	if o.reached {
		return
	}
	o.reached = true
	message := o.t.message()
	go o.run(message)
}

func (o *offer) run(message handover.Request) {
	answer, err := o.t.handOver(message)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answer, o.err = answer, err
	close(o.done)
	if o.left && answer != nil {
		answer.Close()
	}
}

// await waits until the server has answered, the time is over, or the call is taken back.
func (o *offer) await(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-o.done:
	case <-timer.C:
	case <-o.t.ctx.Done():
	}
}

// wait gives the head of the answer.
func (o *offer) wait() (*handover.Response, error) {
	<-o.done
	return o.answer, o.err
}

// leave takes the call back from the server, which may have begun to run it if it has seen it.
func (o *offer) leave() {
	o.mayHaveRun = o.reached
	if !o.reached {
		o.t.gateway.cfg.Budget.Return()
	}
	o.t.cancel()
	o.t.finish(fleet.EndAbandoned)
	o.t.log("try_withdrawn", "not_needed")
	o.mu.Lock()
	defer o.mu.Unlock()
	o.left = true
	if o.answer != nil {
		o.answer.Close()
	}
}

// isDone reports whether the server has answered, or will not.
func (o *offer) isDone() bool {
	select {
	case <-o.done:
		return true
	default:
		return false
	}
}

// inVain reports whether the server has said that it does not take the call, or cannot go on with
// what the caller has of an answer. It waits for nothing.
func (o *offer) inVain(begun bool) bool {
	if !o.isDone() {
		return false // it is at work
	}
	switch {
	case errors.Is(o.err, handover.ErrNotSent), errors.Is(o.err, errPlaceExpired):
		o.reached = false
		return true
	case o.err != nil:
		o.mayHaveRun = true
		return true
	case o.marks().NotRun:
		return true
	}
	goesOn := o.marks().Genuine && o.answer.Status < http.StatusInternalServerError && (!begun || isEventStream(o.answer))
	o.mayHaveRun = o.mayHaveRun || !goesOn
	return !goesOn
}

func (o *offer) marks() call.Marks {
	return o.t.gateway.cfg.Protocol.ReadMarks(o.answer.Status, o.answer.Header)
}

// end ends the try of an offer that was in vain, and notes what that shows of the server.
func (o *offer) end() {
	defer o.t.cancel()
	t := o.t
	if errors.Is(o.err, errPlaceExpired) {
		t.gateway.cfg.Budget.Return()
		t.finish(fleet.EndAbandoned)
		t.log("not_handed_over", errPlaceExpired.Error())
		return
	}
	if errors.Is(o.err, handover.ErrNotSent) {
		t.gateway.cfg.Budget.Return()
		t.noteUnreached(o.err)
		return
	}
	if o.err != nil {
		t.finish(fleet.EndUnreachable)
		t.log("try_lost", "no_answer")
		return
	}
	defer o.answer.Close()
	if marks := o.marks(); marks.NotRun {
		t.noteRefusal(o.answer, marks)
		return
	}
	t.finish(fleet.EndFailed)
	t.log("try_lost", "no_answer_to_go_on_with")
}

// settle tells the call of a server that was asked in vain.
func (o *offer) settle() {
	x := o.t.x
	x.tried = append(x.tried, o.t.chosen.hold.Server().Incarnation)
	x.mayHaveRun = x.mayHaveRun || o.mayHaveRun
	if o.reached {
		x.handed++
	}
}
