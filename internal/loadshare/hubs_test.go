package loadshare_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/simulated"
)

// zonesOf48 is a fleet of three zones with sixteen boxes each.
var zonesOf48 = []int{16, 16, 16}

// runFleet runs a test in simulated time on boxes in the given zones, with one server in zone 0
// that takes one prompt at a time.
func runFleet(t *testing.T, zones []int, test func(g *WithT, h *history, fleets []*fleet.Fleet)) {
	t.Helper()
	runPreparedFleet(t, zones, func(*history) {}, test)
}

// runPreparedFleet is runFleet with a preparation before the boxes start.
func runPreparedFleet(t *testing.T, zones []int, prepare func(h *history), test func(g *WithT, h *history, fleets []*fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHistory(t, nil, zones)
		defer h.Stop(cancel)
		prepare(h)
		fleets := make([]*fleet.Fleet, len(h.Boxes))
		for i, b := range h.Boxes {
			fleets[i] = fleet.New(fleet.Config{Logger: zerolog.Nop()})
			fleets[i].Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{
				Incarnation: "s", Service: "s", Zone: "zone-0", Slots: 4, Weights: map[string]int{simulated.Model: 1},
			}}})
			h.Start(ctx, b, fleets[i], 1)
		}
		time.Sleep(3 * time.Second)
		test(NewWithT(t), h, fleets)
	})
}

// promptQuery is a query that a server accepts only while no other prompt is waiting there.
func promptQuery() fleet.Query {
	return fleet.Query{
		Service: "s", Model: simulated.Model, Load: placing.Query{PrefillLimit: 1}, PrefillWork: func(int) int { return 5000 },
		VersionCost: func(int) (float64, bool) { return 0, true },
	}
}

// countBusy returns the number of boxes by whose view the server is busy.
func countBusy(fleets []*fleet.Fleet) int {
	count := 0
	for _, f := range fleets {
		if hold := f.Choose(promptQuery()); hold == nil {
			count++
		} else {
			hold.Done(fleet.OutcomeAbandoned)
		}
	}
	return count
}

// When 295 boxes sent to each other directly, each received the load of the others 0.4 s late
// within its zone and 2 s late between zones, with 70,000 messages a second between them. A prefill
// takes 0.08 to 0.3 s, so all boxes placed calls by loads that were already finished.
func TestHubsPassOnLoadsQuicklyWithFewMessages(t *testing.T) {
	runFleet(t, zonesOf48, func(g *WithT, h *history, fleets []*fleet.Fleet) {
		before := h.Network.Messages()
		const watched = 10 * time.Second
		time.Sleep(watched)
		perBox := float64(h.Network.Messages()-before) / watched.Seconds() / float64(len(fleets))
		g.Expect(perBox).To(BeNumerically("<", 14), "sending directly would take 240 a second")
		for round := range 5 {
			time.Sleep(time.Duration(round) * 37 * time.Millisecond)
			hold := fleets[round*9+1].Choose(promptQuery())
			g.Expect(hold).NotTo(BeNil())
			time.Sleep(350 * time.Millisecond)
			g.Expect(countBusy(fleets[:16])).To(Equal(16), "boxes of the server's zone")
			time.Sleep(350 * time.Millisecond)
			g.Expect(countBusy(fleets)).To(Equal(48))
			hold.Done(fleet.OutcomeServed)
			time.Sleep(700 * time.Millisecond)
			g.Expect(countBusy(fleets)).To(BeZero())
		}
	})
}

// A hub may crash, freeze or be cut off at any time. Another box then replaces it, and the reports
// of the old one no longer count.
func TestAnotherHubTakesOver(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(h *history, hub *simulated.Box)
	}{
		{"it crashes", func(_ *history, hub *simulated.Box) { hub.Stop() }},
		{"it is cut off", func(h *history, hub *simulated.Box) {
			for _, other := range h.Boxes {
				h.Network.SetCut(hub.Name, other.Name, true)
				h.Network.SetCut(other.Name, hub.Name, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, zonesOf48, func(g *WithT, h *history, fleets []*fleet.Fleet) {
				hub := h.BoxNamed(h.Boxes[5].Share.Hub())
				g.Expect(hub).NotTo(BeNil())
				test.injectFault(h, hub)
				time.Sleep(2500 * time.Millisecond)
				var left []*fleet.Fleet
				for i, b := range h.Boxes {
					if b != hub {
						left = append(left, fleets[i])
						g.Expect(b.Share.Hub()).NotTo(Equal(hub.Name))
					}
				}
				hold := left[7].Choose(promptQuery())
				g.Expect(hold).NotTo(BeNil())
				time.Sleep(700 * time.Millisecond)
				g.Expect(countBusy(left)).To(Equal(len(left)))
				hold.Done(fleet.OutcomeServed)
			})
		})
	}
}

// Hubs pass on the state of each box to all other boxes, and all boxes drop the state of one that has
// stopped.
func TestHubsPassOnWhichBoxesAreRunning(t *testing.T) {
	runFleet(t, zonesOf48, func(g *WithT, h *history, _ []*fleet.Fleet) {
		for _, b := range h.Boxes {
			g.Expect(len(b.Share.Peers())).To(Equal(47), b.Name)
			for _, peer := range b.Share.Peers() {
				g.Expect(time.Since(peer.SentAfter)).To(BeNumerically("<", maxReportAge), "%s of %s", b.Name, peer.Box)
			}
		}
		h.Boxes[20].Stop()
		time.Sleep(3 * time.Second)
		for i, b := range h.Boxes {
			if i != 20 {
				g.Expect(len(b.Share.Peers())).To(Equal(46), b.Name)
			}
		}
	})
}
