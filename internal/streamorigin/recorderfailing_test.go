package streamorigin

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// failingLog is a log that a box does not reach while failing is set.
type failingLog struct {
	sharedlog.Log
	failing atomic.Bool
}

func (l *failingLog) Append(ctx context.Context, stream sharedlog.Stream, end int64, record sharedlog.Record) (int64, error) {
	if l.failing.Load() {
		return 0, sharedlog.ErrRefused
	}
	return l.Log.Append(ctx, stream, end, record)
}

func (l *failingLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	if l.failing.Load() {
		return sharedlog.Page{}, sharedlog.ErrRefused
	}
	return l.Log.Read(ctx, stream, from, wait)
}

func (l *failingLog) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	if l.failing.Load() {
		return sharedlog.Page{}, sharedlog.ErrRefused
	}
	return l.Log.NewestPage(ctx, stream, after)
}

func (l *failingLog) Bounds(ctx context.Context, stream sharedlog.Stream) (first, end int64, err error) {
	if l.failing.Load() {
		return 0, 0, sharedlog.ErrRefused
	}
	return l.Log.Bounds(ctx, stream)
}

// The platform's log may turn single boxes away. If that happens to the recorder, another one must record.
func TestARecorderThatCannotReachTheLogRecordsNothing(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	logs := make([]*failingLog, 4)
	boxes := startBoxesWith(t, g, func(box int) sharedlog.Log {
		logs[box] = &failingLog{Log: log}
		return logs[box]
	}, "a", "a", "a", "a")
	recorder := boxNumber(boxes, recorderOf(boxes[0]))
	logs[recorder].failing.Store(true)
	number := 0
	g.Eventually(func() string {
		boxes[0].Note(keyOfNumber(number), originOf(number))
		number++
		return recorderOf(boxes[0])
	}, recordedWithin, 20*time.Millisecond).ShouldNot(Equal(boxes[recorder].box.Name))
	last := keyOfNumber(number)
	boxes[0].Note(last, originOf(number))
	g.Eventually(func() bool { return reads(g, log, last, originOf(number).Software) }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	for i, b := range boxes {
		if i != 0 {
			b.stop()
		}
	}
	logs[0].failing.Store(false)
	evidence := boxes[0].Find(t.Context(), keyOfNumber(number+1), service)
	g.Expect(evidence.LogRead).To(BeTrue(), "a box without other boxes reads by itself")
}

// A box that records by itself must leave that to another one, too, when the log turns it away.
func TestARecorderKeepsItsOwnOriginsWhenTheLogTurnsItAway(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	logs := make([]*failingLog, 3)
	boxes := startBoxesWith(t, g, func(box int) sharedlog.Log {
		logs[box] = &failingLog{Log: log}
		return logs[box]
	}, "a", "a", "b")
	recorder := boxNumber(boxes, recorderOf(boxes[0]))
	logs[recorder].failing.Store(true)
	number := 0
	g.Eventually(func() bool {
		boxes[recorder].Note(keyOfNumber(number), originOf(number))
		number++
		return reads(g, log, keyOfNumber(0), "v1")
	}, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	evidence := boxes[recorder].Find(t.Context(), keyOfNumber(number), service)
	g.Expect(evidence.LogRead).To(BeTrue(), "another box reads for it")
	for _, each := range logs {
		each.failing.Store(true)
	}
	for _, b := range boxes {
		evidence := b.Find(t.Context(), keyOfNumber(number), service)
		g.Expect(evidence.LogRead).To(BeFalse())
	}
}

// A box of the previous program version holds origins and records none. Streams must be recorded by another box
// while both versions run side by side.
func TestABoxThatRecordsNothingIsTheRecorder(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	boxes := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a", "a", "a", "a")
	recorder := boxes[boxNumber(boxes, recorderOf(boxes[0]))]
	recorder.stop()
	recorder.listen(g)
	recorder.log = nil
	recorder.start()
	for i, b := range boxes {
		if b != recorder {
			b.Note(keyOfNumber(i), originOf(i))
			g.Eventually(func() bool { return reads(g, log, keyOfNumber(i), originOf(i).Software) }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
		}
	}
}

// Recorders that accept connections and never answer, one after the other, must not use up a caller's first second.
func TestSilentRecordersDelayACaller(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	box := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a")[0]
	box.Note(keyOfNumber(0), originOf(0))
	g.Eventually(func() bool { return reads(g, log, keyOfNumber(0), "v1") }, recordedWithin, 20*time.Millisecond).Should(BeTrue())
	var others []Box
	for _, name := range []string{"silent-1", "silent-2", "silent-3", "silent-4"} {
		silent, err := net.Listen("tcp", freePort)
		g.Expect(err).NotTo(HaveOccurred())
		defer silent.Close()
		others = append(others, Box{Name: name, Zone: "a", Address: silent.Addr().String(), Cores: 1})
	}
	o := New(Config{
		Logger: zerolog.Nop(), Self: Box{Name: "self", Zone: "a"}, Others: func() []Box { return others },
		Versions: func(string) []string { return []string{"v1", "v2"} }, Reader: newTestReader(log),
	})
	began := time.Now()
	evidence := o.Find(t.Context(), keyOfNumber(0), service)
	g.Expect(evidence.Found).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
}
