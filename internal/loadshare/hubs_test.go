package loadshare_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
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
		h := &history{t: t, network: newNetwork(), newestVersion: 1}
		defer h.stop(cancel)
		h.addBoxes(zones)
		prepare(h)
		fleets := make([]*fleet.Fleet, len(h.simBoxes))
		for i, b := range h.simBoxes {
			fleets[i] = fleet.New(fleet.Config{Logger: zerolog.Nop()})
			fleets[i].Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{
				Incarnation: "s", Service: "s", Zone: "zone-0", Slots: 4, Weights: map[string]int{model: 1},
			}}})
			h.startWithFleet(ctx, b, fleets[i])
		}
		time.Sleep(3 * time.Second)
		test(NewWithT(t), h, fleets)
	})
}

// promptQuery is a query that a server accepts only while no other prompt is waiting there.
func promptQuery() fleet.Query {
	return fleet.Query{
		Service: "s", Model: model, Load: placing.Query{PrefillLimit: 1}, PrefillWork: func(int) int { return 5000 },
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
		before := h.network.messages()
		const watched = 10 * time.Second
		time.Sleep(watched)
		perBox := float64(h.network.messages()-before) / watched.Seconds() / float64(len(fleets))
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
		injectFault func(h *history, hub *simBox)
	}{
		{"it crashes", func(_ *history, hub *simBox) { hub.stop() }},
		{"it is cut off", func(h *history, hub *simBox) {
			for _, other := range h.simBoxes {
				h.network.setCut(hub.name, other.name, true)
				h.network.setCut(other.name, hub.name, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runFleet(t, zonesOf48, func(g *WithT, h *history, fleets []*fleet.Fleet) {
				hub := h.boxNamed(h.simBoxes[5].share.Hub())
				g.Expect(hub).NotTo(BeNil())
				test.injectFault(h, hub)
				time.Sleep(2500 * time.Millisecond)
				var left []*fleet.Fleet
				for i, b := range h.simBoxes {
					if b != hub {
						left = append(left, fleets[i])
						g.Expect(b.share.Hub()).NotTo(Equal(hub.name))
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
		for _, b := range h.simBoxes {
			g.Expect(len(b.share.Peers())).To(Equal(47), b.name)
			for _, peer := range b.share.Peers() {
				g.Expect(time.Since(peer.SentAfter)).To(BeNumerically("<", maxReportAge), "%s of %s", b.name, peer.Box)
			}
		}
		h.simBoxes[20].stop()
		time.Sleep(3 * time.Second)
		for i, b := range h.simBoxes {
			if i != 20 {
				g.Expect(len(b.share.Peers())).To(Equal(46), b.name)
			}
		}
	})
}

// addBoxes adds the boxes of a history, two large ones in each zone.
func (h *history) addBoxes(zones []int) {
	for zone, boxes := range zones {
		for i := range boxes {
			cores := 0.2
			if i < 2 {
				cores = 0.8
			}
			h.simBoxes = append(h.simBoxes, &simBox{name: fmt.Sprint("box-", zone, "-", i), zone: fmt.Sprint("zone-", zone), cores: cores})
		}
	}
}

// startWithFleet starts an incarnation of a box with the given fleet.
func (h *history) startWithFleet(ctx context.Context, b *simBox, boxFleet *fleet.Fleet) {
	b.incarnation++
	b.spans = []span{{incarnation: b.incarnation, from: time.Now(), version: 1}}
	h.runLoops(ctx, b, boxFleet)
}

// runLoops starts the loops of a box.
func (h *history) runLoops(ctx context.Context, b *simBox, boxFleet *fleet.Fleet) {
	// Each incarnation has its own Share, through which the changes of its quarantine are sent.
	var share *loadshare.Share
	shareChange := func(change quarantine.Change) {
		if !change.FromPeer {
			share.SendNow()
		}
	}
	b.suspects = quarantine.New(quarantine.Config{OnChange: shareChange})
	b.suspectParts = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, OnChange: shareChange})
	b.quarantineLoaded.Store(false)
	share = loadshare.New(loadshare.Config{
		QuarantineLoaded: b.quarantineLoaded.Load, OnQuarantineLoaded: b.noteQuarantineLoaded,
		Quarantine: b.suspects, PartQuarantine: b.suspectParts, Parts: b.parts,
		Fleet: boxFleet, Logger: zerolog.Nop(), Box: b.name, Incarnation: fmt.Sprint(b.name, "/", b.incarnation), Zone: b.zone, Cores: b.cores, Address: b.name, ReaderAddress: b.name,
		NamedVersions: b.namedVersions, MergeNamedVersions: func(versions map[string][]registry.PeerWeights, _ time.Time) { b.mergeVersions(versions) },
		NeedsSnapshot: func() bool { return false }, Snapshot: func(string) *registry.Snapshot { return nil }, Dial: h.network.dialFrom(b.name),
		Uses: b.usesIfHub, MergeUses: b.mergeUses,
	})
	b.share = share
	b.share.ApplyBoxRecords(h.boxRecords())
	ctx, b.stop = context.WithCancel(ctx)
	listener := h.network.listen(b.name)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){b.share.LoopMaintainLinks, b.share.LoopExpireReports} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Go(func() { share.LoopAccept(ctx, listener) })
	// The loops start goroutines that Share.Wait waits for, so they end first, as in an entry box.
	b.stopped.Go(func() {
		loops.Wait()
		share.Wait()
	})
}
