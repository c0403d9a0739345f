package registry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// silentLog counts its calls, and gives no answer while it is silent.
type silentLog struct {
	sharedlog.Log
	silent atomic.Bool
	calls  atomic.Int64
}

func (l *silentLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	l.calls.Add(1)
	if l.silent.Load() {
		<-ctx.Done()
		return sharedlog.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, wait)
}

// callEnds is when a call ends at the latest that had no answer as the log came back.
const callEnds = time.Second

// An outage of the log of 8 s had each of 295 boxes ask for both streams twice a second, also
// those that follow another box, which all said that they could not read it either: up
// to 9,000 calls. A box that follows one needs its own questions only in
// case it alone is cut off, and nothing is bound to a time until the log has been back for
// three seconds.
func TestAFollowerAsksSeldomInAnOutage(t *testing.T) {
	tests := []struct {
		name             string
		followed, lost   bool
		most             int64
		knownWithin, off time.Duration
	}{
		{"a box that reads itself", false, false, 80, callEnds + 700*time.Millisecond, 8 * time.Second},
		{"a follower", true, false, 16, callEnds + 1700*time.Millisecond, 8 * time.Second},
		{"a follower whose reader is lost", true, true, 12, callEnds + 1700*time.Millisecond, 8 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				log := &silentLog{Log: fakesharedlog.New()}
				r := registry.New(registry.Config{
					Log: log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(),
					HasReader: func() bool { return test.followed }, ReaderLostLog: func() bool { return test.lost },
				})
				go r.LoopOperator(ctx)
				go r.LoopServers(ctx)
				time.Sleep(3 * time.Second)
				log.silent.Store(true)
				log.calls.Store(0)
				time.Sleep(test.off)
				g.Expect(log.calls.Load()).To(BeNumerically("<=", test.most))
				log.silent.Store(false)
				back := time.Now()
				time.Sleep(test.knownWithin)
				g.Expect(r.OperatorReadAt()).To(BeTemporally(">=", back), "the operators' stream")
				g.Expect(r.ServersAge()).To(BeNumerically("<", test.knownWithin), "the servers' stream")
			})
		})
	}
}

// A box that starts waits to be told of the log, but not for long, and not at all when it is
// to read for itself.
func TestABoxThatStartsWaitsToBeTold(t *testing.T) {
	const firstWait = 300 * time.Millisecond
	tests := []struct {
		name  string
		then  func(r *registry.Registry)
		calls int64
	}{
		{"nobody tells it", func(*registry.Registry) { time.Sleep(firstWait) }, 2},
		{"it is to read itself", func(r *registry.Registry) { r.ReadDirectly() }, 2},
		{"it is told", func(r *registry.Registry) {
			for _, stream := range []sharedlog.Stream{sharedlog.Operator, sharedlog.Servers} {
				r.ApplyUpdate(registry.StreamUpdate{Stream: stream, Full: true, Next: 1}, time.Now())
			}
			time.Sleep(firstWait)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer synctest.Wait()
				defer cancel()
				log := &newestLog{Log: fakesharedlog.New()}
				r := registry.New(registry.Config{
					Log: log, Decoder: decoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), FirstReadDelay: firstWait,
				})
				go r.LoopOperator(ctx)
				go r.LoopServers(ctx)
				time.Sleep(firstWait / 2)
				g.Expect(log.readings.Load()).To(BeZero())
				test.then(r)
				time.Sleep(10 * time.Millisecond)
				g.Expect(log.readings.Load()).To(Equal(test.calls))
			})
		})
	}
}

// newestLog counts the readings of all keys.
type newestLog struct {
	sharedlog.Log
	readings atomic.Int64
}

func (l *newestLog) Newest(ctx context.Context, stream sharedlog.Stream) (sharedlog.Page, error) {
	l.readings.Add(1)
	return l.Log.Newest(ctx, stream)
}
