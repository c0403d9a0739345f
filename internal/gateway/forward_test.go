package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// notRunStatus reports whether a status promises that the call has not run.
func notRunStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// breakAfter forwards the call properly, and breaks off without a response.
func breakAfter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// without forwards the call properly, and gives the response without the headers between boxes.
func without(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		for name, values := range withoutForwardHeaders(recorder.Header()) {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	})
}

// cutBody forwards the call properly, and breaks off in the body of the response.
func cutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()[:1])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// respondWith responds with a status and headers in place of the box.
func respondWith(status int, header ...string) func(http.Handler) http.Handler {
	return func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			for i := 0; i < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(status)
		})
	}
}

func breakBefore(http.Handler) http.Handler {
	return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
}

func breakAfterReading(http.Handler) http.Handler { return http.HandlerFunc(abortRead) }

// Whatever breaks between a partitioned box, another one and a server: a call must not run at more servers
// than its route allows, and a status that promises that it has not run must be true. The first box that
// is used breaks; another sound one is there.
func TestAForwardedCallRunsTooOften(t *testing.T) {
	tests := []struct {
		name string
		// wrap is what the breaking box does, server what its server does.
		wrap   func(http.Handler) http.Handler
		server http.HandlerFunc
	}{
		{"sound", nil, nil},
		{"the box breaks off at once", breakBefore, nil},
		{"the box breaks off after reading", breakAfterReading, nil},
		{"the box breaks off after the run", breakAfter, nil},
		{"the box breaks off after a failed run", breakAfter, failSigned},
		{"the box breaks off in the body", cutBody, nil},
		{"a bare 502", respondWith(http.StatusBadGateway), nil},
		{"a bare 503", respondWith(http.StatusServiceUnavailable), nil},
		{"a bare 421", respondWith(http.StatusMisdirectedRequest), nil},
		{"a server's refusal", respondWith(http.StatusServiceUnavailable, testNotRun, "1", testSigned, "1"), nil},
		{"a 200 without signature", respondWith(http.StatusOK, headerForwardReached, "1"), nil},
		{"a response to another call", respondWith(http.StatusOK, testSigned, "1", testID, "another", headerForwardReached, "1"), nil},
		{"an unknown outcome", respondWith(http.StatusBadGateway, headerForwardOutcome, string(outcomeUnknown), headerForwardReached, "1"), nil},
		{"a run without the headers between boxes", without, nil},
		{"failed runs without the headers between boxes", without, failSigned},
		{"the server breaks off", nil, abortRead},
		{"the server fails", nil, failSigned},
		{"the server refuses", nil, refuseSigned},
	}
	for _, test := range tests {
		for _, path := range []string{pathOnce, pathAny} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var servers, breaking forwardServers
				servers.start(t, "sound", nil)
				breaking.start(t, "first", test.server)
				breaking.start(t, "second", test.server)
				bad := startForwardBox(t, g, forwardBoxConfig{name: "bad", servers: breaking.entries, wrap: test.wrap})
				good := startForwardBox(t, g, forwardBoxConfig{name: "good", servers: servers.entries})
				first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
				first.forwardTo(bad, good)
				first.partition(g)
				allowed := 1
				if path == pathAny {
					allowed = forwardMaxServers
				}
				for i := 0; i < 30 && bad.forwarded.Load() == 0 || i < 4; i++ {
					id := fmt.Sprint("call-", i)
					response := first.send(t.Context(), path, id, "body", testRemaining, "1000")
					arrived := servers.arrived(id) + breaking.arrived(id)
					g.Expect(response.err).NotTo(HaveOccurred())
					if test.server == nil {
						g.Expect(arrived).To(BeNumerically("<=", allowed), response.body)
					}
					g.Expect(arrived).To(BeNumerically("<=", forwardMaxServers), response.body)
					if notRunStatus(response.status) {
						g.Expect(servers.arrived(id)).To(BeZero())
					}
					g.Expect(response.status).To(BeElementOf(http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusInternalServerError))
					if response.status == http.StatusOK {
						g.Expect(response.body).To(Equal("served body"))
					}
					if test.name == "sound" {
						g.Expect(response.status).To(Equal(http.StatusOK))
					}
				}
				g.Expect(bad.forwarded.Load()).To(BeNumerically(">", 0))
				for _, b := range []*forwardBox{first, bad, good} {
					b.expectIdle(g)
				}
			})
		}
	}
}

// A call that no server got must be refused as not run, and served where another box can.
func TestACallThatNoServerGotIsReportedAsUnknown(t *testing.T) {
	tests := []struct {
		name string
		// others are the other boxes: closed, partitioned or sound.
		others []string
		status int
		body   string
	}{
		{"no other boxes", nil, http.StatusServiceUnavailable, ""},
		{"a closed port", []string{"closed"}, http.StatusServiceUnavailable, ""},
		{"closed and partitioned", []string{"closed", "partitioned"}, http.StatusServiceUnavailable, ""},
		{"one of three", []string{"closed", "partitioned", "sound"}, http.StatusOK, ""},
		{"a long body, all partitioned", []string{"partitioned", "partitioned"}, http.StatusServiceUnavailable, strings.Repeat("x", 2<<20)},
		{"a long body, one sound", []string{"partitioned", "partitioned", "sound"}, http.StatusOK, strings.Repeat("x", 2<<20)},
	}
	for _, test := range tests {
		for _, path := range []string{pathOnce, pathAny} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var servers forwardServers
				servers.start(t, "server", nil)
				first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
				var others []*forwardBox
				for i, kind := range test.others {
					other := startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint(kind, i), servers: servers.entries})
					first.forwardTo(other)
					others = append(others, other)
					switch kind {
					case "closed":
						first.closeLastOther()
					case "partitioned":
						other.partition(g)
					}
				}
				for _, other := range others {
					other.forwardTo(others...)
				}
				first.partition(g)
				for i := range 5 {
					id := fmt.Sprint(i)
					response := first.send(t.Context(), path, id, test.body)
					g.Expect(response.err).NotTo(HaveOccurred())
					g.Expect(response.status).To(Equal(test.status), response.body)
					if test.status == http.StatusServiceUnavailable {
						g.Expect(servers.arrived(id)).To(BeZero())
						g.Expect(response.header.Get(testRetry)).NotTo(BeElementOf("", "0"))
						g.Expect(first.budget.State().Balance).To(BeNumerically("~", 5, 0.01), "nothing was retried")
					}
				}
				for _, other := range others {
					g.Expect(other.pathsAsked.Load()).To(BeZero(), "a forwarded call is not forwarded again")
					g.Expect(other.forwarded.Load()).To(BeNumerically("<=", 5))
					other.expectIdle(g)
				}
				first.expectIdle(g)
			})
		}
	}
}

