package loadshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Guards against zones that do not learn what an organisation uses elsewhere, and against reports to
// boxes that do not need them: with 50 followers a hub would send them 150 KB/s.
func TestHubsExchangeTheUseByOrganisations(t *testing.T) {
	runFleet(t, zonesOf48, func(g *WithT, h *history, _ []*fleet.Fleet) {
		for _, b := range h.Boxes {
			b.TakeMerged() // of the start, when each box took itself for a hub
		}
		const watched = 5 * time.Second
		time.Sleep(watched)
		hubs := 0
		for _, b := range h.Boxes {
			merged := b.TakeMerged()
			if b.Share.Hub() != "" {
				g.Expect(merged).To(BeEmpty(), b.Name)
				continue
			}
			hubs++
			g.Expect(merged).To(HaveLen(2), "%s receives the reports of the two other hubs", b.Name)
			for box, times := range merged {
				g.Expect(len(times)).To(BeNumerically("<=", int(watched/(300*time.Millisecond))), box)
				for i, at := range times[1:] {
					g.Expect(at.Sub(times[i])).To(BeNumerically("<", 700*time.Millisecond), "twice in the time for which a report is used")
				}
			}
		}
		g.Expect(hubs).To(Equal(3))
	})
}

// Guards against a zone without reports of the others after its hub has crashed.
func TestReportsOfUseReachTheNextHub(t *testing.T) {
	runFleet(t, zonesOf48, func(g *WithT, h *history, _ []*fleet.Fleet) {
		former := h.BoxNamed(h.Boxes[5].Share.Hub())
		former.Stop()
		time.Sleep(2500 * time.Millisecond)
		for _, b := range h.Boxes {
			b.TakeMerged()
		}
		time.Sleep(time.Second)
		next := h.BoxNamed(h.Boxes[5].Share.Hub())
		g.Expect(next).NotTo(BeNil())
		g.Expect(next).NotTo(BeIdenticalTo(former))
		g.Expect(next.TakeMerged()).To(HaveLen(2))
	})
}
