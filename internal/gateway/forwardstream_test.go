package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A stream that begins at a server of the first box must continue through another one after the last event
// that its caller has.
func TestAStreamResumedThroughABoxRepeatsEvents(t *testing.T) {
	tests := []struct {
		name string
		// sent is the number of events before the first server breaks off.
		sent    int
		second  http.HandlerFunc
		resumes bool
	}{
		{"after two events", 2, serveEventsAfter, true},
		{"after all events", streamEvents, serveEventsAfter, true},
		{"the other server sends all events again", 2, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del(testResume)
			serveEventsAfter(w, r)
		}, true},
		{"the other server refuses", 2, refuseSigned, false},
		{"the other server fails", 2, failSigned, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var near, servers forwardServers
			var first *forwardBox
			near.start(t, "a", func(w http.ResponseWriter, r *http.Request) {
				sign(w, r)
				for number := 1; number <= test.sent; number++ {
					sendEvent(w, "event", number)
				}
				first.partitionAmidStream(g, "s")
				panic(http.ErrAbortHandler)
			})
			servers.start(t, "b", test.second)
			first = startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries})
			second := startForwardBox(t, g, forwardBoxConfig{name: "second", servers: servers.entries})
			first.forwardTo(second)
			response := first.send(t.Context(), pathStream, "q", "")
			if test.resumes {
				g.Expect(response.err).NotTo(HaveOccurred())
				g.Expect(response.body).To(Equal(allEvents()))
			} else {
				g.Expect(response.err).To(HaveOccurred(), "the stream is cut")
				g.Expect(allEvents()).To(HavePrefix(response.body))
			}
			g.Expect(servers.received()[0].Get(testResume)).To(Equal(fmt.Sprint(test.sent)))
			first.expectIdle(g)
			second.expectIdle(g)
		})
	}
}

// A hop that breaks off amid a stream must neither repeat nor skip events, nor end the stream as complete.
func TestAHopThatBreaksOffDamagesAStream(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	servers.start(t, "b", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testResume) != "" {
			serveEventsAfter(w, r)
			return
		}
		sign(w, r)
		sendEvent(w, "event", 1)
		sendEvent(w, "event", 2)
		<-r.Context().Done()
	})
	first := startForwardBox(t, g, forwardBoxConfig{name: "first", servers: unreachableServers("a")})
	var others []*forwardBox
	for i := range 3 {
		other := startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("other-", i), servers: servers.entries})
		others = append(others, other)
		first.forwardTo(other)
	}
	first.partition(g)
	time.AfterFunc(300*time.Millisecond, func() {
		for _, other := range others {
			other.peers.CloseClientConnections()
		}
	})
	response := first.send(t.Context(), pathStream, "q", "")
	if response.err == nil {
		g.Expect(response.body).To(Equal(allEvents()))
	}
	g.Expect(allEvents()).To(HavePrefix(response.body))
	g.Expect(servers.arrived("q")).To(BeNumerically("<=", forwardMaxServers))
	first.expectIdle(g)
}
