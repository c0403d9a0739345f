package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

func TestSuspectTimeGrowsWithEachFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("bad")
		_, other := choose(f)
		var pauses []time.Duration
		for range 4 {
			_, hold := choose(f)
			hold.Done(fleet.OutcomeUnreachable)
			failed := time.Now()
			for other.NoteEvent(); !other.IsResponsive(); other.NoteEvent() {
				time.Sleep(50 * time.Millisecond)
			}
			pauses = append(pauses, time.Since(failed))
		}
		for i := 1; i < len(pauses); i++ {
			g.Expect(pauses[i]).To(BeNumerically(">", pauses[i-1]))
		}
	})
}

func TestSuspectServersServeIfAllAreSuspect(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("only")
	_, hold := choose(f)
	hold.Done(fleet.OutcomeUnreachable)
	name, _ := choose(f)
	g.Expect(name).To(Equal("only"))
}

func TestSilentServerWithCallsIsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("mute", "good")
		_, hold := choose(f, "good")
		g.Expect(hold.IsResponsive()).To(BeTrue())
		time.Sleep(5 * time.Second)
		g.Expect(hold.IsResponsive()).To(BeFalse())
		for range 10 {
			name, other := choose(f)
			g.Expect(name).To(Equal("good"))
			other.Done(fleet.OutcomeServed)
		}
		hold.NoteEvent()
		g.Expect(hold.IsResponsive()).To(BeTrue())
	})
}
