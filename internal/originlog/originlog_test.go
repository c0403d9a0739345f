package originlog

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const service = "runners"

func keyOf(number int) (key Key) {
	binary.BigEndian.PutUint64(key[:], uint64(number))
	return key
}

func originOf(number int) Origin {
	return Origin{Key: keyOf(number), Service: service, Software: fmt.Sprint("v", 1+number%2)}
}

// countedLog counts the calls of a log.
type countedLog struct {
	sharedlog.Log
	appends, reads atomic.Int64
}

func (l *countedLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, stream, end, record)
}

func (l *countedLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, wait)
}

func newReader(log sharedlog.Log) *Reader {
	return NewReader(ReaderConfig{Log: log, Logger: zerolog.Nop()})
}

// startWriter starts a writer, which stops before the test ends.
func startWriter(t *testing.T, log sharedlog.Log) *Writer {
	t.Helper()
	w := NewWriter(WriterConfig{Log: log, Logger: zerolog.Nop()})
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { w.Loop(ctx) })
	t.Cleanup(func() {
		stop()
		loops.Wait()
	})
	return w
}

// Origins must be found after every box that knew them has crashed.
func TestOriginsAreLostWithTheirWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &countedLog{Log: fakesharedlog.New()}
		w := startWriter(t, log)
		for number := range 600 { // one each 5 ms
			g.Expect(w.Add([]Origin{originOf(number)})).To(BeTrue())
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(appendInterval)
		g.Expect(log.appends.Load()).To(BeNumerically("<=", 32), "calls do not grow with the streams")
		r := newReader(log)
		for number := range 600 {
			result, err := r.Find(t.Context(), keyOf(number), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
			g.Expect(result.Software).To(Equal(originOf(number).Software))
			g.Expect(result.Versions).To(Equal([]string{"v1", "v2"}))
		}
		g.Expect(log.reads.Load()).To(BeEquivalentTo(1))
		result, err := r.Find(t.Context(), keyOf(0), "another service")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result).To(Equal(Result{Found: true, Service: service, Software: originOf(0).Software, CompleteFor: result.CompleteFor}))
		g.Expect(result.CompleteFor).To(BeNumerically(">", 3*time.Second), "since the first record")
		result, err = r.Find(t.Context(), keyOf(600), "another service")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result).To(Equal(Result{CompleteFor: result.CompleteFor}))
	})
}

// An outage of the log delays records and loses none, and other boxes learn that this one cannot write.
func TestOriginsAreDroppedDuringAnOutageOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		counted := &countedLog{Log: log}
		log.Underlying().SetFaults(fakelog.Faults{Down: true})
		w := startWriter(t, counted)
		g.Expect(w.Add([]Origin{originOf(0)})).To(BeTrue())
		time.Sleep(failingAfter + time.Millisecond)
		g.Expect(w.Add([]Origin{originOf(1)})).To(BeFalse(), "another box should write")
		time.Sleep(20 * time.Second)
		g.Expect(counted.appends.Load()).To(BeNumerically("<=", 16), "refused calls have a price")
		_, err := newReader(log).Find(t.Context(), keyOf(0), service)
		g.Expect(err).To(HaveOccurred())
		log.Underlying().SetFaults(fakelog.Faults{})
		time.Sleep(maxFailurePause + appendInterval)
		g.Expect(w.Add(nil)).To(BeTrue())
		for number := range 2 {
			result, err := newReader(log).Find(t.Context(), keyOf(number), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
		}
	})
}

// An append whose response is lost is made again; the record that occurs twice changes nothing.
func TestAnAppendWithoutAResponseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		log.Underlying().SetFaults(fakelog.Faults{LoseResponses: 1})
		w := startWriter(t, log)
		w.Add([]Origin{originOf(0)})
		time.Sleep(time.Second)
		g.Expect(log.Underlying().Appends()).To(BeEquivalentTo(2))
		result, err := newReader(log).Find(t.Context(), keyOf(0), service)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result).To(Equal(Result{Found: true, Service: service, Software: "v1", Versions: []string{"v1"}, CompleteFor: time.Second}))
	})
}

