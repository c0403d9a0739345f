package orderlease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const gap = 3 * time.Second

func start(ctx context.Context, log sharedlog.Log, holder string) *orderlease.Lease {
	lease := orderlease.New(orderlease.Config{Log: log, Logger: zerolog.Nop(), Holder: holder, Gap: gap})
	go lease.Loop(ctx)
	synctest.Wait()
	return lease
}

func TestTheFirstOrderAfterAnIdlePeriodWaitsForOneAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		lease := start(ctx, fakesharedlog.New(), "a")
		before := time.Now()
		_, ok := lease.PermitAll(ctx)
		g.Expect(ok).To(BeTrue())
		g.Expect(time.Since(before)).To(BeZero())
	})
}

func TestABoxThatStartsTreatsExistingRecordsAsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		_, ok := start(ctx, log, "a").PermitAll(ctx)
		g.Expect(ok).To(BeTrue())
		time.Sleep(time.Hour)
		late := start(ctx, log, "b")
		began := time.Now()
		for !permitted(ctx, late) {
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically(">", gap))
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*gap))
	})
}

func permitted(ctx context.Context, lease *orderlease.Lease) bool {
	_, ok := lease.PermitAll(ctx)
	return ok
}

func TestAnAppendThatTakesEffectLateGivesNoPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		a, b := start(ctx, log, "a"), start(ctx, log, "b")
		log.Underlying().SetFaults(fakelog.Faults{LateAppends: 1, Delay: 2 * time.Second})
		g.Expect(permitted(ctx, a)).To(BeFalse())
		log.Underlying().SetFaults(fakelog.Faults{})
		g.Expect(permitted(ctx, b)).To(BeTrue())
		time.Sleep(2500 * time.Millisecond)
		g.Expect(permitted(ctx, a)).To(BeFalse(), "the condition of its append no longer holds")
	})
}

// firstRestoredSeed is the first seed of histories in which the log comes back from copies. After a return a
// box that takes over waits with all runners.
const firstRestoredSeed = 30

// order is an order that a box sent.
type order struct {
	holder string
	runner string
	fence  int64
	at     time.Time
}

// Several boxes want to send orders all the time, and the log fails in every possible way; from
// firstRestoredSeed on it also comes back from copies. Orders of two boxes must be separated by the gap,
// and fencing tokens must increase from box to box.
func TestOrdersOfTwoBoxesAreSeparatedByTheGap(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			orders := history(random, seed >= firstRestoredSeed, func(ctx context.Context, lease *orderlease.Lease, _ *rand.Rand) (string, int64, bool) {
				fence, ok := lease.PermitAll(ctx)
				return "", fence, ok
			})
			g.Expect(len(orders)).To(BeNumerically(">", 20), "seed %d", seed)
			for i := 1; i < len(orders); i++ {
				before, now := orders[i-1], orders[i]
				if before.holder == now.holder {
					continue
				}
				g.Expect(now.at.Sub(before.at)).To(BeNumerically(">", gap), "seed %d", seed)
				g.Expect(now.fence).To(BeNumerically(">", before.fence), "seed %d", seed)
			}
		})
	}
}

// Boxes that take over order other runners at once, so only the list in the records separates two orders to
// the same runner. Boxes of the previous version, which append records without a list, take part.
func TestOrdersOfTwoBoxesToOneRunnerAreSeparatedByTheGap(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 1))
			orders := history(random, seed >= firstRestoredSeed, func(ctx context.Context, lease *orderlease.Lease, random *rand.Rand) (string, int64, bool) {
				if seed%3 == 0 && random.IntN(4) == 0 {
					fence, ok := lease.PermitAll(ctx)
					return "", fence, ok
				}
				if random.IntN(20) == 0 {
					lease.Release(ctx)
				}
				runner := fmt.Sprint("runner-", random.IntN(30))
				planned := func() []orderlease.Runner {
					return []orderlease.Runner{{Incarnation: fmt.Sprint("runner-", random.IntN(30))}}
				}
				fence, ok := lease.Permit(ctx, orderlease.Runner{Incarnation: runner}, planned)
				return runner, fence, ok
			})
			g.Expect(len(orders)).To(BeNumerically(">", 20), "seed %d", seed)
			early := 0
			for i, now := range orders {
				for _, before := range orders[:i] {
					if before.holder == now.holder {
						continue
					}
					if before.runner != "" && now.runner != "" && before.runner != now.runner {
						if now.at.Sub(before.at) < gap {
							early++
						}
						continue
					}
					g.Expect(now.at.Sub(before.at)).To(BeNumerically(">", gap), "seed %d", seed)
					g.Expect(now.fence).To(BeNumerically(">", before.fence), "seed %d", seed)
				}
			}
			g.Expect(seed%3 == 0 || seed >= firstRestoredSeed || early > 0).To(BeTrue(), "seed %d: boxes that take over wait with all runners", seed)
		})
	}
}

