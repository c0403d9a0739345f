package weightorders_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
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

const loadTime = 1100 * time.Millisecond

// runners simulates runners of model "m" in memory.
type runners struct {
	mu         sync.Mutex
	random     *rand.Rand
	weights    map[string]int
	orders     map[string]int64
	busy       map[string]bool
	loading    int
	maxLoading int
	received   []weightorders.Order
	// unanswered is the fraction of orders that get no answer. Half of these are executed seconds
	// later, if their condition still holds.
	unanswered float64
}

func newRunners(count int) *runners {
	r := &runners{random: rand.New(rand.NewPCG(1, 1)), weights: map[string]int{}, orders: map[string]int64{}, busy: map[string]bool{}}
	for i := range count {
		r.weights[fmt.Sprint("runner-", i)] = 1
	}
	return r
}

func (r *runners) Report(_ context.Context, server fleet.Server) (weightorders.Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := server.Incarnation
	return weightorders.Report{Weights: map[string]int{"m": r.weights[name]}, Busy: r.busy[name], Orders: r.orders[name]}, nil
}

func (r *runners) Order(_ context.Context, server fleet.Server, order weightorders.Order) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = append(r.received, order)
	if r.random.Float64() < r.unanswered {
		if r.random.IntN(2) == 0 {
			time.AfterFunc(time.Duration(2+r.random.IntN(9))*time.Second, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				_, _ = r.execute(server.Incarnation, order)
			})
		}
		return false, errors.New("no answer")
	}
	return r.execute(server.Incarnation, order)
}

func (r *runners) execute(name string, order weightorders.Order) (bool, error) {
	if r.busy[name] || order.AfterOrders != r.orders[name] {
		return false, weightorders.ErrConflict
	}
	r.orders[name]++
	r.busy[name] = true
	r.loading++
	r.maxLoading = max(r.maxLoading, r.loading)
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.busy[name] = false
		r.loading--
		r.weights[name] = order.Version
	})
	return false, nil
}

func (r *runners) lowest() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	lowest := 1 << 30
	for _, weights := range r.weights {
		lowest = min(lowest, weights)
	}
	return lowest
}

// startControllers starts boxes that all try to send orders.
func startControllers(ctx context.Context, r *runners, count int, target func() int) {
	log := fakesharedlog.New()
	for i := range count {
		name := fmt.Sprint("box-", i)
		f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
		for runner := range r.weights {
			f.Apply([]fleet.Update{{Key: runner, Offset: 1, Server: &fleet.Server{Incarnation: runner, Service: "s", Weights: map[string]int{"m": 1}}}})
		}
		lease := orderlease.New(orderlease.Config{Log: log, Logger: zerolog.Nop(), Holder: name, Gap: 3 * time.Second})
		controller := weightorders.New(weightorders.Config{
			Runners: r, Fleet: f, Lease: lease, Logger: zerolog.Nop(), Holder: name,
			Models: func() []string { return []string{"m"} }, TargetVersion: func(string) int { return target() },
		})
		go lease.Loop(ctx)
		go controller.Loop(ctx)
	}
}

// rollOut plays a rollout of the version that target returns at each moment. It returns how long
// it took until all runners had the last version.
func rollOut(r *runners, last int, target func(passed time.Duration) int) time.Duration {
	ctx, cancel := context.WithCancel(context.Background())
	defer synctest.Wait()
	defer cancel()
	began := time.Now()
	startControllers(ctx, r, 3, func() int { return target(time.Since(began)) })
	for r.lowest() < last && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	took := time.Since(began)
	time.Sleep(15 * time.Second) // wait for remaining loads and late orders
	return took
}

func TestWeightsReachAllRunnersAFewAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRunners(14)
		took := rollOut(r, 2, func(time.Duration) int { return 2 })
		g.Expect(r.lowest()).To(Equal(2))
		g.Expect(took).To(BeNumerically("<", 9*time.Second))
		g.Expect(r.maxLoading).To(BeNumerically("<=", 3))
		g.Expect(r.received).To(HaveLen(14), "each runner is ordered once")
		holders := map[string]bool{}
		for _, order := range r.received {
			holders[order.Holder] = true
		}
		g.Expect(holders).To(HaveLen(1))
	})
}

func TestTwoVersionsInARowReachTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRunners(14)
		took := rollOut(r, 3, func(passed time.Duration) int {
			if passed < 4*time.Second {
				return 2
			}
			return 3
		})
		g.Expect(r.lowest()).To(Equal(3))
		g.Expect(took).To(BeNumerically("<", 15*time.Second))
	})
}

func TestOrdersThatAreLostOrExecutedLateDoNotRevertWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := newRunners(14)
		r.unanswered = 0.4
		took := rollOut(r, 3, func(passed time.Duration) int {
			if passed < 4*time.Second {
				return 2
			}
			return 3
		})
		g.Expect(r.lowest()).To(Equal(3))
		g.Expect(took).To(BeNumerically("<", 40*time.Second))
	})
}
