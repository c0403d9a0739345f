package quarantinelog

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

func requestOf(number int) (request quarantine.Request) {
	binary.BigEndian.PutUint64(request[:], uint64(number))
	return request
}

// countedLog counts the calls of a log.
type countedLog struct {
	*fakesharedlog.Log
	appends, reads atomic.Int64
	// readDelay is how long a read takes.
	readDelay atomic.Int64

	mu        sync.Mutex
	appendsAt []time.Time
}

func newLog() *countedLog { return &countedLog{Log: fakesharedlog.New()} }

func (l *countedLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	l.appends.Add(1)
	l.mu.Lock()
	l.appendsAt = append(l.appendsAt, time.Now())
	l.mu.Unlock()
	return l.Log.Append(ctx, stream, end, record)
}

func (l *countedLog) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	l.reads.Add(1)
	if !waiting.For(ctx, time.Duration(l.readDelay.Load())) {
		return sharedlog.Page{}, sharedlog.ErrUnknown
	}
	return l.Log.NewestPage(ctx, stream, after)
}

// keys returns the keys that the log has.
func (l *countedLog) keys(g *WithT) []string {
	page, err := l.Log.NewestPage(context.Background(), sharedlog.Quarantine, "")
	g.Expect(err).NotTo(HaveOccurred())
	keys := []string{}
	for _, record := range page.Records {
		keys = append(keys, record.Key)
	}
	return keys
}

// box is the keeper of a box and what the box holds.
type box struct {
	*Keeper
	requests, parts *quarantine.Set
	writer, reader  atomic.Bool
	eras            *sharedlog.Eras
	stop            func()
}

// startBox starts a box that writes and reads, with empty memory. It stops before the test ends.
func startBox(t *testing.T, log sharedlog.Log) *box {
	t.Helper()
	b := newBox(log)
	b.writer.Store(true)
	b.reader.Store(true)
	b.start(t)
	return b
}

func newBox(log sharedlog.Log) *box {
	b := &box{eras: &sharedlog.Eras{}}
	notify := func(quarantine.Change) { b.Notify() }
	b.requests = quarantine.New(quarantine.Config{OnChange: notify})
	b.parts = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, OnChange: notify})
	b.Keeper = New(Config{Log: log, Eras: b.eras, Logger: zerolog.Nop(), Requests: b.requests, Parts: b.parts, IsWriter: b.writer.Load, ReadsLog: b.reader.Load})
	return b
}

func (b *box) start(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { b.LoopLoad(ctx) })
	loops.Go(func() { b.LoopWrite(ctx) })
	b.stop = func() {
		cancel()
		loops.Wait()
	}
	t.Cleanup(b.stop)
}

// hold makes a box hold a request, or a part, by crashes of its own servers.
func hold(set *quarantine.Set, number, crashes int) {
	for i := range crashes {
		set.NoteCrash(quarantine.Crash{Request: requestOf(number), Caller: 1, Incarnation: uint64(number)<<32 + uint64(i) + 1})
	}
}

func isHeld(set *quarantine.Set, number int) bool {
	_, held := set.HeldFor(requestOf(number))
	return held
}

// settleTime is longer than a few calls of the log take.
const settleTime = 2 * time.Second

// What was held must still be held after all boxes restarted at once.
func TestWhatWasHeldIsForgottenWhenAllBoxesRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first := startBox(t, log)
		hold(first.requests, 1, quarantine.HoldThreshold)
		hold(first.requests, 2, quarantine.HoldThreshold-1)
		hold(first.parts, 3, quarantine.PartThreshold)
		time.Sleep(settleTime)
		left, _ := first.requests.HeldFor(requestOf(1))
		first.stop()
		time.Sleep(time.Minute)
		second := startBox(t, log)
		second.Await(t.Context())
		g.Expect(second.IsLoaded()).To(BeTrue())
		g.Expect(isHeld(second.requests, 1)).To(BeTrue())
		g.Expect(isHeld(second.requests, 2)).To(BeFalse(), "it was not held")
		g.Expect(isHeld(second.parts, 3)).To(BeTrue())
		leftThen, _ := second.requests.HeldFor(requestOf(1))
		g.Expect(leftThen).To(BeNumerically("~", left-time.Minute, time.Second), "no longer than it would have been held")
	})
}

// A request that was released must not be held by boxes that start, also if the box that recorded it is gone.
func TestAReleasedRequestIsHeldAgainByABoxThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first := startBox(t, log)
		hold(first.requests, 1, quarantine.HoldThreshold)
		time.Sleep(settleTime)
		g.Expect(log.keys(g)).To(HaveLen(1))
		other := newBox(log)
		other.requests.Merge(first.requests.Held())
		first.stop()
		other.writer.Store(true)
		other.start(t)
		other.requests.NoteServed(requestOf(1))
		time.Sleep(settleTime)
		g.Expect(log.keys(g)).To(BeEmpty())
		last := startBox(t, log)
		last.Await(t.Context())
		g.Expect(last.IsLoaded()).To(BeTrue())
		g.Expect(isHeld(last.requests, 1)).To(BeFalse())
	})
}

