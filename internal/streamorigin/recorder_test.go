package streamorigin

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// recordedWithin is how long the record of a stream in flight may take, on a busy machine.
const recordedWithin = 10 * time.Second

// The memory of boxes is gone when all of them crash at once. Streams whose callers have a part of them must
// continue at their versions all the same.
func TestOriginsAreLostWhenAllBoxesCrash(t *testing.T) {
	tests := []struct {
		name  string
		zones []string
	}{
		{"eight boxes in three zones", []string{"a", "a", "a", "b", "b", "b", "c", "c"}},
		{"a zone with a recorder of its own", []string{"a", "a", "a", "a", "a", "a", "a", "a", "b", "b"}},
		{"a single box", []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := fakesharedlog.New()
			logOf := func(int) sharedlog.Log { return log }
			boxes := startBoxesWith(t, g, logOf, test.zones...)
			const streams = 200
			beginStreams(g, boxes, streams)
			for _, b := range boxes {
				g.Eventually(b.unrecordedCount, recordedWithin, 5*time.Millisecond).Should(BeZero())
			}
			g.Eventually(log.Underlying().Appends, recordedWithin).Should(BeNumerically(">=", 1))
			time.Sleep(recordDelay + exchangeTimeout) // until the last record has been appended
			for _, b := range boxes {
				b.stop()
			}
			restarted := startBoxesWith(t, g, logOf, test.zones...)
			for number := range streams {
				evidence := restarted[number%len(restarted)].Find(t.Context(), keyOfNumber(number), service)
				g.Expect(evidence.Found).To(BeTrue(), "stream %d", number)
				g.Expect(evidence.Software).To(Equal(originOf(number).Software))
			}
			evidence := restarted[0].Find(t.Context(), keyOfNumber(streams), service)
			g.Expect(evidence.Found).To(BeFalse())
			g.Expect(evidence.LogRead).To(BeTrue())
		})
	}
}

func (o *Origins) unrecordedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, stream := range o.own {
		if stream.recorder == "" {
			count++
		}
	}
	return count
}

func recorderOf(b *testBox) string {
	recorder, _ := b.recorder()
	return recorder.Name
}

func boxNumber(boxes []*testBox, name string) int {
	for i, b := range boxes {
		if b.box.Name == name {
			return i
		}
	}
	return -1
}

// reads reports whether a box that has just started finds an origin in the log.
func reads(g *WithT, log sharedlog.Log, key Key, software string) bool {
	reader := newTestReader(log)
	result, err := reader.Find(context.Background(), key, service)
	g.Expect(err).NotTo(HaveOccurred())
	return result.Found && result.Software == software
}

