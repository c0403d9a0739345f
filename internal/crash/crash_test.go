package crash_test

import (
	"context"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
)

// Addresses of the server of all losses, and of another one of its zone.
const (
	lostAddress = "10.0.0.1:1"
	nearAddress = "10.0.0.2:1"
)

// outside is what a detector asks, as a test sets it.
type outside struct {
	mu      sync.Mutex
	refuses bool
	// near is what the other server of its zone answers.
	near  error
	fate  fleet.Fate
	asked int
	ended []crash.BrokenCall
}

func (o *outside) set(refuses bool, fate fleet.Fate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refuses, o.fate = refuses, fate
}

func (o *outside) counts() (asked, ended int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.asked, len(o.ended)
}

// start starts a detector before an outside, until the test ends.
func (o *outside) start(t *testing.T) *crash.Detector {
	t.Helper()
	detector := crash.New(crash.Config{
		Logger: zerolog.Nop(),
		Connect: func(ctx context.Context, address string) error {
			time.Sleep(time.Millisecond) // the way there and back
			if err := ctx.Err(); err != nil {
				return err
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if address == nearAddress {
				return o.near
			}
			o.asked++
			if o.refuses {
				return syscall.ECONNREFUSED
			}
			return nil
		},
		Neighbours: func(fleet.Server) []string { return []string{nearAddress} },
		Fate: func(string) fleet.Fate {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.fate
		},
		OnCrash: func(loss crash.BrokenCall) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.ended = append(o.ended, loss)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { detector.Loop(ctx) })
	t.Cleanup(func() { cancel(); loop.Wait() })
	return detector
}

func loss(name string) crash.BrokenCall {
	return crash.BrokenCall{Server: fleet.Server{Incarnation: "s@1", Address: lostAddress}, Request: fingerprint.Of(fingerprint.Request{Target: name})}
}

// On a day with a zone cut off, and its connections reset, a request came to be held that ended
// nothing: across such a cut new connections are refused, as by a server that ended. Each of two
// boxes took 14 servers of the other zones for ended within a second:
//
//	33.5  zone_cut (reset) oslo-hall-b
//	33.6  b-1 server_crashed server=i-a92189b9ec proof=refused  (and 13 more)
//	37.5  b-2 request_held fingerprint=c817793595164ea1 ends=3 heard=false
func TestWhatProvesThatAServerEnded(t *testing.T) {
	tests := []struct {
		name    string
		refuses bool
		near    error
		fate    fleet.Fate
		// later is what the registry says two seconds after the loss.
		later       fleet.Fate
		atOnce, all int
	}{
		{"it refuses connections", true, nil, fleet.FateListed, fleet.FateListed, 1, 1},
		{"it refuses connections, and so do others of its zone: a cut that resets", true, syscall.ECONNREFUSED, fleet.FateListed, fleet.FateListed, 0, 0},
		{"it refuses connections, and others of its zone do not answer", true, context.DeadlineExceeded, fleet.FateListed, fleet.FateListed, 0, 0},
		{"it refuses connections, so do others, and it did end", true, syscall.ECONNREFUSED, fleet.FateListed, fleet.FateReplaced, 0, 1},
		{"it refuses connections, as it was to end", true, nil, fleet.FateLeft, fleet.FateLeft, 0, 0},
		{"it takes connections: a reset, a cut, a garbled answer", false, nil, fleet.FateListed, fleet.FateListed, 0, 0},
		{"it is back before anybody looks", false, nil, fleet.FateListed, fleet.FateReplaced, 0, 1},
		{"another life is known before the loss is", false, nil, fleet.FateReplaced, fleet.FateReplaced, 0, 1},
		{"its entry goes, and nothing says why", false, nil, fleet.FateListed, fleet.FateLeft, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := &outside{refuses: test.refuses, near: test.near, fate: test.fate}
				crashed := o.start(t).Check(t.Context(), loss("r"))
				g.Expect(crashed).To(Equal(test.atOnce == 1))
				_, ended := o.counts()
				g.Expect(ended).To(Equal(test.atOnce))
				time.Sleep(2 * time.Second)
				o.set(test.refuses, test.later)
				time.Sleep(10 * time.Second)
				_, ended = o.counts()
				g.Expect(ended).To(Equal(test.all))
			})
		})
	}
}

// A server that ends takes some ten calls along; it is asked once, and each of them is told of.
func TestAServerIsAskedOnceForAllCallsThatItTookAlong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &outside{refuses: true, fate: fleet.FateListed}
		detector := o.start(t)
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() { detector.Check(t.Context(), loss(string(rune('a'+i)))) })
		}
		calls.Wait()
		time.Sleep(time.Second)
		detector.Check(t.Context(), loss("late"))
		asked, ended := o.counts()
		g.Expect(asked).To(Equal(1))
		g.Expect(ended).To(Equal(11))
	})
}

// A server that did not end may do so with the next call that it breaks off.
func TestAServerThatDidNotEndIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &outside{fate: fleet.FateListed}
		detector := o.start(t)
		g.Expect(detector.Check(t.Context(), loss("reset"))).To(BeFalse())
		time.Sleep(50 * time.Millisecond)
		o.set(true, fleet.FateListed)
		g.Expect(detector.Check(t.Context(), loss("r"))).To(BeTrue())
	})
}

// The first of the calls that a server took along asks for all of them, also when its own caller
// leaves that moment.
func TestACallerThatLeavesKeepsNobodyFromTheProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &outside{refuses: true, fate: fleet.FateListed}
		detector := o.start(t)
		leaving, leave := context.WithCancel(t.Context())
		go detector.Check(leaving, loss("first"))
		synctest.Wait() // it asks
		leave()
		g.Expect(detector.Check(t.Context(), loss("second"))).To(BeTrue())
		time.Sleep(time.Second)
		_, ended := o.counts()
		g.Expect(ended).To(Equal(2))
	})
}
