package crash_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
)

// outside is what a detector asks, as a test sets it.
type outside struct {
	mu      sync.Mutex
	refuses bool
	fate    fleet.Fate
	asked   int
	ended   []crash.Loss
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
		Refuses: func(context.Context, string) bool {
			time.Sleep(time.Millisecond) // the way there and back
			o.mu.Lock()
			defer o.mu.Unlock()
			o.asked++
			return o.refuses
		},
		Fate: func(string) fleet.Fate {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.fate
		},
		Ended: func(loss crash.Loss) {
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

func loss(name string) crash.Loss {
	return crash.Loss{Server: fleet.Server{Incarnation: "s@1", Address: "10.0.0.1:1"}, Request: fingerprint.Of(fingerprint.Request{Target: name})}
}

func TestWhatProvesThatAServerEnded(t *testing.T) {
	tests := []struct {
		name    string
		refuses bool
		fate    fleet.Fate
		// later is what the registry says two seconds after the loss.
		later       fleet.Fate
		atOnce, all int
	}{
		{"it refuses connections", true, fleet.FateListed, fleet.FateListed, 1, 1},
		{"it refuses connections, as it was to end", true, fleet.FateLeft, fleet.FateLeft, 0, 0},
		{"it takes connections: a reset, a cut, a garbled answer", false, fleet.FateListed, fleet.FateListed, 0, 0},
		{"it is back before anybody looks", false, fleet.FateListed, fleet.FateReplaced, 0, 1},
		{"another life is known before the loss is", false, fleet.FateReplaced, fleet.FateReplaced, 0, 1},
		{"its entry goes, and nothing says why", false, fleet.FateListed, fleet.FateLeft, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := &outside{refuses: test.refuses, fate: test.fate}
				crashed := o.start(t).Judge(t.Context(), loss("r"))
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
			calls.Go(func() { detector.Judge(t.Context(), loss(string(rune('a'+i)))) })
		}
		calls.Wait()
		time.Sleep(time.Second)
		detector.Judge(t.Context(), loss("late"))
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
		g.Expect(detector.Judge(t.Context(), loss("reset"))).To(BeFalse())
		time.Sleep(50 * time.Millisecond)
		o.set(true, fleet.FateListed)
		g.Expect(detector.Judge(t.Context(), loss("r"))).To(BeTrue())
	})
}
