package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

func TestRunnerLoadingWeightsGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ordering, other := newFleet("s"), newFleet("s")
		ordering.BeginOrder("s", time.Now().Add(6*time.Second))
		name, _ := choose(ordering)
		g.Expect(name).To(BeEmpty())
		other.SetRemoteLoads("peer", ordering.Loads())
		name, _ = choose(other)
		g.Expect(name).To(BeEmpty())
		ordering.EndOrder("s")
		ordering.NoteWeights("s", "m", 2)
		other.SetRemoteLoads("peer", ordering.Loads())
		time.Sleep(time.Second)
		hold := other.Choose(prompt(2, 10, 0))
		g.Expect(hold).NotTo(BeNil(), "the weights are reported to the other box, and the pause ends")
	})
}

func TestRemoteLoadsAreReplaced(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("a", "b")
	for i := range 10 {
		f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "a", InFlight: 50 + i}})
	}
	for range 5 {
		name, hold := choose(f)
		g.Expect(name).To(Equal("b"))
		hold.Done(fleet.OutcomeServed)
	}
	f.SetRemoteLoads("other", nil)
	seen := map[string]bool{}
	for i := range 50 {
		name, hold := choose(f, fmt.Sprint("none-", i))
		seen[name] = true
		defer hold.Done(fleet.OutcomeServed)
	}
	g.Expect(seen).To(HaveLen(2))
}
