package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// On a day with a burst all boxes but one of each zone placed their calls by a fifth of the
// work: that of their own zone. The hubs had once not reached each other, as all boxes started
// together, and each told another box of the other's zone in its place. That one is no hub and
// speaks for itself alone, but as the only one of its zone that they heard it stayed their
// choice for good. Refusals of two boxes of a zone at the same moment, the first of them the
// one that was taken for the hub, while 898 calls were under way:
//
//	"box":"edge-oslo-hall-e-4" "sound":23 "in_flight":824 "held_tokens":2738000
//	"box":"edge-oslo-hall-e-1" "sound":23 "in_flight":168 "held_tokens":641000
func TestHubsThatOnceDidNotReachEachOtherHearEachOtherAgain(t *testing.T) {
	fleetAfter(t, zonesOf48, func(h *history) { h.cutLarge(true) }, func(g *WithT, h *history, fleets []*fleet.Fleet) {
		h.cutLarge(false)
		time.Sleep(6 * time.Second)
		const each = 3
		for _, f := range fleets {
			for zone := range zonesOf48 {
				addServer(f, zone)
				for range each {
					g.Expect(f.Choose(at(zone))).NotTo(BeNil())
				}
			}
		}
		time.Sleep(time.Second)
		for i, f := range fleets {
			g.Expect(len(h.actors[i].share.Peers())).To(Equal(47), "box %d hears", i)
			for zone := range zonesOf48 {
				g.Expect(f.Shortage(at(zone)).InFlight).To(Equal(each*len(fleets)), "box %d sees the work in zone %d", i, zone)
			}
		}
	})
}

// addServer adds a server of a zone, with room for all.
func addServer(f *fleet.Fleet, zone int) {
	name := fmt.Sprint("s-", zone)
	f.Apply([]fleet.Update{{Key: name, Offset: 2, Server: &fleet.Server{
		Incarnation: name, Service: name, Zone: fmt.Sprint("zone-", zone), Slots: 1000, Weights: map[string]int{model: 1},
	}}})
}

// at asks for a place at the server of a zone.
func at(zone int) fleet.Query {
	query := prompt()
	query.Service, query.Load.PrefillLimit = fmt.Sprint("s-", zone), 0
	return query
}

// cutLarge cuts the large boxes of all zones, which are to be hubs, from those of the others.
func (h *history) cutLarge(apart bool) {
	for _, one := range h.actors {
		for _, other := range h.actors {
			if one.zone != other.zone && one.cores == other.cores && one.cores > 0.5 {
				h.fabric.setCut(one.name, other.name, apart)
			}
		}
	}
}
