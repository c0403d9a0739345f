package loadshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

func TestBoxesFindEachOtherAndExpireStoppedOnes(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	versions := map[string][]registry.PeerWeights{"m": {{Version: 2, Age: 9 * time.Second}, {Version: 3, Age: time.Second, Undated: true}}}
	a := startBox(t, log, "a", versions)
	b := startBox(t, log, "b", map[string][]registry.PeerWeights{"m": {{Version: 2}}})
	g.Eventually(a.hasPeers, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(b.hasPeers, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Expect(<-b.received).To(Equal(versions))
	g.Expect(b.share.Peers()[0].Weights).To(Equal(map[string]int{"m": 3}))
	g.Expect(a.share.BoxCount()).To(Equal(2))
	a.stop()
	g.Eventually(b.hasPeers, 3*time.Second, 10*time.Millisecond).Should(BeFalse())
	g.Eventually(b.share.BoxCount, 3*time.Second, 10*time.Millisecond).Should(Equal(1), "a planned stop takes the box off the list")
}

func TestTheLoadOfOtherBoxesIsReceived(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	a, b := startBox(t, log, "a", nil), startBox(t, log, "b", nil)
	g.Eventually(b.hasPeers, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	prompt := fleet.Query{
		Service: "s", Model: "m", Load: placing.Query{PrefillLimit: 1}, PrefillWork: func(int) int { return 5000 },
		VersionCost: func(int) (float64, bool) { return 0, true },
	}
	for _, one := range []*box{a, b} {
		one.fleet.NoteWeights("s", "m", 1)
	}
	hold := a.fleet.Choose(prompt)
	g.Expect(hold).NotTo(BeNil())
	g.Eventually(func() *fleet.Hold { return b.fleet.Choose(prompt) }, 3*time.Second, 10*time.Millisecond).Should(BeNil(), "a's prompt takes the capacity")
	hold.Done(fleet.OutcomeServed)
}

// A box that starts while the log is unavailable cannot find any other box. Boxes that already know
// its address send it their reports, and a snapshot of the log when it requests one.
func TestABoxThatStartsWithoutTheLogReceivesTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	log, away := fakesharedlog.New(), fakesharedlog.New()
	away.Underlying().SetFaults(fakelog.Faults{Down: true})
	want := registry.Snapshot{
		Operator: []sharedlog.Record{{Key: "config", Value: []byte("v"), Offset: 7}}, Servers: []sharedlog.Record{{Key: "s", Value: []byte("ready"), Offset: 9}},
	}
	a, b := startBox(t, log, "a", nil), startBox(t, log, "b", nil)
	a.snapshot.Store(&want)
	b.snapshot.Store(&want)
	late := startBox(t, away, "late", nil)
	listBox(g, log, "late", late.address)
	g.Eventually(late.snapshot.Load, 5*time.Second, 10*time.Millisecond).Should(HaveValue(Equal(want)))
	g.Eventually(late.share.ListedCount, 3*time.Second, 10*time.Millisecond).Should(Equal(4), "three boxes are listed, and this one may not be")
	g.Eventually(a.hasPeers, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
}
