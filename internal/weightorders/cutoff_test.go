package weightorders_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadpace"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/weightorders"
)

const (
	// orderGap is the time that must separate the orders of two boxes to one runner.
	orderGap = 3 * time.Second
	// thawTime is how long after a thaw or a repaired link orders may arrive that were on their way.
	thawTime = 300 * time.Millisecond
	// troughRollout bounds a rollout in a trough.
	troughRollout = 7 * time.Second
	// faultAfter is when the fault begins after the declaration of a version, and faultTime how long it lasts.
	faultAfter = 1500 * time.Millisecond
	faultTime  = 6600 * time.Millisecond
	// reachDelay is the time that a box needs to detect that it reaches no server of a service.
	reachDelay = 600 * time.Millisecond
)

// fault says which links of a box fail.
type fault struct {
	// store means that the box does not reach the log, and runners lists the zones whose runners it does not
	// reach.
	store   bool
	runners []string
	// frozen means that nothing leaves the box until the fault ends, and everything then.
	frozen bool
	// alone means that the box receives no load reports.
	alone bool
	// killed means that the box does not return.
	killed bool
}

// cutBox is a box that may have a fault.
type cutBox struct {
	name       string
	zone       string
	play       *cutPlay
	controller *weightorders.Controller
	kill       context.CancelFunc

	mu    sync.Mutex
	fault fault
	since time.Time
}

func (b *cutBox) setFault(f fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault, b.since = f, time.Now()
}

func (b *cutBox) current() fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// pass waits while a call is cut off. It returns an error if the call fails for it.
func (b *cutBox) pass(ctx context.Context, isCut func(fault) bool) error {
	for {
		f := b.current()
		if !f.frozen && !isCut(f) {
			return nil
		}
		if !f.frozen && ctx.Err() != nil {
			return errors.New("no answer")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func cutFromStore(f fault) bool { return f.store }

func cutFromZone(zone string) func(fault) bool {
	return func(f fault) bool {
		for _, cut := range f.runners {
			if cut == zone {
				return true
			}
		}
		return false
	}
}

// cutLog is a box's link to the log.
type cutLog struct {
	sharedlog.Log
	box *cutBox
}

func (l cutLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	if err := l.box.pass(ctx, cutFromStore); err != nil {
		return 0, sharedlog.ErrUnknown
	}
	time.Sleep(4 * time.Millisecond)
	l.box.play.noteAppend()
	return l.Log.Append(ctx, stream, end, record)
}

func (l cutLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	if err := l.box.pass(ctx, cutFromStore); err != nil {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if l.box.pass(ctx, cutFromStore) != nil {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return page, err
}

// Report and Order implement weightorders.RunnerClient.
func (b *cutBox) Report(ctx context.Context, server fleet.Server) (weightorders.Report, error) {
	if err := b.pass(ctx, cutFromZone(server.Zone)); err != nil {
		return weightorders.Report{}, err
	}
	return b.play.fleet.Report(ctx, server)
}

func (b *cutBox) Order(ctx context.Context, server fleet.Server, order weightorders.Order) (bool, error) {
	if err := b.pass(ctx, cutFromZone(server.Zone)); err != nil {
		return false, err
	}
	done, err := b.play.fleet.Order(ctx, server, order)
	b.play.noteOrder(sentOrder{b.name, server.Incarnation, server.Zone, order.Fence, time.Now(), err == nil})
	return done, err
}

// reaches reports whether the box believes that it reaches runners.
func (b *cutBox) reaches(string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.fault.runners) < 3 || time.Since(b.since) < reachDelay
}

// sentOrder is an order that arrived at a runner.
type sentOrder struct {
	holder, runner string
	zone           string
	fence          int64
	at             time.Time
	accepted       bool
}

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

var allZones = []string{"zone-0", "zone-1", "zone-2"}

// onlyHolder gives a fault to the holder alone.
func onlyHolder(f fault) func(box, holder *cutBox) fault {
	return func(box, holder *cutBox) fault {
		if box == holder {
			return f
		}
		return fault{}
	}
}

// cutHoldersZone cuts the zone of the holder off from the other two. withStore means that it still reaches the
// log.
func cutHoldersZone(withStore bool) func(box, holder *cutBox) fault {
	return func(box, holder *cutBox) fault {
		if box != holder {
			return fault{runners: []string{holder.zone}}
		}
		f := fault{store: !withStore, alone: true}
		for _, zone := range allZones {
			if zone != holder.zone {
				f.runners = append(f.runners, zone)
			}
		}
		return f
	}
}

// cutZoneFromAll cuts the runners of a zone that is not the holder's off from all boxes.
func cutZoneFromAll(_, holder *cutBox) fault {
	for _, zone := range allZones {
		if zone != holder.zone {
			return fault{runners: []string{zone}}
		}
	}
	return fault{}
}

const (
	// usualPause bounds the time without an order in one zone without a fault: the next runners drain.
	usualPause = runTime
	// longestRollout bounds a rollout that can go on in one of three zones only after the fault: two rounds of
	// loads by one in five of all runners.
	longestRollout = faultAfter + faultTime + 2*(200*time.Millisecond+runTime+busyLoad)
	// takeover is the time until another box takes a lease that is not renewed.
	takeover = 1200 * time.Millisecond
)

// While the holder of the order lease was cut off for 6.6 s in a trough, no box sent orders for the gap of all
// runners, and the rest of the runners loaded at the next peak.
func TestALostHolderStopsOrdersOnlyBriefly(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults func(box, holder *cutBox) fault
		// pause and homePause bound the time without an order outside the holder's zone and within it.
		pause, homePause time.Duration
	}{
		{"no fault", onlyHolder(fault{}), usualPause, usualPause},
		{"killed", onlyHolder(fault{killed: true}), usualPause + takeover, usualPause + takeover},
		{"cut off from the store", onlyHolder(fault{store: true}), usualPause + takeover, usualPause + takeover},
		{"cut off from the runners", onlyHolder(fault{runners: allZones}), usualPause + takeover, usualPause + takeover},
		// The demand is unknown then, so no runners drain ahead.
		{"cut off from the other boxes", onlyHolder(fault{alone: true}), usualPause + busyLoad, usualPause + busyLoad},
		{"cut off from everything", onlyHolder(fault{store: true, runners: allZones, alone: true}), usualPause + takeover, usualPause + takeover},
		{"suspended", onlyHolder(fault{frozen: true}), usualPause + takeover, usualPause + takeover},
		// The holder leaves the lease to the side with more runners, and takes it again after that.
		{"zone cut off, both sides reach the store", cutHoldersZone(true), usualPause + takeover + reachDelay, usualPause + faultTime},
		{"a zone's runners cut off from all boxes", cutZoneFromAll, usualPause + faultTime, 2 * usualPause},
		// No box that reaches the runners of the zone reaches the store.
		{"zone cut off with the store outside", cutHoldersZone(false), usualPause + takeover, faultTime + usualPause},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				result := playFault(g, 3, c.faults)
				t.Log(result)
				g.Expect(result.pause).To(BeNumerically("<=", c.pause))

				g.Expect(result.took).To(BeNumerically("<=", longestRollout))
				g.Expect(result.homePause).To(BeNumerically("<=", c.homePause))
			})
		})
	}
}

