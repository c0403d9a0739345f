package streamorigin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// loneBox is a box without others that records by itself.
type loneBox struct {
	*Origins
	log      *fakesharedlog.Log
	versions []string
	era      int64
	loops    sync.WaitGroup
	stop     func()
}

// startLoneBox starts a box whose service has versions. It stops before the test ends.
func startLoneBox(t *testing.T, versions ...string) *loneBox {
	t.Helper()
	b := &loneBox{log: fakesharedlog.New(), versions: versions}
	writer := originlog.NewWriter(originlog.WriterConfig{Log: b.log})
	b.Origins = New(Config{
		Logger: zerolog.Nop(), Self: Box{Name: "self", Process: "first"}, Others: func() []Box { return nil },
		Versions: func(string) []string { return b.versions }, Services: func() []string { return []string{service} },
		Writer: writer, Reader: newTestReader(b.log), LogEra: func() int64 { return b.era },
		Bases: baseversion.New(baseversion.Config{Log: b.log, Eras: &sharedlog.Eras{}}),
	})
	ctx, stop := context.WithCancel(t.Context())
	b.loops.Go(func() { writer.Loop(ctx) })
	b.stop = func() {
		stop()
		b.loops.Wait()
	}
	t.Cleanup(b.stop)
	return b
}

// Each call of the log has a price, and a stream of the base version needs none.
func TestEachStreamThatAwaitsItsRecordCausesACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
		const streams = 2 * maxBatch
		var began sync.WaitGroup
		for number := range streams {
			began.Go(func() { g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(number), originOf(number))).To(BeTrue()) })
		}
		began.Wait()
		g.Expect(b.log.Underlying().Appends()).To(BeNumerically("<=", 2))
		for number := 1; number < streams; number += 2 {
			g.Expect(reads(g, b.log, keyOfNumber(number), "v2")).To(BeTrue())
		}
		g.Expect(reads(g, b.log, keyOfNumber(0), "v1")).To(BeFalse(), "it is of the base version")
	})
}

// A log that is away must delay the first events for a bounded time, and only the first ones.
func TestFirstEventsWaitForALogThatIsAway(t *testing.T) {
	for _, faults := range []fakelog.Faults{{Down: true}, {Delay: time.Hour}} {
		t.Run(fmt.Sprint(faults), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				b := startLoneBox(t, "v1", "v2")
				b.log.Underlying().SetFaults(faults)
				began := time.Now()
				g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(1), originOf(1))).To(BeFalse())
				g.Expect(time.Since(began)).To(BeNumerically("<=", awaitTimeout))
				time.Sleep(5 * time.Second)
				began = time.Now()
				g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(3), originOf(3))).To(BeFalse())
				g.Expect(time.Since(began)).To(BeNumerically("<=", awaitDelay))
			})
		})
	}
}

// A caller that goes away must not take the records of others along.
func TestACallerThatGoesAwayTakesTheRecordsOfOthersAlong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		var began sync.WaitGroup
		began.Go(func() { g.Expect(b.AwaitRecord(ctx, keyOfNumber(1), originOf(1))).To(BeFalse()) })
		synctest.Wait()
		began.Go(func() { g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(3), originOf(3))).To(BeTrue()) })
		cancel()
		began.Wait()
		g.Expect(reads(g, b.log, keyOfNumber(3), "v2")).To(BeTrue())
	})
}

// The log keeps records for a bounded time. A stream that is not of the base version must be recorded again also
// while its version is the only one.
func TestALongStreamOfTheOnlyVersionIsLostWithTheHistoryOfTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := startLoneBox(t, "v2")
		b.keepBases(tableOf(g, baseversion.Base{Version: "v1", Present: true}, 0))
		ctx, stop := context.WithCancel(t.Context())
		b.loops.Go(func() { b.LoopRecord(ctx) })
		defer stop()
		b.Note(keyOfNumber(1), Origin{Service: service, Software: "v2", Expires: time.Now().Add(2 * time.Minute)})
		g.Expect(b.AwaitRecord(t.Context(), keyOfNumber(1), originOf(1))).To(BeTrue())
		for second := range 60 {
			time.Sleep(time.Second)
			b.log.Underlying().ExpireOlder(20 * time.Second)
			g.Expect(reads(g, b.log, keyOfNumber(1), "v2")).To(BeTrue(), "after %d s", second+1)
		}
	})
}

// brokenRecorder is a box that takes part in the records of others in a way that is not of use.
type brokenRecorder func(connection net.Conn, reader *frame.Reader) bool

var (
	// dying reads a request and closes the connection.
	dying brokenRecorder = func(_ net.Conn, reader *frame.Reader) bool {
		_ = frame.Read(reader, &request{}, maxRequestBytes)
		return false
	}
	// earlier responds as an earlier version of the program, which knows of no base versions. It writes nothing.
	earlier brokenRecorder = func(connection net.Conn, reader *frame.Reader) bool {
		var received request
		if frame.Read(reader, &received, maxRequestBytes) != nil {
			return false
		}
		answer := response{Recorded: received.Record, LogRead: received.Recorded, Versions: []string{"v1", "v2"}}
		return frame.Write(connection, &answer, exchangeTimeout) == nil
	}
	silent brokenRecorder = func(net.Conn, *frame.Reader) bool { time.Sleep(time.Second); return false }
)

