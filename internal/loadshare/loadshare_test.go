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

func TestBoxesFindEachOtherAndForgetTheSilent(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	told := map[string][]registry.PeerWeights{"m": {{Version: 2, Age: 9 * time.Second}, {Version: 3, Age: time.Second, Undated: true}}}
	a := start(t, log, "a", told)
	b := start(t, log, "b", map[string][]registry.PeerWeights{"m": {{Version: 2}}})
	g.Eventually(a.knows, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Eventually(b.knows, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	g.Expect(<-b.heard).To(Equal(told))
	g.Expect(b.share.Peers()[0].Weights).To(Equal(map[string]int{"m": 3}))
	g.Expect(a.share.Boxes()).To(Equal(2))
	a.stop()
	g.Eventually(b.knows, 3*time.Second, 10*time.Millisecond).Should(BeFalse())
	g.Eventually(b.share.Boxes, 3*time.Second, 10*time.Millisecond).Should(Equal(1), "a planned stop takes the box off the list")
}

func TestTheWorkOfOtherBoxesIsKnown(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	a, b := start(t, log, "a", nil), start(t, log, "b", nil)
	g.Eventually(b.knows, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
	prompt := fleet.Query{
		Service: "s", Model: "m", Load: placing.Query{ReadLimit: 1}, Work: func(int) int { return 5000 },
		Outdated: func(int) (float64, bool) { return 0, true },
	}
	for _, one := range []*box{a, b} {
		one.fleet.NoteWeights("s", "m", 1)
	}
	hold := a.fleet.Choose(prompt)
	g.Expect(hold).NotTo(BeNil())
	g.Eventually(func() *fleet.Hold { return b.fleet.Choose(prompt) }, 3*time.Second, 10*time.Millisecond).Should(BeNil(), "a's prompt is in the way")
	hold.Done(fleet.EndServed)
}

// A box that starts while the log is away is not on the way to any other. Those that
// knew its address tell it of their work, and hand it what they read when it asks.
func TestABoxThatStartsWithoutTheLogIsHandedTheConfiguration(t *testing.T) {
	g := NewWithT(t)
	log, away := fakesharedlog.New(), fakesharedlog.New()
	away.Faults().SetFaults(fakelog.Faults{Down: true})
	want := registry.Snapshot{
		Operator: []sharedlog.Record{{Key: "config", Value: []byte("v"), Offset: 7}}, Servers: []sharedlog.Record{{Key: "s", Value: []byte("ready"), Offset: 9}},
	}
	a, b := start(t, log, "a", nil), start(t, log, "b", nil)
	a.snapshot.Store(&want)
	b.snapshot.Store(&want)
	late := start(t, away, "late", nil)
	list(g, log, "late", late.address)
	g.Eventually(late.snapshot.Load, 5*time.Second, 10*time.Millisecond).Should(HaveValue(Equal(want)))
	g.Eventually(late.share.Roll, 3*time.Second, 10*time.Millisecond).Should(Equal(4), "three are listed, and it may not be")
	g.Eventually(a.knows, 3*time.Second, 10*time.Millisecond).Should(BeTrue())
}