// A box that orders no runners of an unreachable zone must find out that they respond again, also if no other box
// takes the lease.
func TestASingleBoxOrdersTheRunnersOfAZoneThatRespondsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		g.Expect(playFault(g, 1, cutZoneFromAll).took).To(BeNumerically("<=", longestRollout))
	})
}

// With the mechanism switched off, the gap must hold between orders to any two runners.
func TestWithoutRunnerGapsAllOrdersAreSeparatedByTheGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		switches, err := mechanism.Parse(string(mechanism.RunnerGaps))
		g.Expect(err).NotTo(HaveOccurred())
		p := &cutPlay{fleet: newBusyFleet(3 * time.Second), mechanisms: switches}
		p.run(g, 3, onlyHolder(fault{killed: true}))
		holders := map[string]bool{}
		for i, order := range p.orders {
			holders[order.holder] = true
			if i > 0 && order.holder != p.orders[i-1].holder {
				g.Expect(order.at.Sub(p.orders[i-1].at)).To(BeNumerically(">", orderGap))
			}
		}
		g.Expect(holders).To(HaveLen(2))
	})
}

// Any box may have any fault at the same time as the others. However the lease moves, orders of two boxes to one
// runner must be separated by the gap, no more than one in five runners may load at once, and each must load once.
// Where no box reaches the store, as with seed 118, the rollout begins again when the fault has ended.
func TestRandomFaultsOfSeveralBoxesKeepTheLimits(t *testing.T) {
	kinds := []fault{
		{}, {store: true}, {runners: allZones}, {runners: allZones[:1]}, {runners: allZones[1:]}, {store: true, runners: allZones[1:], alone: true}, {alone: true},
	}
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 118} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 3))
			result := playFault(g, 4, func(_, _ *cutBox) fault { return kinds[random.IntN(len(kinds))] })
			g.Expect(result.took).To(BeNumerically("<=", faultAfter+faultTime+takeover+troughRollout), "seed %d", seed)
		})
	}
}
