// Package boottime provides a monotonic clock that includes the time in which the machine was
// suspended.
//
// The monotonic clock of the Go runtime stops during a suspension. Everything computed from it is
// too young after the resume: the age of another box's load report, the time since a server left,
// and the expiry of leases and call deadlines. A box that was suspended for five seconds would send
// calls to servers that left four seconds ago, and issue orders under a lease that another box has
// taken over. So an entry box computes all ages, leases and deadlines with this clock, and a
// suspension has the same effect as a process that was stalled.
//
// No timer watches for suspensions. Each reading checks whether the machine was suspended since the
// last one. The wall clock, which a reading of the runtime's clock includes, continues during a
// suspension. Only when it has moved differently from the monotonic clock does the package read the
// system's boot clock, which distinguishes a suspension from a change of the wall clock.
//
// Timers and connection deadlines use the runtime's clock. A time from this package is not a valid
// time there: pass a duration (Until) instead of a time.
package boottime

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is the difference between the wall clock and the monotonic clock above which the boot
// clock is read, and the length up to which a suspension is ignored.
const tolerance = 10 * time.Millisecond

// clock is the state of this process's clock.
type clock struct {
	// monotonic and wall come from one reading of the runtime's clock, the reference from which
	// shift is measured.
	monotonic time.Time
	wall      time.Time
	// shift is how far the wall clock had advanced past the monotonic clock at the last check.
	shift atomic.Int64
	// suspended is how long the machine has been suspended since the process started.
	suspended atomic.Int64
	// fakeSuspension, if a test has set it, replaces the system's clocks.
	fakeSuspension atomic.Pointer[func() time.Duration]

	mu sync.Mutex
	// ahead is how far the boot clock was ahead of the monotonic clock at the last check.
	ahead    time.Duration
	onResume func(length time.Duration)
}

var processClock = newClock()

func newClock() *clock {
	now := time.Now()
	c := &clock{monotonic: now, wall: now.Round(0)}
	c.ahead, _ = bootAhead()
	return c
}

// Now returns the current time. The difference between two readings includes suspensions; the wall
// clock part has no meaning.
func Now() time.Time { return processClock.now() }

// Since returns the time elapsed since a reading of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// TimeOfDay returns the time of day, which continues during a suspension and may jump. It is for times that
// other machines compare, such as those in records of the log.
func TimeOfDay() time.Time { return time.Now().Round(0) }

// OnResume sets the function that is called with the length of a suspension after the machine has
// resumed. It runs on the goroutine that detects the suspension, and must not block.
func OnResume(notify func(length time.Duration)) {
	processClock.mu.Lock()
	defer processClock.mu.Unlock()
	processClock.onResume = notify
}

// FakeSuspension makes the clock report the suspension that a function returns, until restore is
// called. It is meant for tests.
func FakeSuspension(suspended func() time.Duration) (restore func()) {
	processClock.fakeSuspension.Store(&suspended)
	return func() { processClock.fakeSuspension.Store(nil) }
}

func (c *clock) now() time.Time {
	now := time.Now()
	if fake := c.fakeSuspension.Load(); fake != nil {
		return now.Add((*fake)())
	}
	shift := now.Round(0).Sub(c.wall) - now.Sub(c.monotonic)
	if before := time.Duration(c.shift.Load()); (shift - before).Abs() > tolerance {
		c.measureSuspension(shift)
	}
	return now.Add(time.Duration(c.suspended.Load()))
}

// measureSuspension reads the system's clocks to find out whether the machine was suspended.
func (c *clock) measureSuspension(shift time.Duration) {
	c.mu.Lock()
	length, notify := time.Duration(0), c.onResume
	if ahead, ok := bootAhead(); ok {
		if length = ahead - c.ahead; length > tolerance {
			c.ahead = ahead
			c.suspended.Add(int64(length))
		}
	}
	c.shift.Store(int64(shift))
	c.mu.Unlock()
	if notify != nil && length > tolerance {
		notify(length)
	}
}

const (
	// maxReads is the number of attempts to read both clocks within maxReadGap.
	maxReads   = 5
	maxReadGap = time.Millisecond
)

// bootAhead returns how far the boot clock is ahead of the monotonic clock. They can't be read at
// the same instant, and a delay of the process between the two readings would look like a
// suspension, so a pair of readings is used only if they are close together.
func bootAhead() (ahead time.Duration, ok bool) {
	for range maxReads {
		before, first := readClock(unix.CLOCK_MONOTONIC)
		boot, second := readClock(unix.CLOCK_BOOTTIME)
		after, third := readClock(unix.CLOCK_MONOTONIC)
		if first && second && third && after-before <= maxReadGap {
			return boot - before, true
		}
	}
	return 0, false
}

func readClock(id int32) (time.Duration, bool) {
	var at unix.Timespec
	if err := unix.ClockGettime(id, &at); err != nil {
		return 0, false // the system doesn't have this clock, so no suspension can be detected
	}
	return time.Duration(at.Nano()), true
}
