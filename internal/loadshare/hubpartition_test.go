package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/simulated"
)

// During a load peak all boxes but one of each zone placed their calls by a fifth of the total
// load, that of their own zone. The hubs had not reached each other when all boxes started
// together, and each sent to another box of the other zone instead. That box is not a hub and
// reports only for itself, but it stayed selected for good as the only box of its zone that
// reported. Rejections by two boxes of one zone at the same time, the first by the box that was
// taken for the hub, with 898 calls in flight:
//
//	"box":"edge-oslo-hall-e-4" "sound":23 "in_flight":824 "held_tokens":2738000
//	"box":"edge-oslo-hall-e-1" "sound":23 "in_flight":168 "held_tokens":641000
func TestHubsReconnectAfterAPartitionAtTheirStart(t *testing.T) {
	runPreparedFleet(t, zonesOf48, func(h *history) { h.cutLargeBoxes(true) }, func(g *WithT, h *history, fleets []*fleet.Fleet) {
		h.cutLargeBoxes(false)
		time.Sleep(6 * time.Second)
		const each = 3
		for _, f := range fleets {
			for zone := range zonesOf48 {
				addServer(f, zone)
				for range each {
					g.Expect(f.Choose(queryFor(zone))).NotTo(BeNil())
				}
			}
		}
		time.Sleep(time.Second)
		for i, f := range fleets {
			g.Expect(len(h.Boxes[i].Share.Peers())).To(Equal(47), "peers of box %d", i)
			for zone := range zonesOf48 {
				g.Expect(f.Shortage(queryFor(zone)).InFlight).To(Equal(each*len(fleets)), "box %d, load of zone %d", i, zone)
			}
		}
	})
}

// addServer adds a server in a zone, with capacity for all calls.
func addServer(f *fleet.Fleet, zone int) {
	name := fmt.Sprint("s-", zone)
	f.Apply([]fleet.Update{{Key: name, Offset: 2, Server: &fleet.Server{
		Incarnation: name, Service: name, Zone: fmt.Sprint("zone-", zone), Slots: 1000, Weights: map[string]int{simulated.Model: 1},
	}}})
}

// queryFor is a query for the server of a zone.
func queryFor(zone int) fleet.Query {
	query := promptQuery()
	query.Service, query.Load.PrefillLimit = fmt.Sprint("s-", zone), 0
	return query
}

// cutLargeBoxes cuts or restores the links between the large boxes of different zones, from which
// the hubs are chosen.
func (h *history) cutLargeBoxes(cut bool) {
	for _, one := range h.Boxes {
		for _, other := range h.Boxes {
			if one.Zone != other.Zone && one.Cores == other.Cores && one.Cores > 0.5 {
				h.Network.SetCut(one.Name, other.Name, cut)
			}
		}
	}
}