// fill appends records, one origin each, as of some time ago.
func fill(g *WithT, log sharedlog.Log, first, count int, age time.Duration) {
	for number := first; number < first+count; number++ {
		value, err := encode([]Origin{originOf(number)}, time.Now().Add(-age))
		g.Expect(err).NotTo(HaveOccurred())
		_, err = log.Append(context.Background(), sharedlog.Origins, sharedlog.AnyEnd, sharedlog.Record{Value: value})
		g.Expect(err).NotTo(HaveOccurred())
	}
}

func TestHowFarBackAReaderReads(t *testing.T) {
	tests := []struct {
		name string
		// old and recent are the numbers of records from before the horizon and within it.
		old, recent int
		// expired is how many records the log has dropped.
		expired   int
		oldFound  bool
		firstLost int
	}{
		{"an empty log", 0, 0, 0, false, 0},
		{"few records", 10, 10, 0, true, 0},
		{"many old ones", 5 * firstTail, 10, 0, false, 0},
		{"more recent ones than one writer appends", 8 * firstTail, 3 * firstTail, 0, false, 0},
		{"the log has dropped the first ones", 0, 2 * firstTail, 100, false, 100},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := fakesharedlog.New()
			fill(g, log, 0, test.old, 2*Horizon)
			fill(g, log, test.old, test.recent, 0)
			log.Underlying().Expire(sharedlog.Origins.String(), int64(test.expired))
			r := newReader(log)
			for number := test.old; number < test.old+test.recent; number++ {
				result, err := r.Find(t.Context(), keyOf(number), service)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.Found).To(Equal(number >= test.firstLost), "record %d", number)
				if !result.Found {
					break // each search that finds nothing reads again
				}
			}
			result, err := r.Find(t.Context(), keyOf(0), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(Equal(test.oldFound))
		})
	}
}

// Software versions that began streams long ago say nothing about those that serve now.
func TestOldVersionsCount(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	fill(g, log, 0, 1, 2*Horizon) // v1
	fill(g, log, 1, 1, 0)         // v2
	result, err := newReader(log).Find(t.Context(), keyOf(1), service)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Versions).To(Equal([]string{"v2"}))
}

// After the log came back from a copy, a reader's position is from another history.
func TestAReaderMissesRecordsAfterTheLogCameBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		fill(g, log, 0, 2, 0)
		copied := log.Copy()
		fill(g, log, 2, 6, 0)
		r := newReader(log)
		for _, number := range []int{0, 7} {
			result, err := r.Find(t.Context(), keyOf(number), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
		}
		log.Restore(copied)
		fill(g, log, 8, 2, 0)
		for _, number := range []int{8, 9, 7} {
			result, err := r.Find(t.Context(), keyOf(number), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue(), "what has been read is true after the return, too")
		}
	})
}

// A record that cannot be decoded hides no others.
func TestAnInvalidRecordEndsAReading(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	fill(g, log, 0, 1, 0)
	for _, value := range []string{"", "\x93", "\x92\x01\x91\x93\xa1s\xa1v\xc4\x03abc"} {
		log.Put(sharedlog.Origins, "", []byte(value))
	}
	fill(g, log, 1, 1, 0)
	r := newReader(log)
	for number := range 2 {
		result, err := r.Find(t.Context(), keyOf(number), service)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Found).To(BeTrue())
	}
}

// Callers of many streams that broke off together must not cause a read each.
func TestEachSearchReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &countedLog{Log: fakesharedlog.New()}
		r := newReader(log)
		var searches sync.WaitGroup
		for number := range 200 {
			searches.Go(func() {
				time.Sleep(time.Duration(number) * time.Millisecond)
				_, err := r.Find(t.Context(), keyOf(number), service)
				g.Expect(err).NotTo(HaveOccurred())
			})
		}
		searches.Wait()
		g.Expect(log.reads.Load()).To(BeNumerically("<=", 6))
	})
}

// What a reader holds is bounded, and the newest origins are kept.
func TestTheOriginsOfAReaderAreBounded(t *testing.T) {
	g := NewWithT(t)
	r := newReader(fakesharedlog.New())
	for number := range maxKnown + 1000 {
		r.add([]Origin{originOf(number)}, time.Now())
	}
	g.Expect(r.known).To(HaveLen(maxKnown))
	g.Expect(r.order).To(HaveLen(maxKnown))
	g.Expect(r.known).To(HaveKey(keyOf(maxKnown + 999)))
	w := NewWriter(WriterConfig{Log: fakesharedlog.New(), Logger: zerolog.Nop()})
	for number := range maxUnrecorded + 1000 {
		w.Add([]Origin{originOf(number)})
	}
	g.Expect(w.unrecorded).To(HaveLen(maxUnrecorded))
	g.Expect(w.takeBatch()).To(HaveLen(maxPerRecord))
	value, err := encode(w.takeBatch(), time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(value)).To(BeNumerically("<", 256<<10), "the log takes no larger record")
}