// A box that was served the request at which it is held in the log must release it.
func TestARecordOverridesThatARequestWasServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first := startBox(t, log)
		hold(first.requests, 1, quarantine.HoldThreshold)
		time.Sleep(settleTime)
		first.stop()
		second := newBox(log)
		second.requests.NoteServed(requestOf(1))
		second.writer.Store(true)
		second.reader.Store(true)
		second.start(t)
		time.Sleep(settleTime)
		g.Expect(isHeld(second.requests, 1)).To(BeFalse())
		g.Expect(log.keys(g)).To(BeEmpty())
	})
}

// A box may find that it reads the log a while after its start. It has servers soon after that.
func TestABoxThatReadsTheLogLateHasServersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := newBox(newLog())
		b.start(t)
		time.Sleep(1500 * time.Millisecond)
		b.reader.Store(true)
		time.Sleep(20 * time.Millisecond)
		g.Expect(b.IsLoaded()).To(BeTrue())
	})
}

// A flood of requests that crash servers must not take the writes of the log, nor fill it.
func TestAFloodOfHeldRequestsTakesTheWritesOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		b := startBox(t, log)
		for number := range 4000 {
			hold(b.requests, number+1, quarantine.HoldThreshold)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(5 * time.Minute)
		g.Expect(len(log.keys(g))).To(Equal(1024), "what a box remembers")
		most := 0
		for i, at := range log.appendsAt {
			count := 0
			for _, other := range log.appendsAt[i:] {
				if other.Sub(at) < time.Second {
					count++
				}
			}
			most = max(most, count)
		}
		t.Logf("%d appends, at most %d in a second", len(log.appendsAt), most)
		g.Expect(most).To(BeNumerically("<=", 10))
	})
}

// A record that cannot be decoded must neither hide the others nor be deleted: another version may have
// written it.
func TestARecordThatCannotBeDecodedHidesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		first := startBox(t, log)
		hold(first.requests, 1, quarantine.HoldThreshold)
		time.Sleep(settleTime)
		first.stop()
		log.Put(sharedlog.Quarantine, keyOf(requestKind, requestOf(0)), []byte("?"))
		log.Put(sharedlog.Quarantine, "session/1", []byte{0x80})
		second := startBox(t, log)
		time.Sleep(settleTime)
		g.Expect(isHeld(second.requests, 1)).To(BeTrue())
		g.Expect(log.keys(g)).To(HaveLen(3))
	})
}

// The calls of a large fleet must not grow with its boxes, at a start of all of them, when something is held,
// and while nothing happens.
func TestCallsOfTheLogGrowWithTheBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := newLog()
		boxes := make([]*box, 2000)
		for i := range boxes {
			boxes[i] = newBox(log)
		}
		boxes[7].reader.Store(true)
		boxes[9].writer.Store(true)
		for _, b := range boxes {
			b.start(t)
		}
		time.Sleep(settleTime)
		for _, b := range boxes {
			b.MarkLoaded() // as the report of the reader
		}
		hold(boxes[11].requests, 1, quarantine.HoldThreshold)
		for _, b := range boxes {
			b.requests.Merge(boxes[11].requests.Held())
		}
		time.Sleep(10 * time.Second)
		boxes[13].requests.NoteServed(requestOf(1))
		boxes[9].requests.NoteServed(requestOf(1))
		time.Sleep(10 * time.Second)
		g.Expect(log.appends.Load()).To(BeEquivalentTo(2), "the record and its deletion")
		g.Expect(log.reads.Load()).To(BeEquivalentTo(2), "by the reader and the writer")
		for i, b := range boxes {
			if i != 9 {
				b.stop()
			}
		}
		time.Sleep(time.Hour)
		g.Expect(log.reads.Load()).To(BeNumerically("<=", 2+6))
	})
}

// A reader sends what is held to each box that starts. A flood of it must not fill its responses, and a reader
// that has not read the log must not make others take it for all there is.
func TestASnapshotIsIncompleteOrTooLarge(t *testing.T) {
	g := NewWithT(t)
	b := newBox(newLog())
	hold(b.requests, 1, quarantine.HoldThreshold)
	g.Expect(b.Snapshot()).To(BeNil(), "not loaded")
	b.MarkLoaded()
	g.Expect(b.Snapshot().Requests).To(HaveLen(1))
	for number := range maxSnapshot {
		hold(b.parts, number+1, quarantine.PartThreshold)
	}
	g.Expect(b.Snapshot()).To(BeNil(), "too large")
	other := newBox(newLog())
	other.ApplySnapshot(Snapshot{Requests: b.requests.Held()})
	g.Expect(isHeld(other.requests, 1)).To(BeTrue())
	g.Expect(other.IsLoaded()).To(BeTrue())
}
