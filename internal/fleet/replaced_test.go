package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// All servers of a zone came back in another life, and 4,314 calls were refused by these within two
// seconds each time: every box found out for itself that the life it knew was over, asked again
// after half a second, and the entries of the old lives stood in the registry for four seconds. A
// call whose route allows one server was refused with that.
//
//	not_handed_over …; server_refused reason=421; address_reused found=i-…; call outcome=refused reason=no_server_answered
//
// The box that finds out keeps calls from the life that ended until its entry has lapsed, and tells
// the others.
func TestALifeThatEndedIsCalledByNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		finder, other := withRunners("r"), withRunners("r")
		serves := func(f *Fleet) bool {
			hold := f.Choose(grantQuery())
			if hold == nil {
				return false
			}
			hold.Done(OutcomeAbandoned)
			return true
		}
		told := func() bool {
			other.SetRemoteLoads("finder", finder.Loads())
			return !serves(other)
		}
		finder.Choose(grantQuery()).Done(OutcomeReplaced)
		for range 40 {
			g.Expect(serves(finder)).To(BeFalse())
			g.Expect(told()).To(BeTrue())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(lapseTime(DefaultHeartbeat))
		g.Expect(serves(finder)).To(BeTrue(), "its entry still stands, so it may live after all")
		g.Expect(told()).To(BeFalse())
	})
}

// An entry that is newer than the refusal shows that the server lives.
func TestALifeThatEntersItselfAgainIsCalled(t *testing.T) {
	g := NewWithT(t)
	f := withRunners("r")
	f.Choose(grantQuery()).Done(OutcomeReplaced)
	g.Expect(f.Choose(grantQuery())).To(BeNil())
	f.Apply([]Update{{Key: "r", Offset: 2, Server: &Server{Incarnation: "r", Service: "s", Slots: 4, Weights: map[string]int{"m": 1}}}})
	g.Expect(f.Choose(grantQuery())).NotTo(BeNil())
}
