package streamorigin

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// All boxes crash and the log comes back from a copy at once. A stream of another version, whose record the log has
// lost, continued at the base version if that was the only one listed: servers that came after the copy was made have
// not written to the log again yet, or have left meanwhile.
func TestAStreamWhoseRecordTheLogLostContinuesAtTheVersionThatIsListedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		copied := b.log.Copy()
		b.refreshBases(t.Context())
		g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(1), originOf(1))).To(BeTrue())
		b.stop()
		b.log.Restore(copied)
		started := startLoneBox(t, "v1") // v2 is not listed again yet
		started.log = b.log
		started.cfg.Reader, started.cfg.Bases, started.era = newTestReader(b.log), baseversion.New(baseversion.Config{Log: b.log}), 1
		time.Sleep(2 * time.Second)
		evidence := started.Find(t.Context(), keyOfNumber(1), service)
		evidence.Patience, evidence.MaxAge = 10*time.Second, 20*time.Second
		software, known := Decide(evidence, 0)
		g.Expect(known).To(BeFalse(), "it began at v2 and continues at %s", software)
	})
}

// All boxes crash and the log comes back from a copy at once. All streams of a service with a single version were refused
// until a box had been running for as long as callers resume streams.
func TestStreamsOfTheOnlyVersionAreRefusedAfterTheLogCameBackAndAllBoxesCrashed(t *testing.T) {
	tests := []struct {
		name    string
		waits   time.Duration
		listAge time.Duration
		known   bool
	}{
		{"at once", time.Second, 0, false},
		{"when servers have written again", rewriteTime, 0, true},
		{"by a list from before that", rewriteTime, time.Second, false},
		{"by a list from after that", rewriteTime + time.Second, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1")
				putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
				eras := &sharedlog.Eras{}
				b.era = 1
				eras.Note(logposition.New(1, 0))
				b.cfg.LogEraSeenAt = func() time.Time {
					_, seenAt := eras.Newest()
					return seenAt
				}
				time.Sleep(test.waits)
				evidence := b.Find(t.Context(), keyOfNumber(1), service)
				evidence.Patience, evidence.MaxAge = 10*time.Second, 20*time.Second
				software, known := Decide(evidence, test.listAge)
				g.Expect(known).To(Equal(test.known))
				if known {
					g.Expect(software).To(Equal("v1"))
				}
			})
		})
	}
}
