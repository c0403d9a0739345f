package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

func TestABusyServerGetsNothingForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("only")
		for _, end := range []fleet.Outcome{fleet.OutcomeBusy, fleet.OutcomeMoved} {
			_, hold := choose(f)
			hold.Done(end)
			name, _ := choose(f)
			g.Expect(name).To(BeEmpty())
			time.Sleep(time.Second)
			name, hold = choose(f)
			g.Expect(name).To(Equal("only"))
			hold.Done(fleet.OutcomeServed)
		}
	})
}

// How late a first event is counts from when the prompts before it have been read too.
func TestACallIsOverdueAfterItsPromptShouldHaveBeenRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, PendingTokens: 6000}}) // 100 ms at the rate first assumed
		hold := f.Choose(prompt(1, 3000, 0))
		time.Sleep(400 * time.Millisecond)
		// 30 ms are granted for all that is not reading.
		g.Expect(hold.Overdue()).To(BeNumerically("~", 220*time.Millisecond, time.Millisecond))
		hold.Done(fleet.OutcomeServed)
	})
}
