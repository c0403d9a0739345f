package fleet_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

func TestARunnerUnderOrdersGetsNothingFromAnyBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		giver, other := newFleet("s"), newFleet("s")
		giver.BeginOrder("s", time.Now().Add(6*time.Second))
		name, _ := choose(giver)
		g.Expect(name).To(BeEmpty())
		other.SetRemoteLoads("giver", giver.Loads())
		name, _ = choose(other)
		g.Expect(name).To(BeEmpty())
		giver.EndOrder("s")
		giver.NoteWeights("s", "m", 2)
		other.SetRemoteLoads("giver", giver.Loads())
		time.Sleep(time.Second)
		hold := other.Choose(prompt(2, 10, 0))
		g.Expect(hold).NotTo(BeNil(), "the other box learns of the weights, and the pause ends")
	})
}

func TestWorkOfOtherBoxesIsReplacedNotAdded(t *testing.T) {
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