// A call that a server of the first box had may be sent to as many servers of another box as are left, and
// its retry is taken from one budget only.
func TestServersAndRetriesCountAtOneBoxOnly(t *testing.T) {
	tests := []struct {
		name          string
		first, second http.HandlerFunc
		arrivals      int
		status        int
		// saved is what is left of five retries at the first box and at the other one.
		saved [2]float64
	}{
		{"lost, then served", abortRead, nil, 2, http.StatusOK, [2]float64{4, 5}},
		{"lost, then failed", abortRead, failSigned, 2, http.StatusInternalServerError, [2]float64{4, 5}},
		{"lost, then lost", abortRead, abortRead, 2, http.StatusBadGateway, [2]float64{4, 5}},
		{"lost, then refused", abortRead, refuseSigned, 2, http.StatusBadGateway, [2]float64{4, 5}},
		{"forwarded at once, failed twice", nil, failSigned, 2, http.StatusInternalServerError, [2]float64{5, 4}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var servers, near forwardServers
			servers.start(t, "b", test.second)
			servers.start(t, "c", test.second)
			entries := unreachableServers("u")
			var first *forwardBox
			if test.first != nil {
				near.start(t, "a", func(w http.ResponseWriter, r *http.Request) {
					first.partition(g)
					test.first(w, r)
				})
				entries = near.entries
			}
			first = startForwardBox(t, g, forwardBoxConfig{name: "first", servers: entries})
			second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
			third := startForwardBox(t, g, forwardBoxConfig{name: "third", servers: servers.entries})
			first.forwardTo(second, third)
			if test.first == nil {
				first.partition(g)
			}
			response := first.send(t.Context(), pathAny, "q", "body")
			g.Expect(response.status).To(Equal(test.status), response.body)
			g.Expect(near.arrived("q") + servers.arrived("q")).To(Equal(test.arrivals))
			g.Expect(first.budget.State().Balance).To(BeNumerically("~", test.saved[0], 0.01))
			g.Expect(second.budget.State().Balance + third.budget.State().Balance).To(BeNumerically("~", 5+test.saved[1], 0.01))
		})
	}
}

// A retry that no server got must not be taken from the budget.
func TestRefusingBoxesUseUpTheRetryBudget(t *testing.T) {
	g := NewWithT(t)
	var near, servers forwardServers
	var first *forwardBox
	near.start(t, "a", func(w http.ResponseWriter, r *http.Request) {
		first.partition(g)
		abortRead(w, r)
	})
	servers.start(t, "b", nil)
	first = startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries, retries: 1})
	for i := range 3 {
		other := startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("other-", i), servers: servers.entries})
		if i < 2 {
			other.partition(g)
		}
		first.forwardTo(other)
	}
	response := first.send(t.Context(), pathAny, "q", "body")
	g.Expect(response.status).To(Equal(http.StatusOK), response.body)
	g.Expect(first.budget.State().Balance).To(BeNumerically("~", 0, 0.01))
}

// The server must get the time that is left, and not more.
func TestAForwardedCallGetsMoreTimeThanIsLeft(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	servers.start(t, "server", nil)
	first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
	second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
	first.forwardTo(second)
	first.partition(g)
	response := first.send(t.Context(), pathAny, "q", "body", testRemaining, "700")
	g.Expect(response.status).To(Equal(http.StatusOK))
	got := headerProtocol{}.ReadRequest(servers.received()[0])
	g.Expect(got.MaxWait).To(And(BeNumerically("<=", 700*time.Millisecond), BeNumerically(">", 500*time.Millisecond)))
	g.Expect(got.Key).To(BeEmpty())
}

// A caller that leaves, or whose time is over, must not leave its call running at the server of another box.
func TestAServerRunsAForwardedCallThatNobodyWaitsFor(t *testing.T) {
	for _, path := range []string{pathOnce, pathAny, pathStream} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s leaves %t", path, leaves), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var servers forwardServers
				began, ended := make(chan struct{}, 4), make(chan struct{}, 4)
				servers.start(t, "server", func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					if path == pathStream {
						sign(w, r)
						sendEvent(w, "event", 1)
					}
					began <- struct{}{}
					<-r.Context().Done()
					ended <- struct{}{}
				})
				first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
				second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
				first.forwardTo(second)
				first.partition(g)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				remaining := "3000"
				if !leaves {
					remaining = "300"
				}
				responses := make(chan callerResponse, 1)
				go func() { responses <- first.send(ctx, path, "q", "body", testRemaining, remaining) }()
				g.Eventually(began).Should(Receive())
				if leaves {
					cancel()
				}
				g.Eventually(ended, 900*time.Millisecond).Should(Receive())
				<-responses
				first.expectIdle(g)
				second.expectIdle(g)
			})
		}
	}
}
