package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Each reading is taken between two readings of the runtime's clock, so the elapsed time lies
// between theirs, however long the test is delayed.
func TestFollowsMonotonicClock(t *testing.T) {
	g := NewWithT(t)
	outer, begun, inner := time.Now(), Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	shortest := time.Since(inner)
	passed := Since(begun)
	longest := time.Since(outer)
	g.Expect(passed).To(And(BeNumerically(">=", shortest), BeNumerically("<=", longest)))
}

func TestFollowsSynctestClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begun := Now()
		time.Sleep(time.Hour)
		g.Expect(Since(begun)).To(Equal(time.Hour))
	})
}

func TestFakeSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		suspended := time.Duration(0)
		defer FakeSuspension(func() time.Duration { return suspended })()
		begun := Now()
		time.Sleep(time.Second)
		suspended = 5 * time.Second
		g.Expect(Since(begun)).To(Equal(6 * time.Second))
	})
}

// A change of the wall clock is not a suspension, and costs one reading of the boot clock.
func TestWallClockChangeIsNoSuspension(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	calls := 0
	c.onResume = func(time.Duration) { calls++ }
	c.wall = c.wall.Add(-3 * time.Second)
	c.now()
	g.Expect(time.Duration(c.suspended.Load())).To(BeZero())
	g.Expect(time.Duration(c.shift.Load())).To(BeNumerically("~", 3*time.Second, 10*time.Millisecond))
	g.Expect(calls).To(BeZero())
}

// A suspension shows as a jump of the wall clock, and its length is read from the boot clock.
func TestNextReadingDetectsSuspension(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	var lengths []time.Duration
	c.onResume = func(length time.Duration) { lengths = append(lengths, length) }
	outer, begun := time.Now(), c.now()
	c.wall, c.ahead = c.wall.Add(-3*time.Second), c.ahead-3*time.Second
	passed := c.now().Sub(begun)
	g.Expect(passed).To(And(BeNumerically(">=", 3*time.Second-tolerance), BeNumerically("<=", 3*time.Second+tolerance+time.Since(outer))))
	c.now()
	g.Expect(lengths).To(HaveLen(1))
	g.Expect(lengths[0]).To(BeNumerically("~", 3*time.Second, 10*time.Millisecond))
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

func BenchmarkRuntimeNow(b *testing.B) {
	for b.Loop() {
		time.Now()
	}
}
