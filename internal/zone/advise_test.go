package zone

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
)

// answerWith returns a response with an advisory that was received just now.
func answerWith(advice advisory.Advisory) advisory.Answer {
	return advisory.Answer{Advisory: advice, Sent: time.Now(), Received: time.Now(), Genuine: true}
}

// countPlaced sends a request every 10 ms for the given time and counts the runs on each runner.
func countPlaced(view *View, length time.Duration) map[string]int {
	counts := map[string]int{}
	policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		choice, ok := Choose(view, policy, Query{Model: "m", Weights: "v1", Chain: chainOf("rulebook", 4)})
		if ok {
			counts[choice.Server.Name]++
			choice.Handle.Done(true)
		}
	}
	return counts
}

func TestRunnersReceiveAtMostTheirRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(2)
		view.ApplyAdvisory("0", answerWith(advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: 2}))
		counts := countPlaced(view, 5*time.Second)
		g.Expect(counts["r000"]).To(BeNumerically("<=", 11))
		g.Expect(counts["r000"] + counts["r001"]).To(Equal(500))
		g.Expect(view.UnavailableFor("m")).To(BeZero())

		view.ApplyAdvisory("1", answerWith(advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: 0.5}))
		counts = countPlaced(view, 4*time.Second)
		g.Expect(counts["r000"]).To(BeNumerically("~", 8, 1))
		g.Expect(counts["r001"]).To(BeNumerically("~", 2, 1))
		g.Expect(view.UnavailableFor("m")).To(BeNumerically("~", 250*time.Millisecond, 250*time.Millisecond))

		for address, perSecond := range map[string]float64{"0": 2, "1": 0.5} {
			view.ApplyAdvisory(address, answerWith(advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: perSecond}))
		}
		other := newView(2)
		other.limitPosition = func(string) advisory.Position { return advisory.Position{Rank: 9, Present: 10, Listed: 10} }
		other.ApplyAdvisoryReports(view.AdvisoryReports())
		g.Expect(countPlaced(other, time.Second)).To(BeEmpty(), "the limit must apply to other boxes, and this one has no share of it")

		view.ApplyStatus("r000", engine.Status{Incarnation: "a", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}})
		view.ApplyStatus("r000", engine.Status{Incarnation: "b", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}})
		g.Expect(countPlaced(view, time.Second)["r000"]).To(BeNumerically(">", 50), "the limit must not apply to the next incarnation")
	})
}

func TestDrainingRunnersReceiveNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(2)
		view.ApplyAdvisory("0", answerWith(advisory.Advisory{Draining: true}))
		g.Expect(countPlaced(view, time.Second)).To(Equal(map[string]int{"r001": 100}))
		other := newView(2)
		other.ApplyAdvisoryReports(view.AdvisoryReports())
		g.Expect(countPlaced(other, time.Second)).To(Equal(map[string]int{"r001": 100}), "other boxes must exclude it too")

		loaded := []engine.LoadedWeights{{Model: "m", Version: "v1"}}
		takes := func() bool {
			policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
			_, ok := Choose(view, policy, Query{Model: "m", Weights: "v1", Chain: chainOf("rulebook", 4), Exclude: []string{"r001"}})
			return ok
		}
		view.ApplyStatus("r000", engine.Status{Leaving: true, Weights: loaded})
		g.Expect(takes()).To(BeFalse())
		view.ApplyStatus("r000", engine.Status{Weights: loaded})
		g.Expect(takes()).To(BeTrue(), "the runner reports that it is no longer leaving")
	})
}

func TestPausedRunnersReceiveNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(2)
		view.ApplyAdvisory("0", answerWith(advisory.Advisory{Pause: 3 * time.Second}))
		g.Expect(countPlaced(view, time.Second)).To(Equal(map[string]int{"r001": 100}))
		view.ApplyAdvisory("1", answerWith(advisory.Advisory{Pause: time.Second}))
		g.Expect(view.UnavailableFor("m")).To(Equal(time.Second))
		g.Expect(countPlaced(view, time.Second)).To(BeEmpty())
		g.Expect(countPlaced(view, time.Second)).To(HaveLen(1))
	})
}
