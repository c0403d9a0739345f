package streamorigin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
)

// A stream that was given up at a version for want of a record, and began anew at the base version, was resumed at the
// version that had been given up: boxes kept trying to record that one, and took it for the origin again.
func TestAStreamContinuesAtTheVersionThatWasGivenUp(t *testing.T) {
	for _, down := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 10 * time.Second} {
		t.Run(down.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1", "v2")
				putBase(g, b.log, baseversion.Base{Version: "v1", Present: true})
				b.refreshBases(t.Context())
				ctx, stop := context.WithCancel(t.Context())
				b.loops.Go(func() { b.LoopBases(ctx) })
				b.loops.Go(func() { b.LoopRecord(ctx) })
				defer stop()
				var announcement Announcement
				key := keyOfNumber(1)
				b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
				time.AfterFunc(down, func() { b.log.Underlying().SetFaults(fakelog.Faults{}) })
				b.Announce(t.Context(), &announcement, key, originAt("v2"))
				time.Sleep(50 * time.Millisecond)
				b.Note(key, originAt("v2"))
				g.Expect(b.AwaitAnnounced(t.Context(), &announcement, key, originAt("v2"))).To(BeFalse())
				b.Complete(key)
				b.Note(key, originAt("v1"))
				b.AwaitAnnounced(t.Context(), &announcement, key, originAt("v1"))
				for range 40 {
					evidence := b.Find(t.Context(), key, service)
					g.Expect(evidence.Found).To(BeTrue())
					g.Expect(evidence.Software).To(Equal("v1"))
					time.Sleep(100 * time.Millisecond)
				}
				if down < 4*time.Second {
					result, err := newTestReader(b.log).FindFirst(t.Context(), service, key, announcedKey(key))
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(result.Software).To(Equal("v1"), "after all boxes crashed")
				}
			})
		})
	}
}
