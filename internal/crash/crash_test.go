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

// Addresses of the server of all broken calls, and of another server in its zone.
const (
	crashedAddress   = "10.0.0.1:1"
	neighbourAddress = "10.0.0.2:1"
)

// environment is what a detector observes, as set by a test.
type environment struct {
	mu      sync.Mutex
	refuses bool
	// neighbour is the result of connecting to the other server of its zone.
	neighbour error
	status    fleet.RegistryStatus
	probes    int
	crashed   []crash.BrokenCall
}

func (o *environment) set(refuses bool, status fleet.RegistryStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refuses, o.status = refuses, status
}

func (o *environment) counts() (probes, crashed int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.probes, len(o.crashed)
}

// start starts a detector in the environment, which runs until the test ends.
func (o *environment) start(t *testing.T) *crash.Detector {
	t.Helper()
	detector := crash.New(crash.Config{
		Logger: zerolog.Nop(),
		Connect: func(ctx context.Context, address string) error {
			time.Sleep(time.Millisecond) // network round trip
			if err := ctx.Err(); err != nil {
				return err
			}
			o.mu.Lock()
			defer o.mu.Unlock()
			if address == neighbourAddress {
				return o.neighbour
			}
			o.probes++
			if o.refuses {
				return syscall.ECONNREFUSED
			}
			return nil
		},
		Neighbours: func(fleet.Server) []string { return []string{neighbourAddress} },
		RegistryStatus: func(string) fleet.RegistryStatus {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.status
		},
		OnCrash: func(call crash.BrokenCall) {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.crashed = append(o.crashed, call)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var loop sync.WaitGroup
	loop.Go(func() { detector.Loop(ctx) })
	t.Cleanup(func() { cancel(); loop.Wait() })
	return detector
}

func brokenCall(name string) crash.BrokenCall {
	return crash.BrokenCall{Server: fleet.Server{Incarnation: "s@1", Address: crashedAddress}, Request: fingerprint.Of(fingerprint.Request{Target: name})}
}

// A network partition that resets connections also refuses new ones, as a crashed server does. When
// a zone was partitioned in this way, two boxes each considered 14 servers of the other zones crashed
// within a second. 4 s after the partition began, a box quarantined a request that had crashed no
// server, because it counted three crashes under it.
func TestWhatProvesACrash(t *testing.T) {
	tests := []struct {
		name      string
		refuses   bool
		neighbour error
		status    fleet.RegistryStatus
		// later is the status in the registry two seconds after the call broke off.
		later       fleet.RegistryStatus
		atOnce, all int
	}{
		{"it refuses connections", true, nil, fleet.StatusListed, fleet.StatusListed, 1, 1},
		{"it refuses connections, and so do others in its zone: a network cut that resets", true, syscall.ECONNREFUSED, fleet.StatusListed, fleet.StatusListed, 0, 0},
		{"it refuses connections, and others in its zone do not answer", true, context.DeadlineExceeded, fleet.StatusListed, fleet.StatusListed, 0, 0},
		{"it refuses connections, so do others, and it has crashed", true, syscall.ECONNREFUSED, fleet.StatusListed, fleet.StatusReplaced, 0, 1},
		{"it refuses connections after a planned stop", true, nil, fleet.StatusLeft, fleet.StatusLeft, 0, 0},
		{"it accepts connections: a reset, a cut, a corrupt answer", false, nil, fleet.StatusListed, fleet.StatusListed, 0, 0},
		{"it restarts before it is probed", false, nil, fleet.StatusListed, fleet.StatusReplaced, 0, 1},
		{"its next incarnation is listed before the call breaks off", false, nil, fleet.StatusReplaced, fleet.StatusReplaced, 0, 1},
		{"its entry is removed without a known reason", false, nil, fleet.StatusListed, fleet.StatusLeft, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				o := &environment{refuses: test.refuses, neighbour: test.neighbour, status: test.status}
				crashed := o.start(t).Check(t.Context(), brokenCall("r"))
				g.Expect(crashed).To(Equal(test.atOnce == 1))
				_, reported := o.counts()
				g.Expect(reported).To(Equal(test.atOnce))
				time.Sleep(2 * time.Second)
				o.set(test.refuses, test.later)
				time.Sleep(10 * time.Second)
				_, reported = o.counts()
				g.Expect(reported).To(Equal(test.all))
			})
		})
	}
}

// A server that crashes takes down some ten calls. It is probed once, and each call is reported.
func TestAServerIsProbedOnceForAllCallsThatItTookDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &environment{refuses: true, status: fleet.StatusListed}
		detector := o.start(t)
		var calls sync.WaitGroup
		for i := range 10 {
			calls.Go(func() { detector.Check(t.Context(), brokenCall(string(rune('a'+i)))) })
		}
		calls.Wait()
		time.Sleep(time.Second)
		detector.Check(t.Context(), brokenCall("late"))
		probes, crashed := o.counts()
		g.Expect(probes).To(Equal(1))
		g.Expect(crashed).To(Equal(11))
	})
}

// A server that had not crashed may crash with the next call that it breaks off.
func TestAServerThatDidNotCrashIsProbedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &environment{status: fleet.StatusListed}
		detector := o.start(t)
		g.Expect(detector.Check(t.Context(), brokenCall("reset"))).To(BeFalse())
		time.Sleep(50 * time.Millisecond)
		o.set(true, fleet.StatusListed)
		g.Expect(detector.Check(t.Context(), brokenCall("r"))).To(BeTrue())
	})
}

// The first of the calls that a server took down probes it for all of them, even if its own
// caller leaves at that moment.
func TestACallerThatLeavesDoesNotCancelTheProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		o := &environment{refuses: true, status: fleet.StatusListed}
		detector := o.start(t)
		leaving, leave := context.WithCancel(t.Context())
		go detector.Check(leaving, brokenCall("first"))
		synctest.Wait() // it probes
		leave()
		g.Expect(detector.Check(t.Context(), brokenCall("second"))).To(BeTrue())
		time.Sleep(time.Second)
		_, reported := o.counts()
		g.Expect(reported).To(Equal(2))
	})
}
