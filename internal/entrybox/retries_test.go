package entrybox

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/retrybudget"
)

// retryReplay replays the calls of services at several boxes, without a network.
type retryReplay struct {
	settings Settings
	boxes    []*retrybudget.Set
	services []*replayedService
}

// replayedService is a service whose calls fail at a server with some probability.
type replayedService struct {
	name      string
	perSecond float64
	failing   float64
	calls     []time.Time
	retries   []time.Time
	// failed is the number of calls that failed at their first server.
	failed int
}

// replayStep is the time between two steps of a replay.
const replayStep = 20 * time.Millisecond

func newRetryReplay(boxes int, services ...*replayedService) *retryReplay {
	r := &retryReplay{settings: Settings{}.withDefaults(), boxes: make([]*retrybudget.Set, boxes), services: services}
	r.restart()
	return r
}

// restart starts all boxes anew.
func (r *retryReplay) restart() {
	for i := range r.boxes {
		r.boxes[i] = newRetryBudgets(r.settings)
		r.boxes[i].SetBurst(retryBurst(r.settings, len(r.boxes)))
	}
}

// play sends the calls of all services for some time.
func (r *retryReplay) play(random *rand.Rand, length time.Duration) {
	for began := time.Now(); time.Since(began) < length; time.Sleep(replayStep) {
		for _, service := range r.services {
			for due := service.perSecond * replayStep.Seconds(); due > 0; due-- {
				if random.Float64() < due {
					service.call(random, r.boxes[random.IntN(len(r.boxes))].Budget(service.name))
				}
			}
		}
	}
}

// call sends a call to a server, and to another one if that fails.
func (s *replayedService) call(random *rand.Rand, budget *retrybudget.Budget) {
	budget.Deposit()
	s.calls = append(s.calls, time.Now())
	if random.Float64() >= s.failing {
		return
	}
	s.failed++
	if budget.TryWithdraw() {
		s.retries = append(s.retries, time.Now())
	}
}

// worstWindow returns the retries in the window that is nearest to what the platform allows or exceeds it
// most, and what it allows there.
func (s *replayedService) worstWindow(settings Settings) (retries int, allowed float64) {
	within := func(times []time.Time, from time.Time) (count int) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(settings.RetryWindow)) {
				count++
			}
		}
		return count
	}
	for _, from := range s.retries {
		calls := max(within(s.calls, from), within(s.calls, from.Add(-settings.RetryWindow/2)), within(s.calls, from.Add(-settings.RetryWindow)))
		made, bound := within(s.retries, from), settings.RetryRatio*float64(calls)+settings.RetrySlack
		if allowed == 0 || float64(made)-bound > float64(retries)-allowed {
			retries, allowed = made, bound
		}
	}
	return retries, allowed
}

// Guards against more retries at a failing service than its own calls allow, where other services have many
// more calls, and also where all boxes restart meanwhile.
func TestRetriesAtAFailingServiceAreBoundedBesideABusyOne(t *testing.T) {
	tests := []struct {
		name      string
		boxes     int
		perSecond float64
		// restarts is the number of restarts of all boxes, within a window.
		restarts int
	}{
		{"one box", 1, 30, 0},
		{"eight boxes", 8, 30, 0},
		{"eight boxes, few calls", 8, 3, 0},
		{"eight boxes that restart", 8, 30, 5},
		{"35 boxes", 35, 30, 0},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprint(test.name, ", seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					random := rand.New(rand.NewPCG(seed, 0))
					failing := &replayedService{name: "failing", perSecond: test.perSecond, failing: 1}
					other := &replayedService{name: "failing too", perSecond: test.perSecond, failing: 0.5}
					busy := &replayedService{name: "busy", perSecond: 300}
					r := newRetryReplay(test.boxes, busy, failing, other)
					window := r.settings.RetryWindow
					r.play(random, window)
					for range test.restarts {
						r.restart()
						r.play(random, window/time.Duration(test.restarts+1))
					}
					r.play(random, 2*window)
					for _, service := range r.services {
						retries, allowed := service.worstWindow(r.settings)
						t.Logf("%s: %d of %d failed calls retried; %d retries in a window, %.0f allowed", service.name, len(service.retries), service.failed, retries, allowed)
						g.Expect(float64(retries)).To(BeNumerically("<=", allowed), service.name)
					}
					g.Expect(len(failing.retries)).To(BeNumerically(">=", len(failing.calls)/20), "calls are retried")
				})
			})
		}
	}
}

// Guards against a service with few calls whose failed calls find no retry, because its calls earn one a
// minute and those of other services do not count.
func TestCallsOfAServiceWithFewCallsAreRetried(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				quiet := &replayedService{name: "quiet", perSecond: 5, failing: 0.3}
				r := newRetryReplay(8, quiet)
				r.play(rand.New(rand.NewPCG(seed, 1)), time.Minute)
				t.Logf("%d of %d failed calls retried", len(quiet.retries), quiet.failed)
				g.Expect(len(quiet.retries)).To(BeNumerically(">=", 9*quiet.failed/10))
			})
		})
	}
}

// Guards against parts of the slack that add up to more than the slack.
func TestThePartsOfTheSlackAddUpToLessThanTheSlack(t *testing.T) {
	g := NewWithT(t)
	settings := Settings{}.withDefaults()
	for boxes := 1; boxes <= int(settings.RetrySlack); boxes++ {
		g.Expect(float64(boxes)*retryBurst(settings, boxes)).To(BeNumerically("<=", settings.RetrySlack), fmt.Sprint(boxes, " boxes"))
	}
}
