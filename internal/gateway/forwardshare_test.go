package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A box whose part of a rate limit is used up must use that of other boxes, and a call that no box has a
// part for must be refused at once, without reaching a server.
func TestACallIsRefusedWhileAnotherBoxHasAShare(t *testing.T) {
	tests := []struct {
		name string
		// second and third are whether these boxes have a share left.
		second, third bool
		status        int
	}{
		{"the second box", true, false, http.StatusOK},
		{"the third box", false, true, http.StatusOK},
		{"no box", false, false, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var servers forwardServers
			servers.start(t, "a", nil)
			boxes := make([]*forwardBox, 3)
			for i, hasShare := range []bool{false, test.second, test.third} {
				boxes[i] = startForwardBox(t, g, forwardBoxConfig{name: fmt.Sprint("box-", i), servers: servers.entries})
				if !hasShare {
					boxes[i].useUpLimit("a")
				}
			}
			boxes[0].forwardTo(boxes[1], boxes[2])
			for number := range 5 {
				id := fmt.Sprint("call-", number)
				began := time.Now()
				response := boxes[0].send(t.Context(), pathOnce, id, "body", testRemaining, "2000")
				g.Expect(response.status).To(Equal(test.status))
				g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
				if test.status == http.StatusOK {
					g.Expect(servers.arrived(id)).To(Equal(1))
				} else {
					g.Expect(servers.arrived(id)).To(BeZero())
				}
			}
			for _, box := range boxes {
				box.expectIdle(g)
				g.Expect(box.forwarded.Load()).To(BeNumerically("<=", 5), "a box without a share is not asked for each call")
			}
		})
	}
}

// A box that had just started, and knew no limits yet, took the calls of all boxes that had used up their
// parts of a rate limit, so that the limited servers got more than they state.
func TestABoxThatKnowsNoLimitsYetTakesTheCallsOfThoseThatHaveNoneLeft(t *testing.T) {
	g := NewWithT(t)
	var servers forwardServers
	servers.start(t, "a", nil)
	var informed atomic.Bool
	full := startForwardBox(t, g, forwardBoxConfig{name: "box-0", servers: servers.entries})
	full.useUpLimit("a")
	started := startForwardBox(t, g, forwardBoxConfig{
		name: "box-1", servers: servers.entries, change: func(cfg *Config) { cfg.IsInformed = informed.Load },
	})
	full.forwardTo(started)

	response := full.send(t.Context(), pathOnce, "early", "body", testRemaining, "2000")
	g.Expect(response.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(servers.arrived("early")).To(BeZero())
	g.Expect(started.forwarded.Load()).To(BeEquivalentTo(1))
	response = started.send(t.Context(), pathOnce, "own", "body", testRemaining, "2000")
	g.Expect(response.status).To(Equal(http.StatusOK), "it serves its own callers")

	informed.Store(true)
	g.Eventually(func() int { return full.send(t.Context(), pathOnce, "late", "body", testRemaining, "2000").status }).Should(Equal(http.StatusOK))
	full.expectIdle(g)
	started.expectIdle(g)
}

// useUpLimit makes a server state a low rate limit to the box, which then uses up its part of it.
func (b *forwardBox) useUpLimit(server string) {
	servers := b.gateway.cfg.Fleet
	servers.ApplyAdvisory(server, advisory.Answer{
		Advisory: advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: 0.01}, Sent: time.Now(), Received: time.Now(), Genuine: true,
	})
	for hold := servers.Choose(fleet.Query{Service: "s"}); hold != nil; hold = servers.Choose(fleet.Query{Service: "s"}) {
		hold.Done(fleet.OutcomeServed)
	}
}