// A box that does not reach the log kept its runners out of service while their tasks waited for one failing
// append after the other.
func TestFailedAppendsDoNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		lease := start(ctx, log, "a")
		log.Underlying().SetFaults(fakelog.Faults{Delay: time.Hour})
		began := time.Now()
		var waiting sync.WaitGroup
		for range 20 {
			waiting.Go(func() { permitted(ctx, lease) })
		}
		waiting.Wait()
		g.Expect(time.Since(began)).To(BeNumerically("<=", time.Second))
	})
}

// request requests permission for an order, and returns the runner that it is for.
type request func(ctx context.Context, lease *orderlease.Lease, random *rand.Rand) (runner string, fence int64, ok bool)

// history lets four boxes send orders for two minutes of virtual time. If restores is set, the log comes
// back from copies some seconds old.
func history(random *rand.Rand, restores bool, ask request) []order {
	ctx, cancel := context.WithCancel(context.Background())
	log := fakesharedlog.New()
	var mu sync.Mutex
	var orders []order
	var boxes sync.WaitGroup
	for i := range 4 {
		name := fmt.Sprintf("box-%d", i)
		lease := start(ctx, log, name)
		pauses := rand.New(rand.NewPCG(random.Uint64(), 2))
		boxes.Go(func() {
			for ctx.Err() == nil {
				if runner, fence, ok := ask(ctx, lease, pauses); ok {
					mu.Lock()
					orders = append(orders, order{name, runner, fence, time.Now()})
					mu.Unlock()
				}
				pause := 100 * time.Millisecond
				if pauses.IntN(30) == 0 {
					pause = time.Duration(pauses.IntN(6000)) * time.Millisecond // like a frozen process
				}
				time.Sleep(pause)
			}
		})
	}
	copies := []fakelog.Copy{log.Copy()}
	for range 60 {
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		if restores && random.IntN(4) == 0 {
			log.Restore(copies[max(len(copies)-1-random.IntN(5), 0)])
		}
		copies = append(copies, log.Copy())
		log.Underlying().SetFaults(fakelog.Faults{
			Down: random.IntN(4) == 0, LoseResponses: random.IntN(3), LateAppends: random.IntN(2),
			Delay: time.Duration(random.IntN(400)) * time.Millisecond,
		})
	}
	cancel()
	boxes.Wait()
	synctest.Wait()
	return orders
}

// A box sent orders under the permission of an append that took effect after the log had come back from a
// copy, where another box had appended in the meantime.
func TestAnAppendOfAnEarlierEraGivesNoPermission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		a, b := start(ctx, log, "a"), start(ctx, log, "b")
		before := log.Copy()
		g.Expect(permitted(ctx, a)).To(BeTrue())
		log.Underlying().SetFaults(fakelog.Faults{LateAppends: 1, Delay: 2 * time.Second})
		time.Sleep(600 * time.Millisecond)
		g.Expect(permitted(ctx, a)).To(BeFalse(), "its renewal takes effect late")
		log.Underlying().SetFaults(fakelog.Faults{})
		log.Restore(before)
		time.Sleep(100 * time.Millisecond)
		g.Expect(permitted(ctx, b)).To(BeFalse(), "orders of the lost records may have been sent")
		time.Sleep(2 * time.Second)
		g.Expect(permitted(ctx, a)).To(BeFalse())
	})
}

// A box that starts after the log came back from a copy finds no record of the last holder, and sent
// orders at once.
func TestABoxThatStartsAfterTheLogCameBackWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		before := log.Copy()
		g.Expect(permitted(ctx, start(ctx, log, "a"))).To(BeTrue())
		log.Restore(before)
		late := start(ctx, log, "b")
		g.Expect(permitted(ctx, late)).To(BeFalse())
		began := time.Now()
		for !permitted(ctx, late) {
			time.Sleep(100 * time.Millisecond)
		}
		g.Expect(time.Since(began)).To(BeNumerically("~", gap+750*time.Millisecond, 200*time.Millisecond))
	})
}

// A box that releases the lease lets others begin at once, so it must not send orders under the permission that
// it still has, even if it does not reach the log.
func TestNoOrderIsPermittedAfterARelease(t *testing.T) {
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := fakesharedlog.New()
			lease := start(ctx, log, "a")
			g.Expect(permitted(ctx, lease)).To(BeTrue())
			log.Underlying().SetFaults(fakelog.Faults{Down: down})
			lease.Release(ctx)
			log.Underlying().SetFaults(fakelog.Faults{Down: true})
			g.Expect(permitted(ctx, lease)).To(BeFalse())
		})
	}
}