func (r brokenRecorder) start(t *testing.T, g *WithT) Box {
	t.Helper()
	listener, err := net.Listen("tcp", freePort)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	server := frame.NewServer(zerolog.Nop(), func(_ context.Context, connection net.Conn, reader *frame.Reader) {
		for r(connection, reader) {
		}
	})
	var loops sync.WaitGroup
	loops.Go(func() { server.LoopAccept(ctx, listener) })
	t.Cleanup(func() {
		stop()
		loops.Wait()
		server.Wait()
	})
	return Box{Zone: "a", Address: listener.Addr().String(), Cores: 1}
}

// startBehind starts a box whose recorder is a given one, and another box that records after it.
func startBehind(t *testing.T, g *WithT, log sharedlog.Log, recorder Box) *Origins {
	t.Helper()
	next := startBoxesWith(t, g, func(int) sharedlog.Log { return log }, "a")[0]
	writer := originlog.NewWriter(originlog.WriterConfig{Log: log})
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { writer.Loop(ctx) })
	t.Cleanup(func() {
		stop()
		loops.Wait()
	})
	var o *Origins
	for number := 0; o == nil || o.chosenRecorder.Name != recorder.Name; number++ {
		recorder.Name = fmt.Sprint("recorder-", number)
		o = New(Config{
			Logger: zerolog.Nop(), Self: Box{Name: "self", Zone: "a"}, Others: func() []Box { return []Box{recorder, next.current()} },
			Versions: func(string) []string { return []string{"v1", "v2"} }, Services: func() []string { return []string{service} },
			Writer: writer, Reader: newTestReader(log), LogEra: func() int64 { return 0 },
			Bases: baseversion.New(baseversion.Config{Log: log, Eras: &sharedlog.Eras{}}),
		})
		o.recorder()
	}
	t.Cleanup(o.client.CloseIdle)
	return o
}

// A recorder that dies with the origins, or that does not say whether they are in the log, must be replaced within
// the wait of a first event.
func TestAFirstEventIsSentWithoutARecordSinceItsRecorderIsBroken(t *testing.T) {
	tests := []struct {
		name     string
		recorder brokenRecorder
		// little is set if it leaves another one little time, which may not be enough on a busy machine.
		little bool
	}{
		{"it dies", dying, false},
		{"it does not respond", silent, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := fakesharedlog.New()
			o := startBehind(t, g, log, test.recorder.start(t, g))
			began := time.Now()
			recorded := o.AwaitRecord(t.Context(), keyOfNumber(1), originOf(1))
			g.Expect(time.Since(began)).To(BeNumerically("<", awaitTimeout+200*time.Millisecond), "on a busy machine")
			g.Expect(recorded || test.little).To(BeTrue())
			if recorded {
				g.Expect(reads(g, log, keyOfNumber(1), "v2")).To(BeTrue())
			}
		})
	}
}

// Boxes must not record by themselves while the program is replaced: a recorder of an earlier version takes origins, but
// does not say that they are in the log.
func TestARecorderOfAnEarlierVersionIsReplaced(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	writer := originlog.NewWriter(originlog.WriterConfig{Log: log})
	ctx, stop := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { writer.Loop(ctx) })
	t.Cleanup(loops.Wait)
	t.Cleanup(stop)
	writing := brokenRecorder(func(connection net.Conn, reader *frame.Reader) bool {
		var received request
		if frame.Read(reader, &received, maxRequestBytes) != nil {
			return false
		}
		answer := response{Recorded: writer.Add(loggedOrigins(received.Origins))}
		return frame.Write(connection, &answer, exchangeTimeout) == nil
	})
	o := startBehind(t, g, log, writing.start(t, g))
	chosen, _ := o.recorder()
	for number := 1; number < 12; number += 2 {
		g.Expect(o.AwaitRecord(t.Context(), keyOfNumber(number), originOf(number))).To(BeTrue())
		g.Expect(reads(g, log, keyOfNumber(number), "v2")).To(BeTrue())
		now, self := o.recorder()
		g.Expect(self).To(BeFalse())
		g.Expect(now.Name).To(Equal(chosen.Name))
	}
}

// A recorder of an earlier version of the program sends no base versions, so the box reads them itself.
func TestAStreamIsResumedWithoutTheBaseVersionBehindAnEarlierRecorder(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	putBase(g, log, baseversion.Base{Version: "v1", Present: true})
	o := startBehind(t, g, log, earlier.start(t, g))
	evidence := o.Find(t.Context(), keyOfNumber(7), service)
	g.Expect(evidence.BaseVersion()).To(Equal("v1"))
	software, known := Decide(evidence, 0)
	g.Expect(known).To(BeTrue())
	g.Expect(software).To(Equal("v1"))
}
