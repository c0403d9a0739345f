package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

func down(log *fakesharedlog.Log) { log.Faults().SetFaults(fakelog.Faults{Down: true}) }

// handed is what another box read: configuration 2, weights 3 of model "m", a server.
var handed = registry.Snapshot{
	Operator: []sharedlog.Record{{Key: "config", Value: []byte("vv"), Offset: 4}, {Key: "m", Value: []byte("www"), Offset: 5}},
	Servers:  []sharedlog.Record{{Key: "server", Value: []byte("ready"), Offset: 8}},
}

func TestABoxWithoutTheLogServesByWhatAnotherRead(t *testing.T) {
	bubbleAfter(t, down, func(g *WithT, w *world) {
		time.Sleep(time.Minute)
		g.Expect(w.registry.Snapshot()).To(BeNil())
		w.registry.Adopt(handed)
		g.Expect(w.version()).To(BeEquivalentTo(2))
		g.Expect(w.serves()).To(BeTrue())
		since, outdated := w.registry.OutdatedSince("m", 2)
		g.Expect(outdated).To(BeTrue())
		g.Expect(since.Undated()).To(BeTrue(), "nobody said how old the weights are")
		g.Expect(w.registry.OperatorReadAt().IsZero()).To(BeTrue(), "it has not read the log")
		g.Expect(w.registry.Snapshot()).NotTo(BeNil())
	})
}

func TestWhatTheLogSaysGoesBeforeWhatWasAdopted(t *testing.T) {
	bubbleAfter(t, down, func(g *WithT, w *world) {
		time.Sleep(time.Second)
		w.registry.Adopt(handed)
		w.log.Put(sharedlog.Operator, "config", []byte("vvvv")) // and the log is back
		time.Sleep(time.Minute)
		g.Expect(w.version()).To(BeEquivalentTo(4))
		g.Expect(w.serves()).To(BeFalse(), "the log does not know the server")
	})
}

func TestABoxThatHasAConfigurationAdoptsNothing(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.log.Put(sharedlog.Operator, "config", []byte("v"))
		time.Sleep(time.Second)
		w.registry.Adopt(handed)
		g.Expect(w.version()).To(BeEquivalentTo(1))
		g.Expect(w.serves()).To(BeFalse())
		g.Expect(w.registry.Snapshot().Operator).To(Equal([]sharedlog.Record{{Key: "config", Value: []byte("v"), Offset: 0}}))
	})
}

// Other boxes hand over all that the log holds, which is much in a large fleet. So a box
// asks for it only when it has found that it cannot read the log.
func TestABoxThatIsAboutToReadTheLogLacksNothing(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		g.Expect(w.registry.NeedsSnapshot()).To(BeFalse())
		time.Sleep(10 * time.Second)
		g.Expect(w.registry.NeedsSnapshot()).To(BeFalse(), "there is no configuration yet, for nobody")
	})
	before := registry.New(registry.Config{Log: fakesharedlog.New(), Decoder: decoder{}, Logger: zerolog.Nop()})
	NewWithT(t).Expect(before.NeedsSnapshot()).To(BeFalse(), "it has not asked the log yet")
	bubbleAfter(t, down, func(g *WithT, w *world) {
		time.Sleep(1500 * time.Millisecond)
		g.Expect(w.registry.NeedsSnapshot()).To(BeTrue())
		w.registry.Adopt(registry.Snapshot{Operator: []sharedlog.Record{{Key: "config", Value: []byte("v"), Offset: 1}}})
		g.Expect(w.registry.NeedsSnapshot()).To(BeFalse())
	})
}