// Each call of the log has a price, so streams that end soon, and all streams while a service has one version,
// cause none.
func TestStreamsThatNeedNoRecordAreRecorded(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "b")
	for number := range 50 {
		boxes[number%3].Note(keyOfNumber(number), originOf(number))
		boxes[number%3].Complete(keyOfNumber(number))
	}
	for _, b := range boxes {
		b.setVersions("v1")
	}
	boxes[0].Note(keyOfNumber(50), originOf(50))
	time.Sleep(2*recheckInterval + recordDelay)
	g.Expect(log.Underlying().Appends()).To(BeZero())
	boxes[0].setVersions("v1", "v2")
	g.Eventually(func() bool { return reads(g, log, keyOfNumber(50), "v1") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
}

// When the log comes back from a copy, the records of streams that are still in flight are gone.
func TestStreamsInFlightAreNotRecordedAgainAfterTheLogCameBackFromACopy(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	copied := log.Copy()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "b")
	for number := range 30 {
		boxes[number%3].Note(keyOfNumber(number), originOf(number))
	}
	g.Eventually(func() bool { return reads(g, log, keyOfNumber(29), "v2") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	log.Restore(copied)
	for _, b := range boxes {
		b.era.Store(1)
	}
	for number := range 30 {
		g.Eventually(func() bool { return reads(g, log, keyOfNumber(number), originOf(number).Software) }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	}
}

func newTestReader(log sharedlog.Log) *originlog.Reader {
	return originlog.NewReader(originlog.ReaderConfig{Log: log})
}

// A version that was withdrawn just before all boxes crashed is known from the log alone. Its streams must not
// continue at the version that is left.
func TestAStreamOfAWithdrawnVersionContinuesAfterAllBoxesCrashed(t *testing.T) {
	g := NewWithT(t)
	log := &failingLog{Log: fakesharedlog.New()}
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "b")
	for number := range 10 {
		boxes[number%3].Note(keyOfNumber(number), originOf(number))
	}
	g.Eventually(func() bool { return reads(g, log, keyOfNumber(9), "v2") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	for _, b := range boxes {
		b.restart(g)
		b.setVersions("v2")
	}
	const unrecorded = 10
	for _, failing := range []bool{false, true} {
		log.failing.Store(failing)
		for _, b := range boxes {
			software, known := Decide(b.Find(t.Context(), keyOfNumber(unrecorded), service), 0)
			g.Expect(known).To(BeFalse(), "resumed at %q, log failing: %v", software, failing)
		}
		for _, b := range boxes {
			b.restart(g) // which has read nothing of the log
		}
	}
}

// The log has only the versions of streams that were recorded. A box that knows of no server yet must not take
// the one version there for the only one.
func TestABoxWithoutServersResumesAtTheOneVersionInTheLog(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "b")
	recorded, unrecorded := keyOfNumber(0), keyOfNumber(1)
	boxes[0].Note(recorded, originOf(0))
	g.Eventually(func() bool { return reads(g, log, recorded, "v1") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	for _, b := range boxes {
		b.restart(g)
		b.setVersions()
	}
	for _, b := range boxes {
		evidence := b.Find(t.Context(), unrecorded, service)
		g.Expect(evidence.LogRead).To(BeTrue())
		software, known := Decide(evidence, 0)
		g.Expect(known).To(BeFalse(), "resumed at %q", software)
		software, known = Decide(b.Find(t.Context(), recorded, service), 0)
		g.Expect(known).To(BeTrue())
		g.Expect(software).To(Equal("v1"))
	}
}

// The other boxes know a recorder's process from its last report, which is older than the process for a while
// after a restart. They must not hand over the same origins without end until the next report arrives.
func TestOriginsAreHandedOverWithoutEndToARecorderThatRestarted(t *testing.T) {
	tests := []struct {
		name string
		// listed is the recorder's process as the other boxes know it.
		listed string
	}{
		{"the report of the process before", "first"},
		{"no report", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := &measuredLog{Log: fakesharedlog.New()}
			boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "a")
			recorder := boxes[boxNumber(boxes, recorderOf(boxes[0]))]
			if recorder == boxes[0] {
				boxes[0], boxes[1] = boxes[1], boxes[0]
			}
			recorder.restart(g)
			recorder.setProcess(test.listed)
			boxes[0].Note(keyOfNumber(0), originOf(0))
			time.Sleep(10 * recordDelay)
			once := log.bytes.Load()
			g.Expect(once).To(BeNumerically("<", 4*keySize))
			recorder.setProcess("first and next")
			time.Sleep(2*recheckInterval + 2*recordDelay)
			g.Expect(log.bytes.Load()).To(BeNumerically("<=", 2*once), "handed over again at most once")
		})
	}
}

// setProcess changes the process that other boxes know of.
func (b *testBox) setProcess(process string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.box.Process = process
}

// measuredLog counts the bytes that are appended to a log.
type measuredLog struct {
	sharedlog.Log
	bytes atomic.Int64
}

func (l *measuredLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	l.bytes.Add(int64(len(record.Value)))
	return l.Log.Append(ctx, stream, end, record)
}

// The log keeps records for a bounded time, 20 s on some platforms. Streams that last longer must still be found
// after all boxes crashed.
func TestLongStreamsAreLostWithTheHistoryOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const history = 20 * time.Second
		log := fakesharedlog.New()
		writer := originlog.NewWriter(originlog.WriterConfig{Log: log})
		o := New(Config{
			Logger: zerolog.Nop(), Self: Box{Name: "self", Process: "first"}, Others: func() []Box { return nil },
			Versions: func(string) []string { return []string{"v1", "v2"} }, Writer: writer, Reader: newTestReader(log), LogEra: func() int64 { return 0 },
		})
		ctx, stop := context.WithCancel(t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { writer.Loop(ctx) })
		loops.Go(func() { o.LoopRecord(ctx) })
		defer loops.Wait()
		defer stop()
		o.Note(keyOfNumber(0), Origin{Service: service, Software: "v1", Expires: time.Now().Add(2 * time.Minute)})
		for second := range 60 {
			time.Sleep(time.Second)
			log.Underlying().ExpireOlder(history)
			g.Expect(reads(g, log, keyOfNumber(0), "v1")).To(BeTrue(), "after %d s", second+1)
		}
		g.Expect(log.Underlying().Appends()).To(BeNumerically("<=", 7), "each call has a price")
	})
}
