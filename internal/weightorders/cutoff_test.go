package weightorders_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
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
