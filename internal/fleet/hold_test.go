package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

func TestRejectionPausesServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("only")
		for _, outcome := range []fleet.Outcome{fleet.OutcomeBusy, fleet.OutcomeMoved} {
			_, hold := choose(f)
			hold.Done(outcome)
			name, _ := choose(f)
			g.Expect(name).To(BeEmpty())
			time.Sleep(time.Second)
			name, hold = choose(f)
			g.Expect(name).To(Equal("only"))
			hold.Done(fleet.OutcomeServed)
		}
	})
}

// A call is overdue only after the expected prefill of the prompts before it.
func TestOverdueCountsFromExpectedPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		f.SetRemoteLoads("other", []fleet.Load{{Incarnation: "s", InFlight: 1, PendingTokens: 6000}}) // 100 ms at the initial rate
		hold := f.Choose(prompt(1, 3000, 0))
		time.Sleep(400 * time.Millisecond)
		// 30 ms are allowed for everything besides prefill.
		g.Expect(hold.Overdue()).To(BeNumerically("~", 220*time.Millisecond, time.Millisecond))
		hold.Done(fleet.OutcomeServed)
	})
}
