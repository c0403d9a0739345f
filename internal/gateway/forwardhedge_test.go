package gateway

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stallRead reads the call and stays silent until the caller leaves or the test ends.
func stallRead(t *testing.T) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-t.Context().Done():
		}
	}
}

// A call whose server has become silent must continue through another box, also if the first boxes that
// are tried do not reach the service either or cannot be connected to.
func TestACallStaysAtASilentServerThatIsNotReached(t *testing.T) {
	tests := []struct {
		name   string
		others []string
	}{
		{"sound", []string{"sound"}},
		{"a partitioned one first", []string{"partitioned", "sound"}},
		{"partitioned ones first", []string{"partitioned", "partitioned", "sound"}},
		{"a closed one first", []string{"closed", "sound"}},
	}
	for _, test := range tests {
		for _, path := range []string{pathAny, pathStream} {
			for _, started := range []bool{false, true} {
				if started && path == pathAny {
					continue
				}
				t.Run(fmt.Sprintf("%s %s started %t", test.name, path, started), func(t *testing.T) {
					t.Parallel()
					g := NewWithT(t)
					var near, servers forwardServers
					near.start(t, "a", func(w http.ResponseWriter, r *http.Request) {
						if started {
							sign(w, r)
							sendEvent(w, "event", 1)
						}
						stallRead(t)(w, r)
					})
					servers.start(t, "b", func(w http.ResponseWriter, r *http.Request) {
						if path == pathStream {
							serveEventsAfter(w, r)
							return
						}
						serveBody(w, r)
					})
					first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries, retries: 1})
					for i, kind := range test.others {
						other := startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint(kind, i), servers: servers.entries})
						first.forwardTo(other)
						switch kind {
						case "partitioned":
							other.partition(g)
						case "closed":
							first.closeLastOther()
						}
					}
					responses := make(chan callerResponse, 1)
					go func() { responses <- first.send(t.Context(), path, "q", "body") }()
					g.Eventually(func() int { return near.arrived("q") }).Should(Equal(1))
					time.Sleep(50 * time.Millisecond)
					first.partition(g)
					var response callerResponse
					g.Eventually(responses, forwardTimeout).Should(Receive(&response))
					g.Expect(response.err).NotTo(HaveOccurred())
					g.Expect(response.status).To(Equal(http.StatusOK), response.body)
					if path == pathStream {
						g.Expect(response.body).To(Equal(allEvents()))
					}
					g.Expect(servers.arrived("q")).To(Equal(1))
					first.expectIdle(g)
				})
			}
		}
	}
}

// While a call is at another box, which may send it to all servers that are left, it must not be sent to
// one more from here.
func TestAHedgeBesideAForwardedCallUsesOneServerMore(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	for i := range 3 {
		servers.start(t, fmt.Sprint("server-", i), func(w http.ResponseWriter, r *http.Request) {
			if servers.arrived(r.Header.Get(testID)) == 1 {
				abortRead(w, r) // the other box sends the call to a second server
			}
			stallRead(t)(w, r)
		})
	}
	first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: servers.entries[2:]})
	second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries[:2], wrap: func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			first.heal()
			next.ServeHTTP(w, r)
		})
	}})
	first.forwardTo(second)
	first.partition(g)
	response := first.send(t.Context(), pathAny, "q", "body", testRemaining, "1500")
	g.Expect(response.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
	g.Expect(servers.arrived("q")).To(BeNumerically("<=", forwardMaxServers))
}

// The end of a hedge that another box refuses runs on the timer of the first attempt; what it records about
// the call must not race with the call itself.
func TestARefusedHedgeRacesWithItsCall(t *testing.T) {
	for round := range 8 {
		t.Run(fmt.Sprint(round), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var near, servers forwardServers
			refused := make(chan struct{}, 8)
			near.start(t, "a", func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				select {
				case <-refused:
					time.Sleep(time.Duration(round) * time.Millisecond)
				case <-time.After(3 * time.Second):
				}
				panic(http.ErrAbortHandler)
			})
			servers.start(t, "b", refuseSigned)
			first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries})
			for i := range 3 {
				// The body of the refusal comes late, so that the call goes on meanwhile.
				first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("other-", i), servers: servers.entries, wrap: func(http.Handler) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						_, _ = io.Copy(io.Discard, r.Body)
						w.Header().Set(headerForwardOutcome, string(outcomeRefused))
						w.Header().Set(headerForwardReason, "no_server")
						w.Header().Set(headerForwardReached, "0")
						w.WriteHeader(http.StatusServiceUnavailable)
						_ = http.NewResponseController(w).Flush()
						refused <- struct{}{}
						time.Sleep(time.Duration(round) * time.Millisecond)
					})
				}}))
			}
			responses := make(chan callerResponse, 1)
			go func() { responses <- first.send(t.Context(), pathAny, "q", "body") }()
			g.Eventually(func() int { return near.arrived("q") }).Should(Equal(1))
			first.partition(g)
			response := <-responses
			g.Expect(response.status).To(Equal(http.StatusBadGateway), response.body)
			first.expectIdle(g)
		})
	}
}
