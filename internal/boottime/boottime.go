// Package boottime is the steady clock that also counts the time in which the machine was
// suspended.
//
// The runtime's steady clock stands still meanwhile. Whatever is worked out from it is too
// young after waking: how old another box's word is, how long ago a server left, whether a
// permission or a caller's patience is over. A box that had slept for five seconds would hand
// calls to servers that left four seconds ago, and give orders by a lease that another box has
// taken over. So all ages, leases and deadlines of an entry box are worked out from this
// clock, and a machine that was suspended is one that stood still.
//
// Nothing waits for a timer to see it: each reading looks whether the machine was suspended
// since the last one. The time of day, which a reading of the runtime's clock gives besides,
// moves on during a suspension; only when it has moved otherwise than the steady clock is the
// system's boot clock asked, which tells a suspension from a time of day that was set.
//
// Timers and deadlines of connections go by the runtime's clock. A moment of this clock is no
// moment of that one: give them a length (Until) and never a moment.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is how far the time of day may move otherwise than the steady clock before the boot
// clock is asked, and how short a suspension may be that is not counted.
const tolerance = 10 * time.Millisecond

// clock is the state of this process's clock.
type clock struct {
	// steady and timeOfDay are those of one reading of the runtime's clock, from which shift
	// is counted.
	steady    time.Time
	timeOfDay time.Time
	// shift is how far the time of day had moved past the steady clock at the last look.
	shift atomic.Int64
	// suspended is how long the machine has been suspended since the process began.
	suspended atomic.Int64
	// pretended, where a test set it, is asked instead of the system.
	pretended atomic.Pointer[func() time.Duration]

	mu sync.Mutex
	// ahead is how far the boot clock was ahead of the steady clock at the last look.
	ahead time.Duration
	woke  func(length time.Duration)
}

var system = newClock()

func newClock() *clock {
	now := time.Now()
	c := &clock{steady: now, timeOfDay: now.Round(0)}
	c.ahead, _ = bootAhead()
	return c
}

// Now gives the time. Its difference to another reading counts suspensions; its time of day
// does not mean anything.
func Now() time.Time { return system.now() }

// Since gives the time that has passed since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until gives the time that is left until a moment of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// OnWake has a function told how long the machine was suspended, on the goroutine that finds it
// out. It must not wait.
func OnResume(told func(length time.Duration)) {
	system.mu.Lock()
	defer system.mu.Unlock()
	system.woke = told
}

// Pretend has the clock believe that the machine was suspended for as long as a function says,
// until restore is called; for tests.
func FakeSuspension(suspended func() time.Duration) (restore func()) {
	system.pretended.Store(&suspended)
	return func() { system.pretended.Store(nil) }
}

func (c *clock) now() time.Time {
	now := time.Now()
	if pretended := c.pretended.Load(); pretended != nil {
		return now.Add((*pretended)())
	}
	shift := now.Round(0).Sub(c.timeOfDay) - now.Sub(c.steady)
	if before := time.Duration(c.shift.Load()); (shift - before).Abs() > tolerance {
		c.look(shift)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// look asks the system whether the machine was suspended.
func (c *clock) look(shift time.Duration) {
	c.mu.Lock()
	length, told := time.Duration(0), c.woke
	if ahead, ok := bootAhead(); ok {
		if length = ahead - c.ahead; length > tolerance {
			c.ahead = ahead
			c.suspended.Add(int64(length))
		}
	}
	c.shift.Store(int64(shift))
	c.mu.Unlock()
	if told != nil && length > tolerance {
		told(length)
	}
}

const (
	// mostReadings bounds the readings of a pair of clocks that is taken within closeTogether.
	mostReadings  = 5
	closeTogether = time.Millisecond
)

// bootAhead gives how far the boot clock is ahead of the steady clock. Both cannot be read at
// once, and a reading between which the process had to wait would look like a suspension, so
// one is taken that lies close together.
func bootAhead() (ahead time.Duration, ok bool) {
	for range mostReadings {
		before, first := read(unix.CLOCK_MONOTONIC)
		boot, second := read(unix.CLOCK_BOOTTIME)
		after, third := read(unix.CLOCK_MONOTONIC)
		if first && second && third && after-before <= closeTogether {
			return boot - before, true
		}
	}
	return 0, false
}

func read(id int32) (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, false // this system has no such clock, and no suspension is seen
	}
	return time.Duration(at.Nano()), true
}
