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

// zonesOf48 is a fleet of three zones of sixteen boxes.
var zonesOf48 = []int{16, 16, 16}

// fleetOf runs a test in paused time on boxes with hubs, before one server in zone 0 that
// takes one prompt at a time.
func fleetOf(t *testing.T, zones []int, test func(g *WithT, h *history, fleets []*fleet.Fleet)) {
	t.Helper()
	fleetAfter(t, zones, func(*history) {}, test)
}

// fleetAfter is fleetOf after something was done to the boxes before they started.
func fleetAfter(t *testing.T, zones []int, before func(h *history), test func(g *WithT, h *history, fleets []*fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &history{t: t, fabric: newFabric(), named: 1}
		defer h.finish(cancel)
		h.place(zones)
		before(h)
		fleets := make([]*fleet.Fleet, len(h.actors))
		for i, a := range h.actors {
			fleets[i] = fleet.New(fleet.Config{Logger: zerolog.Nop()})
			fleets[i].Apply([]fleet.Update{{Key: "s", Offset: 1, Server: &fleet.Server{
				Incarnation: "s", Service: "s", Zone: "zone-0", Slots: 4, Weights: map[string]int{model: 1},
			}}})
			h.beginWith(ctx, a, fleets[i])
		}
		time.Sleep(3 * time.Second)
		test(NewWithT(t), h, fleets)
	})
}

// prompt asks for a place that a server has only while nobody else's prompt waits there.
func prompt() fleet.Query {
	return fleet.Query{
		Service: "s", Model: model, Load: placing.Query{ReadLimit: 1}, Work: func(int) int { return 5000 },
		Outdated: func(int) (float64, bool) { return 0, true },
	}
}

// seeing counts the boxes that see the server busy.
func seeing(fleets []*fleet.Fleet) int {
	count := 0
	for _, f := range fleets {
		if hold := f.Choose(prompt()); hold == nil {
			count++
		} else {
			hold.Done(fleet.EndAbandoned)
		}
	}
	return count
}

// At 295 boxes that told each other directly, each heard of the others' work 0.4 s late
// within its zone and 2 s late between zones, and 70,000 messages a second went between
// them. A prompt is read in 0.08 to 0.3 s, so all boxes chose by loads that were over.
func TestWorkIsKnownSoonByFewMessages(t *testing.T) {
	fleetOf(t, zonesOf48, func(g *WithT, h *history, fleets []*fleet.Fleet) {
		before := h.fabric.messages()
		const watched = 10 * time.Second
		time.Sleep(watched)
		perBox := float64(h.fabric.messages()-before) / watched.Seconds() / float64(len(fleets))
		g.Expect(perBox).To(BeNumerically("<", 14), "to each other directly it would be 240 a second")
		for round := range 5 {
			time.Sleep(time.Duration(round) * 37 * time.Millisecond)
			hold := fleets[round*9+1].Choose(prompt())
			g.Expect(hold).NotTo(BeNil())
			time.Sleep(350 * time.Millisecond)
			g.Expect(seeing(fleets[:16])).To(Equal(16), "boxes of the server's zone")
			time.Sleep(350 * time.Millisecond)
			g.Expect(seeing(fleets)).To(Equal(48))
			hold.Done(fleet.EndServed)
			time.Sleep(700 * time.Millisecond)
			g.Expect(seeing(fleets)).To(BeZero())
		}
	})
}

// A hub may die, stand still or be cut off at any moment; another takes its place, and its
// word counts no more.
func TestAnotherHubTakesOver(t *testing.T) {
	tests := []struct {
		name    string
		breakIt func(h *history, hub *actor)
	}{
		{"it dies", func(_ *history, hub *actor) { hub.stop() }},
		{"it is cut off", func(h *history, hub *actor) {
			for _, other := range h.actors {
				h.fabric.setCut(hub.name, other.name, true)
				h.fabric.setCut(other.name, hub.name, true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fleetOf(t, zonesOf48, func(g *WithT, h *history, fleets []*fleet.Fleet) {
				hub := h.actor(h.actors[5].share.Hub())
				g.Expect(hub).NotTo(BeNil())
				test.breakIt(h, hub)
				time.Sleep(2500 * time.Millisecond)
				var left []*fleet.Fleet
				for i, a := range h.actors {
					if a != hub {
						left = append(left, fleets[i])
						g.Expect(a.share.Hub()).NotTo(Equal(hub.name))
					}
				}
				hold := left[7].Choose(prompt())
				g.Expect(hold).NotTo(BeNil())
				time.Sleep(700 * time.Millisecond)
				g.Expect(seeing(left)).To(Equal(len(left)))
				hold.Done(fleet.EndServed)
			})
		})
	}
}

// What a hub knows of which boxes there are comes to all of them, and one that is gone is
// forgotten by all.
func TestAllBoxesAreHeardByWayOfHubs(t *testing.T) {
	fleetOf(t, zonesOf48, func(g *WithT, h *history, _ []*fleet.Fleet) {
		for _, a := range h.actors {
			g.Expect(len(a.share.Peers())).To(Equal(47), a.name)
			for _, peer := range a.share.Peers() {
				g.Expect(time.Since(peer.SentAfter)).To(BeNumerically("<", wordFresh), "%s of %s", a.name, peer.Box)
			}
		}
		h.actors[20].stop()
		time.Sleep(3 * time.Second)
		for i, a := range h.actors {
			if i != 20 {
				g.Expect(len(a.share.Peers())).To(Equal(46), a.name)
			}
		}
	})
}

// place makes the boxes of a history, two large ones in each zone.
func (h *history) place(zones []int) {
	for zone, boxes := range zones {
		for i := range boxes {
			cores := 0.2
			if i < 2 {
				cores = 0.8
			}
			h.actors = append(h.actors, &actor{name: fmt.Sprint("box-", zone, "-", i), zone: fmt.Sprint("zone-", zone), cores: cores})
		}
	}
}

// beginWith starts the first life of a box with a fleet of its own.
func (h *history) beginWith(ctx context.Context, a *actor, known *fleet.Fleet) {
	a.life++
	a.spans = []span{{life: a.life, from: time.Now(), version: 1}}
	h.run(ctx, a, known)
}

// run starts a box's loops.
func (h *history) run(ctx context.Context, a *actor, known *fleet.Fleet) {
	// Each life has a share of its own, which the changes of its set are told by.
	var share *loadshare.Share
	a.suspects = quarantine.New(quarantine.Config{OnChange: func(change quarantine.Change) {
		if !change.FromPeer {
			share.TellNow()
		}
	}})
	share = loadshare.New(loadshare.Config{
		Quarantine: a.suspects,
		Fleet:      known, Logger: zerolog.Nop(), Box: a.name, Life: fmt.Sprint(a.name, "/", a.life), Zone: a.zone, Cores: a.cores, Address: a.name, Reader: a.name,
		Named: a.named, Heard: func(told map[string][]registry.Heard, _ time.Time) { a.hear(told) },
		Lacks: func() bool { return false }, Snapshot: func() *registry.Snapshot { return nil }, Dial: h.fabric.dialFrom(a.name),
	})
	a.share = share
	a.share.TakeBoxes(h.list())
	ctx, a.stop = context.WithCancel(ctx)
	listener := h.fabric.listen(a.name)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){a.share.LoopLink, a.share.LoopForget} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Go(func() { share.LoopAccept(ctx, listener) })
	// The loops begin what the share waits for, so they end first, as in a box.
	a.stopped.Go(func() {
		loops.Wait()
		share.Wait()
	})
}
