package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// lateAfter is longer than refusalTimeout, so that the first server has been left when the second one fails.
const lateAfter = refusalTimeout + 100*time.Millisecond

// late calls a handler after lateAfter.
func late(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(lateAfter)
		handler(w, r)
	}
}

// countedServer counts its calls. The first one gets the first of the handlers and so on; the last handler is
// repeated.
type countedServer struct {
	arrivals atomic.Int64
	handlers []http.HandlerFunc
}

func (s *countedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := int(s.arrivals.Add(1)) - 1
	s.handlers[min(at, len(s.handlers)-1)](w, r)
}

// resumeProtocol records after which events servers are asked to continue.
type resumeProtocol struct {
	*planProtocol
	mu          sync.Mutex
	resumeAfter []string
}

func (p *resumeProtocol) WriteForwardInfo(header http.Header, forward call.ForwardInfo) {
	p.planProtocol.WriteForwardInfo(header, forward)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resumeAfter = append(p.resumeAfter, forward.ResumeAfter)
}

func abortAfterHeaders(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func abortAfterEvents(w http.ResponseWriter, _ *http.Request) {
	sendEvent(w, "second", 1)
	sendEvent(w, "second", 2)
	panic(http.ErrAbortHandler)
}

// A call whose hedge is refused or lost late may return to its first server once, by the rules of a retry.
// Otherwise it ends as a call without another server does. The route allows two servers, unless the row
// says otherwise; a third one could always serve the call.
func TestACallReturnsToItsServerOnlyByTheRulesOfARetry(t *testing.T) {
	tests := []struct {
		name string
		// again handles the return at the first server, second the hedge.
		again, second http.HandlerFunc
		budget        float64
		// beforeReturn runs before the second server responds.
		beforeReturn func(f *fleet.Fleet, first *httptest.Server)
		served       bool
		// firstArrivals is the number of calls that the first server gets, saved the balance of the budget
		// afterwards.
		firstArrivals int
		saved         float64
	}{
		{"refused", serveEvents("first", 0), refuse, 5, nil, true, 2, 3},
		{"broken off without an event", serveEvents("first", 0), abortConnection, 5, nil, true, 2, 3},
		{"broken off after its headers", serveEvents("first", 0), abortAfterHeaders, 5, nil, true, 2, 3},
		{"broken off after an event", serveEvents("first", 0), abortAfterEvents, 5, nil, false, 1, 4},
		{"the budget is empty", serveEvents("first", 0), refuse, 1.5, nil, false, 1, 0.5},
		{"the first server refuses the return", refuse, refuse, 5, nil, false, 2, 3},
		{"the first server breaks off the return", abortConnection, refuse, 5, nil, false, 2, 3},
		{"the first server drains", serveEvents("first", 0), refuse, 5, func(f *fleet.Fleet, first *httptest.Server) {
			f.Apply([]fleet.Update{{Key: "first", Offset: 2, Server: &fleet.Server{
				Incarnation: "first", Service: "r", Address: first.Listener.Addr().String(), Slots: 4, Leaving: true, Weights: map[string]int{"m": 1},
			}}})
		}, false, 1, 4},
		{"the first server is delisted", serveEvents("first", 0), refuse, 5, func(f *fleet.Fleet, _ *httptest.Server) {
			f.Apply([]fleet.Update{{Key: "first", Offset: 2}})
		}, false, 1, 4},
		{"the first server refuses connections", serveEvents("first", 0), refuse, 5, func(_ *fleet.Fleet, first *httptest.Server) {
			_ = first.Listener.Close()
		}, false, 1, 4},
	}
	for _, test := range tests {
		for _, started := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, started %t", test.name, started), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := fleet.New(fleet.Config{})
				firstServer := &countedServer{handlers: []http.HandlerFunc{stallingStream(time.Minute, started, nil), test.again}}
				first := httptest.NewServer(firstServer)
				t.Cleanup(first.Close)
				f.Apply([]fleet.Update{{Key: "first", Offset: 1, Server: &fleet.Server{
					Incarnation: "first", Service: "r", Address: first.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
				}}})
				c := resumableCatalog(g, 2)
				protocol := &resumeProtocol{planProtocol: newPlanProtocol()}
				gateway := promptGateway(protocol.planProtocol, f, emptyIndex(c), c)
				gateway.cfg.Protocol = protocol
				gateway.cfg.Budget = oneBudget(retrybudget.New(retrybudget.Config{PerRequest: 1e-9, Burst: test.budget}))
				var logged syncBuffer
				gateway.cfg.Logger = zerolog.New(&logged)
				bodies := make(chan string, 1)
				go func() { bodies <- serveStream(gateway) }()
				g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
				third := &countedServer{handlers: []http.HandlerFunc{serveEvents("third", 0)}}
				second := &countedServer{handlers: []http.HandlerFunc{late(func(w http.ResponseWriter, r *http.Request) {
					startRunner(t, f, "third", third)
					if test.beforeReturn != nil {
						test.beforeReturn(f, first)
					}
					test.second(w, r)
				})}}
				startSecond(t, f, second.ServeHTTP)

				body := <-bodies
				if test.served {
					g.Expect(body).To(Equal(fullStream("first", started)), logged.String)
				} else {
					g.Expect(body).To(Or(HaveSuffix("cut"), ContainSubstring(reasonNoServerAnswered)), logged.String)
				}
				g.Expect(firstServer.arrivals.Load()).To(BeEquivalentTo(test.firstArrivals), logged.String)
				g.Expect(second.arrivals.Load()).To(BeEquivalentTo(1))
				g.Expect(third.arrivals.Load()).To(BeZero(), "the route allows two servers")
				g.Expect(gateway.cfg.Budget("r").State().Balance).To(BeNumerically("~", test.saved, 0.01), logged.String)
				if started && test.firstArrivals == 2 {
					g.Expect(protocol.resumeAfter).To(Equal([]string{"", "1", "1"}))
				}
				g.Eventually(func() int { return inFlight(f) }).Should(BeZero(), "all places are freed")
			})
		}
	}
}

