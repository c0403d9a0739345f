package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// crashGateway is a gateway in front of test runners, with its set of quarantined requests.
type crashGateway struct {
	*Gateway
	fleet       *fleet.Fleet
	quarantined *quarantine.Set
}

// newCrashGateway makes a gateway. If crashes is set, each server that breaks off a call counts as
// crashed.
func newCrashGateway(g *WithT, crashes bool) *crashGateway {
	f := fleet.New(fleet.Config{})
	configuration := promptCatalog(g)
	c := &crashGateway{Gateway: promptGateway(newPlanProtocol(), f, emptyIndex(configuration), configuration), fleet: f}
	c.quarantined = quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) {
		if change.Held {
			c.CancelRequest(change.Request)
		}
	}})
	c.cfg.Quarantine = c.quarantined
	c.cfg.ConfirmCrash = func(_ context.Context, loss crash.BrokenCall) bool {
		if crashes {
			c.recordCrashes(loss.Server.Incarnation)
		}
		return crashes
	}
	return c
}

// testRequest is the request of all calls in these tests.
func testRequest() fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Request{Method: http.MethodPost, Host: "example.com", Target: "/"})
}

// recordCrashes records that servers crashed while they ran the request.
func (c *crashGateway) recordCrashes(servers ...string) {
	for _, server := range servers {
		incarnation := uint64(0)
		for _, letter := range server {
			incarnation = 256*incarnation + uint64(letter)
		}
		c.quarantined.NoteCrash(quarantine.Crash{Request: testRequest(), Incarnation: incarnation})
	}
}

func (c *crashGateway) call() *httptest.ResponseRecorder {
	response := httptest.NewRecorder()
	c.ServeHTTP(response, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
	return response
}

func TestTestRequestIsTheRequestOfTheCalls(t *testing.T) {
	g := NewWithT(t)
	e := newCrashGateway(g, false)
	e.recordCrashes("x", "y")
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	g.Expect(e.call().Code).To(Equal(http.StatusOK))
	g.Expect(e.quarantined.Crashes(testRequest())).To(BeZero(), "it was served")
}

// A request that crashed three servers is refused at once, as not run, whichever box observed the
// crashes.
func TestAQuarantinedRequestReachesNoServer(t *testing.T) {
	g := NewWithT(t)
	e := newCrashGateway(g, false)
	var runs atomic.Int64
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	e.recordCrashes("x", "y", "z")
	response := e.call()
	g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Body.String()).To(ContainSubstring(reasonCrashesServers))
	g.Expect(runs.Load()).To(BeZero())
}

// A call that a server is running when its request is quarantined is cancelled, since the server
// may not have crashed yet.
func TestCallsInFlightAreCancelledWhenTheirRequestIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	e := newCrashGateway(g, false)
	begun, cancelled := make(chan struct{}, 1), make(chan struct{})
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		<-r.Context().Done()
		close(cancelled)
	}))
	responses := make(chan *httptest.ResponseRecorder, 1)
	go func() { responses <- e.call() }()
	<-begun
	e.recordCrashes("x", "y", "z")
	g.Eventually(cancelled).Should(BeClosed())
	response := <-responses
	g.Expect(response.Code).To(Equal(http.StatusBadGateway), "it may have run")
	g.Expect(response.Body.String()).To(ContainSubstring(reasonCrashesServers))
	g.Eventually(e.InFlight).Should(BeZero())
}

func TestAQueuedCallIsRefusedWhenItsRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		e := newCrashGateway(g, false)
		protocol := newPlanProtocol()
		protocol.info.Prompt = largeMemoryPrompt()
		e.cfg.Protocol = protocol
		e.fleet.Apply([]fleet.Update{{Key: "r", Offset: 1, Server: &fleet.Server{Incarnation: "r", Service: "r", Slots: 4, Weights: map[string]int{"m": 1}}}})
		fillMemory(g, e.fleet)
		responses := make(chan *httptest.ResponseRecorder, 1)
		began := time.Now()
		go func() { responses <- e.call() }()
		synctest.Wait()
		g.Expect(e.Waiting()).To(BeEquivalentTo(1))
		e.recordCrashes("x", "y", "z")
		response := <-responses
		g.Expect(response.Code).To(Equal(http.StatusServiceUnavailable))
		g.Expect(response.Body.String()).To(ContainSubstring(reasonCrashesServers))
		g.Expect(time.Since(began)).To(BeZero(), "before its wait deadline")
	})
}

// When a server crashes, most of the calls lost with it are not the cause, and are retried at
// another server. A call whose request has now crashed a second server is not.
func TestThereIsNoRetryAfterTheSecondCrash(t *testing.T) {
	tests := []struct {
		name    string
		crashes bool
		before  []string
		runs    int64
	}{
		{"the first server that crashed", true, nil, 2},
		{"the second server that crashed", true, []string{"x"}, 1},
		{"a server that did not crash", false, []string{"x"}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			e := newCrashGateway(g, test.crashes)
			e.recordCrashes(test.before...)
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

// A server that responds with an error may not have run the request at all, so the recorded crashes
// remain.
func TestAnErrorResponseDoesNotClearARequest(t *testing.T) {
	g := NewWithT(t)
	e := newCrashGateway(g, false)
	startRunner(t, e.fleet, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	e.recordCrashes("x", "y")
	g.Expect(e.call().Code).To(Equal(http.StatusInternalServerError))
	g.Expect(e.quarantined.Crashes(testRequest())).To(Equal(2))
}

// memoryQuery returns the load of a call that takes this many tokens of a runner's memory.
func memoryQuery(tokens int) placing.Query { return placing.Query{Tokens: tokens} }
