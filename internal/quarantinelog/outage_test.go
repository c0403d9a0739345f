package quarantinelog

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// While the log is away boxes hold what they know, few calls are made, and the record is written afterwards.
func TestWhatIsHeldWhileTheLogIsAwayIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log)
		time.Sleep(settleTime)
		log.Underlying().SetFaults(fakelog.Faults{Down: true})
		hold(b.requests, 1, quarantine.HoldThreshold)
		const outage = time.Minute
		time.Sleep(outage)
		g.Expect(isHeld(b.requests, 1)).To(BeTrue())
		g.Expect(log.appends.Load()).To(BeNumerically("<=", 8+int64(outage/maxWritePause)), "each refused call has a price")
		log.Underlying().SetFaults(fakelog.Faults{})
		time.Sleep(maxWritePause + settleTime)
		g.Expect(log.keys(g)).To(HaveLen(1))
	})
}

// Calls must not wait for a log that is away for longer than maxAwait, in all, and what it has is held once it
// can be read.
func TestCallsWaitForALogThatIsAway(t *testing.T) {
	tests := []struct {
		name      string
		faults    fakelog.Faults
		readDelay time.Duration
	}{
		{"it refuses", fakelog.Faults{Down: true}, 0},
		{"it is slow", fakelog.Faults{}, 900 * time.Millisecond},
		{"it does not respond", fakelog.Faults{}, time.Hour},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := newLog()
				first := startBox(t, log)
				hold(first.requests, 1, quarantine.HoldThreshold)
				time.Sleep(settleTime)
				first.stop()
				log.Underlying().SetFaults(test.faults)
				log.readDelay.Store(int64(test.readDelay))
				second := startBox(t, log)
				began := time.Now()
				second.Await(t.Context())
				g.Expect(time.Since(began)).To(Equal(maxAwait))
				second.Await(t.Context())
				g.Expect(time.Since(began)).To(Equal(maxAwait), "not for each call")
				log.Underlying().SetFaults(fakelog.Faults{})
				log.readDelay.Store(0)
				time.Sleep(2 * maxLoadPause)
				g.Expect(isHeld(second.requests, 1)).To(BeTrue())
			})
		})
	}
}

// An append without response may take effect after a later deletion. The writer must find that.
func TestARecordThatIsAppendedLateIsNeverDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log)
		time.Sleep(settleTime)
		log.Underlying().SetFaults(fakelog.Faults{LateAppends: 1, Delay: 3 * time.Second})
		hold(b.requests, 1, quarantine.HoldThreshold)
		time.Sleep(time.Second)
		log.Underlying().SetFaults(fakelog.Faults{})
		b.requests.NoteServed(requestOf(1))
		time.Sleep(2 * unknownReadDelay)
		g.Expect(log.keys(g)).To(BeEmpty())
	})
}

// A log that comes back from a copy may lack records, and have others that were deleted.
func TestTheLogLacksRecordsAfterItCameBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log)
		hold(b.requests, 1, quarantine.HoldThreshold)
		time.Sleep(11 * time.Minute) // after which the set forgets a request that is served
		copied := log.Copy()
		b.requests.NoteServed(requestOf(1))
		hold(b.requests, 2, quarantine.HoldThreshold)
		time.Sleep(30 * time.Second)
		g.Expect(log.keys(g)).To(Equal([]string{keyOf(requestKind, requestOf(2))}))
		log.Restore(copied)
		g.Expect(log.keys(g)).To(Equal([]string{keyOf(requestKind, requestOf(1))}))
		page, err := log.Log.NewestPage(t.Context(), sharedlog.Quarantine, "")
		g.Expect(err).NotTo(HaveOccurred())
		b.eras.Note(page.End)
		time.Sleep(settleTime)
		g.Expect(log.keys(g)).To(Equal([]string{keyOf(requestKind, requestOf(2))}))
		g.Expect(isHeld(b.requests, 1)).To(BeFalse())
	})
}
