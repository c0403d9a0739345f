package originlog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// expiringLog is a log that drops the oldest records of a stream before each of the next reads arrives.
type expiringLog struct {
	*fakesharedlog.Log
	dropped, perRead int64
}

func (l *expiringLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	l.dropped += l.perRead
	l.Underlying().Expire(stream.String(), l.dropped)
	return l.Log.Read(ctx, stream, from, wait)
}

// A log in use drops a record for each one that is appended, also between the calls of a reader, and more of them
// while it is slow.
func TestAReaderFailsWhileTheLogDropsItsOldestRecords(t *testing.T) {
	for _, perRead := range []int64{1, 2, 4} {
		t.Run(fmt.Sprint(perRead), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := &expiringLog{Log: fakesharedlog.New()}
			const records = 200
			fill(g, log, 0, records, 0)
			log.perRead = perRead
			result, err := newReader(log).Find(t.Context(), keyOf(records-1), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
			result, err = newReader(log).Find(t.Context(), keyOf(records/2), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
		})
	}
}

// slowFailingLog is a log whose calls fail after a delay.
type slowFailingLog struct {
	sharedlog.Log
	calls atomic.Int64
	delay time.Duration
}

func (l *slowFailingLog) Bounds(context.Context, sharedlog.Stream) (first, end int64, err error) {
	l.calls.Add(1)
	time.Sleep(l.delay)
	return 0, 0, sharedlog.ErrUnknown
}

// Callers of many streams that broke off together must not cause a failing read each, nor wait for those of the
// callers before them.
func TestEachSearchTriesALogThatIsAway(t *testing.T) {
	for _, delay := range []time.Duration{0, readTimeout} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := &slowFailingLog{delay: delay}
				r := newReader(log)
				var searches sync.WaitGroup
				for number := range 200 {
					searches.Go(func() {
						time.Sleep(time.Duration(number) * time.Millisecond)
						began := time.Now()
						_, err := r.Find(t.Context(), keyOf(number), service)
						g.Expect(err).To(HaveOccurred())
						g.Expect(time.Since(began)).To(BeNumerically("<=", 2*readTimeout+minReadInterval))
					})
				}
				searches.Wait()
				g.Expect(log.calls.Load()).To(BeNumerically("<=", 6))
			})
		})
	}
}

// sizedLog counts the bytes that are appended to a log.
type sizedLog struct {
	*fakesharedlog.Log
	bytes atomic.Int64
}

func (l *sizedLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	offset, err := l.Log.Append(ctx, stream, end, record)
	if err == nil {
		l.bytes.Add(int64(len(record.Value)))
	}
	return offset, err
}

// While the log is away, boxes hand over the origins of their streams in flight again each time that they try a
// recorder. They must be appended once.
func TestOriginsAreAppendedForEachTryDuringAnOutageOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := &sizedLog{Log: fakesharedlog.New()}
		log.Underlying().SetFaults(fakelog.Faults{Down: true})
		w := startWriter(t, log)
		const streams = 600
		origins := make([]Origin, streams)
		for number := range origins {
			origins[number] = originOf(number)
		}
		for range 100 {
			w.Add(origins)
			time.Sleep(70 * time.Millisecond)
		}
		log.Underlying().SetFaults(fakelog.Faults{})
		time.Sleep(2 * maxFailurePause)
		g.Expect(log.bytes.Load()).To(BeNumerically("<", 2*KeySize*streams))
		for number := range origins {
			result, err := newReader(log).Find(t.Context(), keyOf(number), service)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Found).To(BeTrue())
		}
		w.Add(origins)
		time.Sleep(2 * appendInterval)
		g.Expect(log.bytes.Load()).To(BeNumerically(">", 2*KeySize*streams), "what has been appended may be lost with its era")
	})
}

// A reader must report since when it has all records: otherwise a stream whose record the log has dropped counts as one
// that needed none, and is resumed at the base version.
func TestDroppedRecordsAreTakenForRecordsThatWereNotNeeded(t *testing.T) {
	tests := []struct {
		name string
		// written are seconds at which one origin each is recorded, and dropped is how many of them the log drops.
		written []int
		dropped int64
		from    int64
		want    time.Duration
	}{
		{"nothing was ever written", nil, 0, 0, 0},
		{"all is there", []int{0, 10, 20}, 0, 0, 30 * time.Second},
		{"the first was dropped", []int{0, 10, 20}, 1, 1, 20 * time.Second},
		{"all were dropped", []int{0, 10, 20}, 3, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				log := fakesharedlog.New()
				began := time.Now()
				for number, at := range test.written {
					time.Sleep(time.Until(began.Add(time.Duration(at) * time.Second)))
					value, err := encode([]Origin{originOf(number)}, time.Now())
					g.Expect(err).NotTo(HaveOccurred())
					log.Put(sharedlog.Origins, "", value)
				}
				time.Sleep(time.Until(began.Add(30 * time.Second)))
				log.Underlying().Expire(sharedlog.Origins.String(), test.dropped)
				result, err := newReader(log).Find(t.Context(), keyOf(99), service)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(result.From).To(Equal(test.from))
				g.Expect(result.CompleteFor).To(BeNumerically("~", test.want, 100*time.Millisecond))
			})
		})
	}
}
