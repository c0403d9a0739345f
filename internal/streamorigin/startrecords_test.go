package streamorigin

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// A box that starts records a stream of the only version, since it does not know the base version yet. The log drops
// that record. In the first seconds of a release after it, streams of the base version are refused when all boxes crash.
func TestARecordOfABoxThatStartedCountsAsOneThatIsMissing(t *testing.T) {
	for _, records := range []int{0, 1} {
		t.Run(fmt.Sprint(records), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1")
				bases := fakesharedlog.New() // this one keeps its newest records
				putBase(g, bases, baseversion.Base{Version: "v1", Present: true})
				b.cfg.Bases = baseversion.New(baseversion.Config{Log: bases, Eras: &sharedlog.Eras{}})
				for number := range records {
					g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(2*number), originAt("v1"))).To(BeTrue())
				}
				b.refreshBases(t.Context())
				marker := originlog.NewWriter(originlog.WriterConfig{Log: b.log, IsMarker: func() bool { return true }})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				b.loops.Go(func() { marker.Loop(ctx) })
				time.Sleep(30 * time.Second)
				b.log.Underlying().ExpireOlder(20 * time.Second)
				b.versions = []string{"v1", "v2"} // the release
				b.refreshBases(t.Context())
				for number := range 8 {
					g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(101+2*number), originAt("v2"))).To(BeTrue())
					b.refreshBases(t.Context())
					g.Expect(b.needsRecord(Origin{Service: service, Software: "v1"})).To(BeFalse(), "stream %d", number)
					time.Sleep(time.Second)
				}
				stop()
				b.stop() // all boxes crash
				started := startLoneBox(t, "v1", "v2")
				started.cfg.Reader, started.cfg.Bases = newTestReader(b.log), baseversion.New(baseversion.Config{Log: bases, Eras: &sharedlog.Eras{}})
				evidence := started.Find(t.Context(), keyOfNumber(500), service)
				evidence.Patience, evidence.MaxAge = 10*time.Second, 20*time.Second
				software, known := Decide(evidence, 0)
				g.Expect([]any{software, known}).To(Equal([]any{"v1", true}), "records from %d for %v", evidence.RecordsFrom, evidence.RecordsFor)
			})
		})
	}
}