// A route that allows a third server prefers that one to a return, since the first one may still be
// unresponsive. The call returns if there is no third server, and the return does not count as one.
func TestACallReturnsOnlyIfThereIsNoOtherServer(t *testing.T) {
	tests := []struct {
		name string
		// startThird is the number of the response before which the third server starts: the second
		// server's is the first, and that of the return the second; zero if it never does.
		startThird    int
		servedBy      string
		firstArrivals int
	}{
		{"no third server", 0, "first", 2},
		{"a third server", 1, "third", 1},
		{"a third server after the return", 2, "third", 2},
	}
	for _, test := range tests {
		for _, started := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, started %t", test.name, started), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				f := fleet.New(fleet.Config{})
				startThird := func() { startRunner(t, f, "third", serveEvents("third", 0)) }
				first := &countedServer{handlers: []http.HandlerFunc{stallingStream(time.Minute, started, nil), func(w http.ResponseWriter, r *http.Request) {
					if test.startThird == 2 {
						startThird()
						abortConnection(w, r)
					}
					serveEvents("first", 0)(w, r)
				}}}
				startRunner(t, f, "first", first)
				c := resumableCatalog(g, 3)
				gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
				bodies := make(chan string, 1)
				go func() { bodies <- serveStream(gateway) }()
				g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
				startSecond(t, f, late(func(w http.ResponseWriter, r *http.Request) {
					if test.startThird == 1 {
						startThird()
					}
					refuse(w, r)
				}))
				g.Expect(<-bodies).To(Equal(fullStream(test.servedBy, started)))
				g.Expect(first.arrivals.Load()).To(BeEquivalentTo(test.firstArrivals))
			})
		}
	}
}

// A call that returned to a server which stays unresponsive waits there, and ends at its deadline.
func TestACallThatReturnedEndsAtItsDeadline(t *testing.T) {
	const timeout = 2500 * time.Millisecond
	for _, started := range []bool{false, true} {
		t.Run(fmt.Sprintf("started %t", started), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			first := &countedServer{handlers: []http.HandlerFunc{stallingStream(time.Minute, started, nil)}}
			startRunner(t, f, "first", first)
			c := changedCatalog(g, func(route *catalog.Route) { route.Timeout = timeout })
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			began := time.Now()
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			startSecond(t, f, late(refuse))
			g.Expect(<-bodies).To(Or(Equal("id: 1\ndata: first\n\ncut"), ContainSubstring(reasonOutOfTime)))
			g.Expect(time.Since(began)).To(And(BeNumerically(">=", timeout), BeNumerically("<", timeout+400*time.Millisecond)))
			g.Expect(first.arrivals.Load()).To(BeEquivalentTo(2))
		})
	}
}

// A call that must run once is sent to its server once, whether that one is unresponsive or has refused it
// before another one refuses it late.
func TestACallThatMustRunOnceNeverReturns(t *testing.T) {
	tests := []struct {
		name           string
		first          http.HandlerFunc
		secondArrivals int
		want           string
	}{
		{"the first server is unresponsive", stallingStream(stallDuration, false, nil), 0, fullStream("first", false)},
		{"the first server refuses", late(refuse), 1, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			first := &countedServer{handlers: []http.HandlerFunc{test.first, serveEvents("first", 0)}}
			startRunner(t, f, "first", first)
			c := changedCatalog(g, func(route *catalog.Route) { route.Kind, route.Resumable = catalog.AtMostOnce, false })
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			second := &countedServer{handlers: []http.HandlerFunc{late(refuse)}}
			startSecond(t, f, second.ServeHTTP)
			if body := <-bodies; test.want == "" {
				g.Expect(body).To(ContainSubstring(reasonNoServerAnswered))
			} else {
				g.Expect(body).To(Equal(test.want))
			}
			g.Expect(first.arrivals.Load()).To(BeEquivalentTo(1))
			g.Expect(second.arrivals.Load()).To(BeEquivalentTo(test.secondArrivals))
		})
	}
}

// A fallback server that a call has from any cause must not get a call again which must run once.
func TestOnlyRepeatableCallsMayReturn(t *testing.T) {
	g := NewWithT(t)
	for _, kind := range []catalog.Kind{catalog.Repeatable, catalog.AtMostOnce} {
		x := &exchange{fallback: "first", route: &catalog.Route{Kind: kind}}
		g.Expect(x.mayReturn()).To(Equal(kind == catalog.Repeatable))
		x.returned = true
		g.Expect(x.mayReturn()).To(BeFalse())
	}
}

// changedCatalog is resumableCatalog with a changed route.
func changedCatalog(g *WithT, change func(route *catalog.Route)) *catalog.Catalog {
	route := *resumableCatalog(g, 2).Route("example.com", "/")
	change(&route)
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes:   []catalog.Route{route},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}
