package gateway

import (
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// The first server fails the call while the hedge is in progress. The hedge was cancelled although its
// server would have served the call, and the route allowed no third server.
func TestACallThatItsServerFailsContinuesAtItsHedge(t *testing.T) {
	tests := []struct {
		name string
		fail http.HandlerFunc
	}{
		{"it responds with an error", fail},
		{"it ends a stream without an event", func(w http.ResponseWriter, _ *http.Request) {
			connection, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Genuine: yes\r\n\r\n")
			_ = connection.Close()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			hedged := make(chan struct{})
			startRunner(t, f, "first", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-hedged
				test.fail(w, r)
			}))
			c := resumableCatalog(g, 2)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			bodies := make(chan string, 1)
			go func() { bodies <- serveStream(gateway) }()
			g.Eventually(func() int { return inFlight(f) }).Should(Equal(1))
			startSecond(t, f, func(w http.ResponseWriter, r *http.Request) {
				close(hedged)
				serveEvents("second", refusalTimeout/2)(w, r)
			})
			g.Expect(<-bodies).To(Equal(fullStream("second", false)))
			g.Eventually(func() int { return inFlight(f) }).Should(BeZero())
		})
	}
}
