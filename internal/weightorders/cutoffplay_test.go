// Plays of boxes that order runners, some of which are cut off.

package weightorders_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/loadpace"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/weightorders"
)

// cutPlay is a rollout to 90 runners in three zones by three boxes, of which some have a fault for a time.
type cutPlay struct {
	fleet *busyFleet
	boxes []*cutBox
	// mechanisms are those of all boxes.
	mechanisms mechanism.Switches

	mu      sync.Mutex
	orders  []sentOrder
	appends int
	// wasted is the time for which boxes that cannot send orders had runners out of service, summed over the
	// runners.
	wasted time.Duration
}

func (p *cutPlay) noteOrder(order sentOrder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, order)
}

func (p *cutPlay) noteAppend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.appends++
}

// accepted returns the orders that runners accepted.
func (p *cutPlay) accepted() []sentOrder {
	p.mu.Lock()
	defer p.mu.Unlock()
	var orders []sentOrder
	for _, order := range p.orders {
		if order.accepted {
			orders = append(orders, order)
		}
	}
	return orders
}

// holder returns the box that sent the last order.
func (p *cutPlay) holder() *cutBox {
	orders := p.accepted()
	for _, box := range p.boxes {
		if len(orders) > 0 && box.name == orders[len(orders)-1].holder {
			return box
		}
	}
	return p.boxes[0]
}

func (p *cutPlay) startBox(ctx context.Context, log *fakesharedlog.Log, name, zone string) {
	ctx, kill := context.WithCancel(ctx)
	box := &cutBox{name: name, zone: zone, play: p, kill: kill}
	lease := orderlease.New(orderlease.Config{Log: cutLog{log, box}, Logger: zerolog.Nop(), Holder: name, Gap: orderGap})
	box.controller = weightorders.New(weightorders.Config{
		Runners: box, Fleet: p.fleet.fleet, Lease: lease, Logger: zerolog.Nop(), Holder: name, Mechanisms: p.mechanisms,
		Models: func() []string { return []string{"m"} }, TargetVersion: p.fleet.target, TimeLeft: p.fleet.timeLeft,
		Limits: func(string) loadpace.Limits { return loadpace.Limits{} }, LoadsKnown: func() bool { return !box.current().alone },
		Reaches: box.reaches,
	})
	p.boxes = append(p.boxes, box)
	go lease.Loop(ctx)
	go box.controller.Loop(ctx)
}

// outcome is what a play showed.
type outcome struct {
	// pause is the longest time without an order in one zone after the fault began, over the zones without the
	// holder's, and homePause that in the zone of the holder.
	pause, homePause time.Duration
	// took is the time from the declaration until all runners have the version.
	took    time.Duration
	wasted  time.Duration
	appends int
}

func (o outcome) String() string {
	return fmt.Sprintf("no order for %.2f s, in the holder's zone %.2f s, rollout %.2f s, out of service at cut-off boxes %.1f runner-seconds, %d appends",
		o.pause.Seconds(), o.homePause.Seconds(), o.took.Seconds(), o.wasted.Seconds(), o.appends)
}

// playFault plays a rollout in a trough in which boxes have faults from 1.5 s after the declaration. faults returns the
// fault of each box, given the one that holds the lease.
func playFault(g *WithT, boxes int, faults func(box, holder *cutBox) fault) outcome {
	g.THelper()
	return (&cutPlay{fleet: newBusyFleet(3 * time.Second)}).run(g, boxes, faults)
}

// run is playFault.
func (p *cutPlay) run(g *WithT, boxes int, faults func(box, holder *cutBox) fault) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(settleTime)
	defer cancel()
	go p.fleet.loopCalls(ctx, 0.25)
	log := fakesharedlog.New()
	for i := range boxes {
		p.startBox(ctx, log, fmt.Sprint("box-", i), fmt.Sprint("zone-", i))
	}
	time.Sleep(3*time.Second + faultAfter)
	began, holder := time.Now(), p.holder()
	for _, box := range p.boxes {
		f := faults(box, holder)
		box.setFault(f)
		if f.killed {
			box.kill()
		}
	}
	healed := time.AfterFunc(faultTime, func() {
		for _, box := range p.boxes {
			box.setFault(fault{})
		}
	})
	defer healed.Stop()
	took := p.await()
	time.Sleep(settleTime)
	p.check(g, began)
	result := outcome{homePause: p.longestPause(began, holder.zone), took: took, wasted: p.wasted, appends: p.appends}
	for _, zone := range allZones {
		if zone != holder.zone {
			result.pause = max(result.pause, p.longestPause(began, zone))
		}
	}
	return result
}

// await waits until all runners have the version, and returns the time since its declaration.
func (p *cutPlay) await() time.Duration {
	const step = 20 * time.Millisecond
	declared := p.fleet.began.Add(p.fleet.declared[0])
	for p.fleet.behind(2) > 0 && time.Since(declared) < time.Minute {
		time.Sleep(step)
		for _, box := range p.boxes {
			if f := box.current(); f.store || f.killed || len(f.runners) == 3 {
				p.wasted += step * time.Duration(box.controller.OutOfService()["m"])
			}
		}
	}
	return time.Since(declared)
}

// longestPause returns the longest time without an accepted order after a time, while there are runners left
// to order in a zone.
func (p *cutPlay) longestPause(began time.Time, zone string) time.Duration {
	longest, last := time.Duration(0), began
	for _, order := range p.accepted() {
		if order.at.Before(began) || order.zone != zone {
			continue
		}
		longest, last = max(longest, order.at.Sub(last)), order.at
	}
	return longest
}

// check checks that no two boxes could conflict: their orders to one runner are separated by the gap and carry
// rising fencing tokens, no runner loads twice, and no more than one in five load at once.
func (p *cutPlay) check(g *WithT, began time.Time) {
	g.THelper()
	latest := map[string]sentOrder{}
	for _, order := range p.orders {
		before, found := latest[order.runner]
		sinceHealed := order.at.Sub(began.Add(faultTime))
		if sinceHealed >= 0 && sinceHealed < thawTime {
			continue
		}
		latest[order.runner] = order
		if found && before.holder != order.holder {
			g.Expect(order.at.Sub(before.at)).To(BeNumerically(">", orderGap), "orders of %s and %s to %s", before.holder, order.holder, order.runner)
			g.Expect(order.fence).To(BeNumerically(">", before.fence))
		}
	}
	g.Expect(p.fleet.behind(2)).To(BeZero())
	g.Expect(p.fleet.maxLoading).To(BeNumerically("<=", busyRunners/5))
	for runner, orders := range maps.All(p.fleet.orders) {
		g.Expect(orders).To(BeNumerically("==", 1), runner)
	}
}