// FuzzDecode checks that no value of a record crashes a reader.
func FuzzDecode(f *testing.F) {
	value, err := encode([]Origin{originOf(0), originOf(1)}, time.Now())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, value []byte) {
		if _, _, err := decode(value); err != nil {
			t.Skip()
		}
	})
}

// The first event of a stream may wait for the stream's record. It must not wait for an unavailable log, and Await must
// not report a record that is not in the log.
func TestAnAwaitedOriginIsNotInTheLog(t *testing.T) {
	tests := []struct {
		name   string
		faults fakelog.Faults
		// failedBefore is how long appends have failed before, and timeout how long the origin is awaited.
		failedBefore, timeout time.Duration
		appended              bool
		within                time.Duration
	}{
		{"at once", fakelog.Faults{}, 0, time.Second, true, 0},
		{"a slow log", fakelog.Faults{Delay: 200 * time.Millisecond}, 0, time.Second, true, 200 * time.Millisecond},
		{"a lost response", fakelog.Faults{LoseResponses: 1}, 0, time.Second, true, minFailurePause},
		{"a log that has just gone", fakelog.Faults{Down: true}, 0, 300 * time.Millisecond, false, 300 * time.Millisecond},
		{"a log that is away", fakelog.Faults{Down: true}, 5 * time.Second, 300 * time.Millisecond, false, 0},
		{"a log that goes while it is awaited", fakelog.Faults{Down: true}, 0, time.Minute, false, failingAfter + maxFailurePause},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := fakesharedlog.New()
				log.Underlying().SetFaults(test.faults)
				w := startWriter(t, log)
				if test.failedBefore > 0 {
					w.Add([]Origin{originOf(7)})
					time.Sleep(test.failedBefore)
				}
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				began := time.Now()
				g.Expect(w.Await(ctx, []Origin{originOf(0), originOf(1)})).To(Equal(test.appended))
				g.Expect(time.Since(began)).To(BeNumerically("<=", test.within))
				if test.appended {
					result, err := newReader(log).Find(t.Context(), keyOf(1), service)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(result.Found).To(BeTrue())
				}
			})
		})
	}
}

// An origin that is added while others are being appended is in the next record, and Await must wait for that one.
func TestAnOriginIsTakenForAppendedWithAnEarlierRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		log.Underlying().SetFaults(fakelog.Faults{Delay: 50 * time.Millisecond})
		w := startWriter(t, log)
		w.Add([]Origin{originOf(0)})
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		g.Expect(w.Await(t.Context(), []Origin{originOf(1)})).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(appendInterval - 10*time.Millisecond + 50*time.Millisecond))
		log.Underlying().SetFaults(fakelog.Faults{})
		result, err := newReader(log).Find(t.Context(), keyOf(1), service)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(result.Found).To(BeTrue())
	})
}

// Await must not report an origin as recorded that was dropped because too many were waiting for the log.
func TestADroppedOriginIsTakenForAppended(t *testing.T) {
	origins := make([]Origin, maxUnrecorded+1)
	for number := range origins {
		origins[number] = originOf(number)
	}
	tests := []struct {
		name  string
		await func(g *WithT, w *Writer, ctx context.Context) bool
	}{
		{"with those that are awaited", func(_ *WithT, w *Writer, ctx context.Context) bool { return w.Await(ctx, origins) }},
		{"by others meanwhile", func(_ *WithT, w *Writer, ctx context.Context) bool {
			time.AfterFunc(time.Millisecond, func() { w.Add(origins[1:]) })
			return w.Await(ctx, origins[:1])
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				w := NewWriter(WriterConfig{Log: fakesharedlog.New(), Logger: zerolog.Nop()}) // it appends nothing
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				g.Expect(test.await(g, w, ctx)).To(BeFalse())
			})
		})
	}
}
