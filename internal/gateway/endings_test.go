package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// endings is a gateway before runners that play a part, and what it knows of ends.
type endings struct {
	*Gateway
	fleet *fleet.Fleet
	known *quarantine.Set
}

// newEndings makes one for which each server that breaks off a call has ended, if crashes.
func newEndings(g *WithT, crashes bool) *endings {
	f := fleet.New(fleet.Config{})
	c := promptCatalog(g)
	e := &endings{Gateway: promptGateway(newPlanProtocol(), f, emptyStore(c), c), fleet: f}
	e.known = quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) {
		if change.Held {
			e.StopRequest(change.Request)
		}
	}})
	e.cfg.Quarantine = e.known
	e.cfg.Crashed = func(_ context.Context, loss crash.BrokenCall) bool {
		if crashes {
			e.end(loss.Server.Incarnation)
		}
		return crashes
	}
	return e
}

// asked is the request that all calls of these tests are.
func asked() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "example.com", Target: "/"})
}

// end notes that servers ended under the request.
func (e *endings) end(servers ...string) {
	for _, server := range servers {
		life := uint64(0)
		for _, letter := range server {
			life = 256*life + uint64(letter)
		}
		e.known.NoteCrash(quarantine.Crash{Request: asked(), Incarnation: life})
	}
}

// call makes a call, and gives its answer.
func (e *endings) call() *httptest.ResponseRecorder {
	answer := httptest.NewRecorder()
	e.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	return answer
}

func TestTheTestsAskTheRequestThatTheyName(t *testing.T) {
	g := NewWithT(t)
	e := newEndings(g, false)
	e.end("x", "y")
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	g.Expect(e.call().Code).To(Equal(http.StatusOK))
	g.Expect(e.known.Crashes(asked())).To(BeZero(), "it was served")
}

// A request that ended three servers is refused at once, as not run, whoever saw them end.
func TestARequestThatIsHeldReachesNoServer(t *testing.T) {
	g := NewWithT(t)
	e := newEndings(g, false)
	var runs atomic.Int64
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	e.end("x", "y", "z")
	answer := e.call()
	g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Body.String()).To(ContainSubstring(reasonEndsServers))
	g.Expect(runs.Load()).To(BeZero())
}

// A call that a server runs when its request comes to be held is taken back: its server may
// live. One that waits in a line is refused.
func TestCallsUnderWayEndWhenTheirRequestIsHeld(t *testing.T) {
	g := NewWithT(t)
	e := newEndings(g, false)
	begun, takenBack := make(chan struct{}, 1), make(chan struct{})
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		close(takenBack)
	}))
	answers := make(chan *httptest.ResponseRecorder, 1)
	go func() { answers <- e.call() }()
	<-begun
	e.end("x", "y", "z")
	g.Eventually(takenBack).Should(BeClosed())
	answer := <-answers
	g.Expect(answer.Code).To(Equal(http.StatusBadGateway), "it may have run")
	g.Expect(answer.Body.String()).To(ContainSubstring(reasonEndsServers))
	g.Eventually(e.InFlight).Should(BeZero())
}

func TestACallThatWaitsInALineIsRefusedWhenItsRequestIsHeld(t *testing.T) {
	g := NewWithT(t)
	e := newEndings(g, false)
	protocol := newPlanProtocol()
	protocol.facts.Prompt = longAnswers()
	e.cfg.Protocol = protocol
	release := make(chan struct{})
	defer close(release)
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	for range 2 { // as many as its memory takes
		hold := e.fleet.Choose(fleet.Query{Service: "r", Model: "m", Work: func(int) int { return 0 }, Outdated: func(int) (float64, bool) { return 0, true }, Load: placingOf(40_000)})
		g.Expect(hold).NotTo(BeNil())
		defer hold.Done(fleet.EndAbandoned)
	}
	answers := make(chan *httptest.ResponseRecorder, 1)
	began := time.Now()
	go func() { answers <- e.call() }()
	g.Eventually(e.Waiting).Should(BeEquivalentTo(1))
	e.end("x", "y", "z")
	answer := <-answers
	g.Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(answer.Body.String()).To(ContainSubstring(reasonEndsServers))
	g.Expect(time.Since(began)).To(BeNumerically("<", 150*time.Millisecond), "before its wait was over")
}

// The calls that a server takes along when it ends are mostly not to blame, and go on at another
// server. One under which a second server ends does not.
func TestThereIsNoSecondTryAfterTheSecondEnd(t *testing.T) {
	tests := []struct {
		name    string
		crashes bool
		before  []string
		runs    int64
	}{
		{"the first server that ended under it", true, nil, 2},
		{"the second", true, []string{"x"}, 1},
		{"a server that did not end", false, []string{"x"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			e := newEndings(g, test.crashes)
			e.end(test.before...)
			var runs atomic.Int64
			for _, name := range []string{"r1", "r2", "r3"} {
				startRunner(t, e.fleet, name, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					runs.Add(1)
					panic(http.ErrAbortHandler)
				}))
			}
			g.Expect(e.call().Code).To(Equal(http.StatusBadGateway))
			g.Expect(runs.Load()).To(Equal(test.runs))
		})
	}
}

// A server that answers with a failure may not have run the request at all.
func TestAFailureDoesNotExcuseARequest(t *testing.T) {
	g := NewWithT(t)
	e := newEndings(g, false)
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	e.end("x", "y")
	g.Expect(e.call().Code).To(Equal(http.StatusInternalServerError))
	g.Expect(e.known.Crashes(asked())).To(Equal(2))
}

// placingOf is a call that takes memory of a runner.
func placingOf(tokens int) placing.Query { return placing.Query{Tokens: tokens} }
