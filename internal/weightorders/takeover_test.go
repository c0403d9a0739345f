package weightorders

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/orderlease"
)

// delayedRunner executes an order of another box, which its reports show from a given time on.
type delayedRunner struct {
	shown, ends time.Time
	polls       []time.Time
}

func (r *delayedRunner) Report(context.Context, fleet.Server) (Report, error) {
	now := time.Now()
	r.polls = append(r.polls, now)
	return Report{Weights: map[string]int{"m": 1}, Busy: !now.Before(r.shown) && now.Before(r.ends)}, nil
}

func (*delayedRunner) Order(context.Context, fleet.Server, Order) (bool, error) {
	panic("a watched runner must not get an order")
}

// Right after the previous holder released the lease, the report of a runner that it had just ordered says that
// no order is being executed. The runner must occupy a loading slot all the same, or too many load at once.
func TestAWatchEndsOnlyByAReportThatIncludesTheLastOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log, server := fakesharedlog.New(), fleet.Server{Incarnation: "runner"}
		leases := map[string]*orderlease.Lease{}
		for _, name := range []string{"a", "b"} {
			leases[name] = orderlease.New(orderlease.Config{Log: log, Logger: zerolog.Nop(), Holder: name, Gap: 3 * time.Second})
			go leases[name].Loop(ctx)
		}
		synctest.Wait()
		planned := func() []orderlease.Runner { return []orderlease.Runner{leaseRunner(server)} }
		_, ok := leases["a"].Permit(ctx, leaseRunner(server), planned)
		g.Expect(ok).To(BeTrue())
		leases["a"].Release(ctx)
		synctest.Wait()
		g.Expect(leases["b"].Hold(ctx, func() []orderlease.Runner { return nil })).To(BeTrue(), "the lease is released")

		began := time.Now()
		runner := &delayedRunner{shown: began.Add(500 * time.Millisecond), ends: began.Add(time.Second)}
		c := New(Config{Runners: runner, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Lease: leases["b"], Logger: zerolog.Nop()})
		state := c.model("m")
		state.loading = 1
		c.runWatch(ctx, task{server: server, model: "m", version: 2, state: state}, boottime.Now().Add(4*time.Second))
		g.Expect(time.Since(began)).To(BeNumerically(">=", time.Second))
		g.Expect(time.Since(began)).To(BeNumerically("<", 1200*time.Millisecond))
		g.Expect(state.loading).To(BeZero())
	})
}

// One runner that does not respond, or several among others that do, say nothing about their zone. A zone that
// is unreachable must be polled again, or its runners get no orders after the fault.
func TestAZoneIsUnreachableOnlyIfNoneOfItsRunnersRespond(t *testing.T) {
	g := NewWithT(t)
	zone, now := &zoneReach{}, time.Now()
	g.Expect(zone.verified(now)).To(BeFalse())
	for range 10 {
		zone.note("a", false, now)
	}
	g.Expect(zone.unreachable()).To(BeFalse(), "a single runner")
	zone.note("b", false, now)
	zone.note("c", true, now)
	zone.note("d", false, now)
	zone.note("e", false, now)
	g.Expect(zone.unreachable()).To(BeFalse(), "one has responded in between")
	zone.note("f", false, now)
	g.Expect(zone.unreachable()).To(BeTrue())
	g.Expect(zone.probeDue(now)).To(BeTrue())
	g.Expect(zone.probeDue(now.Add(zoneProbeInterval - 1))).To(BeFalse())
	g.Expect(zone.probeDue(now.Add(zoneProbeInterval))).To(BeTrue())
	zone.note("f", true, now)
	g.Expect(zone.unreachable()).To(BeFalse())
	g.Expect(zone.verified(now)).To(BeTrue())
	g.Expect(zone.verified(now.Add(verifiedFor + 1))).To(BeFalse())
}
