// Sending a hedge in the background, while the first attempt continues (watch.go).

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

// asyncSend forwards a call to the server of a hedge, while the first attempt continues.
type asyncSend struct {
	hedge *attempt
	// started is set once the call is sent. servers is the number of servers that may have received the call, several for one that is
	// forwarded; mayHaveRun is set if one may have run it. refusal is that of another box. The lock of
	// the first attempt's watch guards them.
	started    bool
	servers    int
	mayHaveRun bool
	refusal    *forwardResult

	// done is closed when the response headers have arrived, or the send has failed; response and
	// err are set before that.
	done     chan struct{}
	response *handover.Response
	err      error

	mu sync.Mutex
	// cancelled is set once the response is no longer needed.
	cancelled bool
}

func newAsyncSend(hedge *attempt) *asyncSend {
	return &asyncSend{hedge: hedge, done: make(chan struct{})}
}

// start forwards the call, unless it has started already. The request is built before start
// returns.
func (s *asyncSend) start() {
	if s.started {
		return
	}
	s.started, s.servers = true, s.hedge.serversAllowed()
	request := s.hedge.buildRequest()
	go s.run(request)
}

func (s *asyncSend) run(request handover.Request) {
	response, err := s.hedge.forward(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response, s.err = response, err
	close(s.done)
	if s.cancelled && response != nil {
		response.Close()
	}
}

// await waits until the server has responded, the limit has passed or the attempt was cancelled.
func (s *asyncSend) await(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	case <-s.hedge.ctx.Done():
	}
}

// wait waits for the response headers.
func (s *asyncSend) wait() (*handover.Response, error) {
	<-s.done
	return s.response, s.err
}

// cancelSend cancels the call at the server, which may have begun to run it if the call has reached it.
func (s *asyncSend) cancelSend() {
	s.mayHaveRun = s.started
	if !s.started {
		s.hedge.retryBudget().Refund()
	}
	s.hedge.cancel()
	s.hedge.release(fleet.OutcomeAbandoned)
	s.hedge.log("try_withdrawn", "not_needed")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	if s.response != nil {
		s.response.Close()
	}
}

// isDone reports whether the server has responded or the send has failed.
func (s *asyncSend) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// failed reports whether the server has refused or failed the call, or cannot continue the part of
// a response that the caller has. It does not block.
func (s *asyncSend) failed(started bool) bool {
	if !s.isDone() {
		return false // the server is working
	}
	switch {
	case errors.Is(s.err, handover.ErrNotSent), errors.Is(s.err, errPlacementExpired):
		s.servers = 0
		return true
	case s.err != nil:
		s.mayHaveRun = true
		return true
	case s.responseInfo().NotRun:
		s.noteRefusal()
		return true
	}
	accepted := s.responseInfo().Genuine && s.response.Status < http.StatusInternalServerError && (!started || isEventStream(s.response))
	s.mayHaveRun = s.mayHaveRun || !accepted
	return !accepted
}

// noteRefusal records a refusal by another box, which may have sent the call to no server.
func (s *asyncSend) noteRefusal() {
	if s.hedge.peer() == nil {
		return
	}
	result := readForwardResult(s.response.Header)
	s.refusal, s.servers = &result, s.hedge.statedServers(s.response)
	if s.servers == 0 {
		s.hedge.retryBudget().Refund()
	}
}

func (s *asyncSend) responseInfo() call.ResponseInfo {
	return s.hedge.responseInfo(s.response)
}

// finishFailed releases the attempt of a failed send and records what the failure shows about the
// server.
func (s *asyncSend) finishFailed() {
	defer s.hedge.cancel()
	a := s.hedge
	if errors.Is(s.err, errPlacementExpired) {
		a.retryBudget().Refund()
		a.release(fleet.OutcomeAbandoned)
		a.log("not_handed_over", errPlacementExpired.Error())
		return
	}
	if errors.Is(s.err, handover.ErrNotSent) {
		a.retryBudget().Refund()
		a.recordUnreachable(s.err)
		return
	}
	if s.err != nil {
		a.watch.noteConnError(s.err)
		a.release(fleet.OutcomeUnreachable)
		a.log("try_lost", "no_answer")
		return
	}
	defer s.response.Close()
	if info := s.responseInfo(); info.NotRun {
		a.recordRefusal(s.response, info)
		return
	}
	a.release(fleet.OutcomeFailed)
	a.log("try_lost", "no_answer_to_go_on_with")
}

// recordOnCall adds a failed or cancelled hedge to the state of the call.
func (s *asyncSend) recordOnCall() {
	x := s.hedge.x
	x.attempted = append(x.attempted, s.hedge.chosen.hold.Server().Incarnation)
	x.mayHaveRun = x.mayHaveRun || s.mayHaveRun
	x.serversReached += s.servers
	if s.refusal != nil {
		x.applyForwardResult(*s.refusal)
	}
}
