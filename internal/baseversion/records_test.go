package baseversion

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Some time after a release the log drops the records of that release's streams. A service that has had only its base
// version since must not count as one whose records are missing.
func TestRecordsOfAnEarlierReleaseAreMissedForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := fakesharedlog.New()
		log := sharedlog.NewMeasured(fake, tally.NoopScope)
		var released atomic.Bool
		keeper := New(Config{Log: log, Eras: log.Eras(), Logger: zerolog.Nop(), IsWriter: func() bool { return true }, Observe: func() map[string]Observation {
			remembered := []string{"v1"}
			if released.Load() {
				remembered = append(remembered, "v2")
			}
			return map[string]Observation{"runners": {Remembered: remembered, Listed: map[string]int{"v1": 1}, ObservedFor: time.Hour}}
		}})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { keeper.Loop(ctx); close(done) }()
		defer func() { stop(); <-done }()
		recordsFrom := func() int64 {
			reading, err := keeper.Read(ctx, 0)
			g.Expect(err).NotTo(HaveOccurred())
			return reading.Table["runners"].RecordsFrom
		}
		time.Sleep(2 * pauseTime)
		g.Expect(recordsFrom()).To(BeZero())
		released.Store(true)
		for range 5 {
			fake.Put(sharedlog.Origins, "", []byte("origins"))
			time.Sleep(time.Second)
		}
		g.Expect(recordsFrom()).To(BeZero(), "streams of v2 may be resumed")
		released.Store(false)
		time.Sleep(5 * time.Second)
		g.Expect(recordsFrom()).To(BeEquivalentTo(5))
		reads := fake.Underlying().Appends()
		time.Sleep(time.Hour)
		g.Expect(fake.Underlying().Appends()).To(Equal(reads), "nothing is written while versions stay")
	})
}

// The record must not grow with every service that ever existed, nor lose one that has no servers for a while.
func TestTheTableKeepsServicesThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		fake := fakesharedlog.New()
		log := sharedlog.NewMeasured(fake, tally.NoopScope)
		var gone, unread atomic.Bool
		keeper := New(Config{Log: log, Eras: log.Eras(), Logger: zerolog.Nop(), IsWriter: func() bool { return true }, Observe: func() map[string]Observation {
			there := Observation{Remembered: []string{"v1"}, Listed: map[string]int{"v1": 1}, ObservedFor: time.Hour}
			seen := map[string]Observation{"runners": there, "others": there}
			if gone.Load() {
				seen["others"] = Observation{ObservedFor: time.Hour}
			}
			if unread.Load() {
				clear(seen)
			}
			return seen
		}})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { keeper.Loop(ctx); close(done) }()
		defer func() { stop(); <-done }()
		services := func() int {
			reading, err := keeper.Read(ctx, 0)
			g.Expect(err).NotTo(HaveOccurred())
			return len(reading.Table)
		}
		time.Sleep(time.Minute)
		unread.Store(true)
		time.Sleep(2 * dropAfter)
		g.Expect(services()).To(Equal(2), "the list of servers is out of date")
		unread.Store(false)
		gone.Store(true)
		time.Sleep(dropAfter - time.Minute)
		gone.Store(false)
		time.Sleep(time.Minute)
		gone.Store(true)
		time.Sleep(dropAfter - time.Minute)
		g.Expect(services()).To(Equal(2), "it was there a while ago")
		time.Sleep(2 * time.Minute)
		g.Expect(services()).To(Equal(1))
		gone.Store(false)
		time.Sleep(time.Minute)
		g.Expect(services()).To(Equal(2))
	})
}

// While a service has only its base version, releases of other services write records, and so do starting boxes, which
// record all streams until they have read the base version. When the log dropped these records, the service counted
// as one whose records are missing, and all its resumed streams were refused in the first seconds of its next release.
func TestRecordsOfOthersCountAsMissingForAServiceThatHasBeenAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		startBox(t, log, "v1")
		time.Sleep(2 * pauseTime)
		for range 3 {
			for range 5 {
				log.Put(sharedlog.Origins, "", []byte("origins"))
			}
			_, end, err := log.Bounds(t.Context(), sharedlog.Origins)
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(20 * time.Second)
			g.Expect(log.table(g)[service].RecordsFrom).To(Equal(end))
		}
	})
}

// Absences that a box observed as the writer must not count after a time in which another box wrote: a service that
// had servers in that time was dropped a minute after its last server, and its next version became the base version at
// once.
func TestAServiceIsDroppedByABoxThatDidNotWriteForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log, "v1")
		b.list("others", "v1")
		time.Sleep(time.Minute + checkInterval/2)
		b.list("others")
		time.Sleep(time.Minute)
		b.writer.Store(false)
		b.list("others", "v1") // it is back
		time.Sleep(2 * dropAfter)
		b.list("others")
		b.writer.Store(true)
		time.Sleep(time.Minute)
		g.Expect(log.table(g)).To(HaveKey("others"))
		time.Sleep(dropAfter)
		g.Expect(log.table(g)).NotTo(HaveKey("others"))
	})
}

// A box must check its list of servers also while another box writes: time in which the list was out of date counted as
// observed.
func TestABoxDoesNotObserveWhileAnotherOneWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var observed atomic.Int64
		keeper := New(Config{Log: newLog(), Eras: &sharedlog.Eras{}, Logger: zerolog.Nop(), IsWriter: func() bool { return false }, Observe: func() map[string]Observation {
			observed.Add(1)
			return nil
		}})
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { keeper.Loop(ctx); close(done) }()
		defer func() { stop(); <-done }()
		time.Sleep(time.Minute)
		g.Expect(observed.Load()).To(BeNumerically(">=", 30))
	})
}
