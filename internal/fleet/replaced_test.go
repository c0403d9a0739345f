package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// All servers of a zone restarted, and the new incarnations rejected 4,314 calls within two seconds
// each time. Each box found out by itself that the incarnation that it knew had ended, and tried it
// again after half a second, while the entries of the old incarnations were still listed for four
// seconds. A call whose route allows one server was refused after such a rejection:
//
//	not_handed_over …; server_refused reason=421; address_reused found=i-…; call outcome=refused reason=no_server_answered
//
// The box that finds out must send no calls to the ended incarnation until its entry has lapsed,
// and report that to the others.
func TestReplacedIncarnationGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		detecting, other := withRunners("r"), withRunners("r")
		accepts := func(f *Fleet) bool {
			hold := f.Choose(grantQuery())
			if hold == nil {
				return false
			}
			hold.Done(OutcomeAbandoned)
			return true
		}
		excludedAtOther := func() bool {
			other.SetRemoteLoads("finder", detecting.Loads())
			return !accepts(other)
		}
		detecting.Choose(grantQuery()).Done(OutcomeReplaced)
		for range 40 {
			g.Expect(accepts(detecting)).To(BeFalse())
			g.Expect(excludedAtOther()).To(BeTrue())
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(maxEntryLifetime(DefaultHeartbeat))
		g.Expect(accepts(detecting)).To(BeTrue(), "its entry is still listed, so it may be running after all")
		g.Expect(excludedAtOther()).To(BeFalse())
	})
}

// An entry that is newer than the rejection shows that the server is running.
func TestNewEntryEndsReplacedState(t *testing.T) {
	g := NewWithT(t)
	f := withRunners("r")
	f.Choose(grantQuery()).Done(OutcomeReplaced)
	g.Expect(f.Choose(grantQuery())).To(BeNil())
	f.Apply([]Update{{Key: "r", Offset: 2, Server: &Server{Incarnation: "r", Service: "s", Slots: 4, Weights: map[string]int{"m": 1}}}})
	g.Expect(f.Choose(grantQuery())).NotTo(BeNil())
}
