package streamorigin

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
)

// New streams must not begin without a record at another version while the base version could serve them, nor keep to
// the base version once records succeed.
func TestNewStreamsGoToAnyVersionWhileNoneCanBeRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		var logged bytes.Buffer
		b.cfg.Logger = zerolog.New(&logged)
		putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
		ctx, stop := context.WithCancel(t.Context())
		b.loops.Go(func() { b.LoopBases(ctx) })
		defer stop()
		time.Sleep(time.Second)
		isPreferred := func() bool {
			software, _, found := b.PreferredVersion(service, 0)
			return found && software == "v1"
		}
		g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(1), originOf(1))).To(BeTrue())
		g.Expect(isPreferred()).To(BeFalse())
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(3), originOf(3))).To(BeFalse())
		for range 20 {
			g.Expect(isPreferred()).To(BeTrue())
			time.Sleep(time.Second)
		}
		b.log.Underlying().SetFaults(fakelog.Faults{})
		time.Sleep(5 * time.Second)
		g.Expect(isPreferred()).To(BeFalse())
		g.Expect(reads(g, b.log, keyOfNumber(3), "v2")).To(BeTrue())
		stop()
		b.stop()
		g.Expect(strings.Count(logged.String(), "stream_records_changed")).To(Equal(2), logged.String())
	})
}

// The first calls of an outage wait for their records until these are about to fail. Those whose wait ended first began at
// any version without a record.
func TestAStreamWhoseWaitEndsBeforeItsRecordFailsBeginsAtAnyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
		origin := originOf(1)
		underWay := &awaitedBatch{done: make(chan struct{}), keys: []Key{keyOfNumber(1)}, origins: encodeToRecord(keyOfNumber(1), origin, time.Now())}
		announcement := &Announcement{batches: map[string]*awaitedBatch{origin.Software: underWay}}
		isPreferred := func() bool {
			software, _, found := b.PreferredVersion(service, 0)
			return found && software == "v1"
		}
		g.Expect(isPreferred()).To(BeFalse())
		left, leave := context.WithCancel(t.Context())
		leave()
		g.Expect(b.AwaitAnnounced(left, announcement, keyOfNumber(1), origin)).To(BeFalse())
		g.Expect(isPreferred()).To(BeFalse(), "the caller left")
		g.Expect(b.AwaitAnnounced(t.Context(), announcement, keyOfNumber(1), origin)).To(BeFalse())
		g.Expect(isPreferred()).To(BeTrue())
		underWay.recorded = true
		b.noteRecordResult(underWay)
		g.Expect(isPreferred()).To(BeFalse(), "the record came late")
	})
}
