package weightorders_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/weightorders"
)

// link is a box's link to the runners, which fails from a given time on.
type link struct {
	*runners
	began    time.Time
	cutAfter time.Duration
}

func (l link) isCut() bool { return l.cutAfter > 0 && time.Since(l.began) >= l.cutAfter }

func (l link) Report(ctx context.Context, server fleet.Server) (weightorders.Report, error) {
	if l.isCut() {
		<-ctx.Done()
		return weightorders.Report{}, ctx.Err()
	}
	return l.runners.Report(ctx, server)
}

func (l link) Order(ctx context.Context, server fleet.Server, order weightorders.Order) (bool, error) {
	if l.isCut() {
		<-ctx.Done()
		return false, errors.New("no answer")
	}
	return l.runners.Order(ctx, server, order)
}

// A box that holds the order lease and does not reach the runners kept the lease, took runners out of service
// for orders that it could not send, and no other box sent any.
func TestABoxThatDoesNotReachRunnersLeavesOrdersToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		r, log, began := newRunners(14), fakesharedlog.New(), time.Now()
		const cutAfter = 1500 * time.Millisecond
		for i := range 3 {
			name := fmt.Sprint("box-", i)
			f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
			for runner := range r.weights {
				f.Apply([]fleet.Update{{Key: runner, Offset: 1, Server: &fleet.Server{Incarnation: runner, Service: "s", Weights: map[string]int{"m": 1}}}})
			}
			lease := orderlease.New(orderlease.Config{Log: log, Logger: zerolog.Nop(), Holder: name, Gap: 3 * time.Second})
			path := link{runners: r, began: began}
			if i == 0 {
				path.cutAfter = cutAfter
			}
			controller := weightorders.New(weightorders.Config{
				Runners: path, Fleet: f, Lease: lease, Logger: zerolog.Nop(), Holder: name,
				Models: func() []string { return []string{"m"} }, TargetVersion: func(string) int { return 2 },
				Reaches: func(service string) bool { return service == "s" && !path.isCut() },
			})
			go lease.Loop(ctx)
			if i == 0 {
				go controller.Loop(ctx)
			} else {
				time.AfterFunc(time.Second, func() { controller.Loop(ctx) }) // the first box takes the lease
			}
		}
		for r.lowest() < 2 && time.Since(began) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(r.lowest()).To(Equal(2))
		// 1.2 s until another box takes over, 3.75 s between the orders of two boxes, and the loads.
		g.Expect(time.Since(began)).To(BeNumerically("<", 15*time.Second))
		g.Expect(r.maxLoading).To(BeNumerically("<=", 3))
	})
}
