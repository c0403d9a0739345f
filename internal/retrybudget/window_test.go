package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/retrybudget"
)

const (
	window     = 10 * time.Second
	perRequest = 0.1
	burst      = 4.9
)

func windowConfig() retrybudget.Config {
	return retrybudget.Config{PerRequest: perRequest, Burst: burst, Initial: 1, Window: window}
}

// withdrawAll takes all retries that the budget allows.
func withdrawAll(budget *retrybudget.Budget) (retries int) {
	for budget.TryWithdraw() {
		retries++
	}
	return retries
}

// history has the first tries and retries of a service, for the bound on the retries in any window.
type history struct{ requests, retries []time.Time }

// within counts the times from one time to another.
func within(times []time.Time, from, to time.Time) (count int) {
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// checkWindows checks each window that begins with a retry. No other window has more retries.
func (h *history) checkWindows(g *WithT) {
	for _, from := range h.retries {
		requests := within(h.requests, from.Add(-window), from.Add(window))
		g.ExpectWithOffset(1, float64(within(h.retries, from, from.Add(window)))).To(BeNumerically("<=", burst+perRequest*float64(requests)+1e-6))
	}
}

// Guards against calls of one service that earn retries for another, which then gets more than its own
// calls allow.
func TestCallsOfOneServiceEarnRetriesForAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		set := retrybudget.NewSet(windowConfig())
		for range 1000 {
			set.Budget("busy").Deposit()
		}
		g.Expect(withdrawAll(set.Budget("failing"))).To(Equal(1))
		g.Expect(withdrawAll(set.Budget("busy"))).To(Equal(4))
		g.Expect(set.States()["failing"].Denied).To(BeEquivalentTo(1))
	})
}

// Guards against a service with few calls that waits for minutes until its calls have earned a retry.
func TestAServiceWithFewCallsHasRetriesAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		budget := retrybudget.NewSet(windowConfig()).Budget("quiet")
		withdrawAll(budget)
		time.Sleep(window / 2)
		budget.Deposit()
		g.Expect(withdrawAll(budget)).To(Equal(1))
		time.Sleep(window)
		g.Expect(withdrawAll(budget)).To(Equal(2))
	})
}

// Guards against a window with more retries than the burst and what its calls and those of the window
// before add, in random histories of load, outages and quiet times.
func TestRetriesInAWindowAreBounded(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 0))
				budget := retrybudget.NewSet(windowConfig()).Budget("s")
				h := &history{}
				for range 12 {
					h.phase(random, func() *retrybudget.Budget { return budget })
				}
				g.Expect(h.retries).NotTo(BeEmpty())
				h.checkWindows(g)
			})
		})
	}
}

// phase makes calls at a random rate for some seconds, of which a random part fails.
func (h *history) phase(random *rand.Rand, budget func() *retrybudget.Budget) {
	interval := time.Duration(1+random.IntN(1000)) * time.Millisecond
	failing := random.Float64()
	for end := time.Now().Add(time.Duration(random.Int64N(int64(window)))); time.Now().Before(end); time.Sleep(interval) {
		if random.IntN(4) > 0 {
			budget().Deposit()
			h.requests = append(h.requests, time.Now())
		}
		for range 3 {
			if random.Float64() < failing && budget().TryWithdraw() {
				h.retries = append(h.retries, time.Now())
			}
		}
	}
}

// Guards against a service that has its saved retries anew each time that it is removed and added again,
// also where configurations change quickly.
func TestAServiceThatComesBackHasNoNewRetries(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 1))
				set := retrybudget.NewSet(windowConfig())
				time.Sleep(time.Minute)
				h := &history{}
				for range 30 {
					h.phase(random, func() *retrybudget.Budget {
						set.DropUnused(func(string) bool { return random.IntN(3) > 0 })
						return set.Budget("s")
					})
					time.Sleep(time.Duration(random.Int64N(int64(2 * window))))
				}
				g.Expect(h.retries).NotTo(BeEmpty())
				h.checkWindows(g)
			})
		})
	}
}

// Guards against budgets of removed services that are kept forever, and against ones that are dropped
// while their service is configured.
func TestBudgetsOfRemovedServicesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		set := retrybudget.NewSet(windowConfig())
		const perSecond = 20
		for number := range 1000 {
			set.Budget("stays").TryWithdraw()
			set.Budget(fmt.Sprint("service-", number)).TryWithdraw()
			set.DropUnused(func(service string) bool { return service == "stays" })
			g.Expect(len(set.States())).To(BeNumerically("<=", perSecond*int(window/time.Second)+2))
			time.Sleep(time.Second / perSecond)
		}
		time.Sleep(window + time.Second)
		set.DropUnused(func(service string) bool { return service == "stays" })
		g.Expect(set.States()).To(And(HaveLen(1), HaveKey("stays")))
	})
}

// Guards against boxes that have more than their part at once when others leave or are not known yet.
func TestALargerBurstIsNotGrantedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		set := retrybudget.NewSet(windowConfig())
		time.Sleep(window)
		g.Expect(withdrawAll(set.Budget("s"))).To(Equal(2))
		set.SetBurst(40)
		g.Expect(withdrawAll(set.Budget("s"))).To(BeZero())
		time.Sleep(window)
		g.Expect(withdrawAll(set.Budget("s"))).To(Equal(20))
	})
}

// Guards against a small burst, as in a large fleet, that allows no retry at all.
func TestASmallBurstAllowsARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		set := retrybudget.NewSet(retrybudget.Config{PerRequest: perRequest, Burst: 1, Initial: 1, Window: window})
		g.Expect(withdrawAll(set.Budget("s"))).To(Equal(1))
		for range 20 {
			set.Budget("s").Deposit()
		}
		g.Expect(withdrawAll(set.Budget("s"))).To(Equal(1))
	})
}
