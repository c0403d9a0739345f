package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Each reading lies between two of the runtime's clock, so what passes between two readings does
// too, however long the machine holds the test up.
func TestItGoesWithTheSteadyClock(t *testing.T) {
	g := NewWithT(t)
	outer, begun, inner := time.Now(), Now(), time.Now()
	time.Sleep(20 * time.Millisecond)
	shortest := time.Since(inner)
	passed := Since(begun)
	longest := time.Since(outer)
	g.Expect(passed).To(And(BeNumerically(">=", shortest), BeNumerically("<=", longest)))
}

func TestItGoesWithAPausedClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		begun := Now()
		time.Sleep(time.Hour)
		g.Expect(Since(begun)).To(Equal(time.Hour))
	})
}

func TestAPretendedSuspensionCounts(t *testing.T) {
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

// The time of day may be set; that is no suspension, and costs one look.
func TestATimeOfDayThatWasSetIsNoSuspension(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	told := 0
	c.woke = func(time.Duration) { told++ }
	c.timeOfDay = c.timeOfDay.Add(-3 * time.Second)
	c.now()
	g.Expect(time.Duration(c.suspended.Load())).To(BeZero())
	g.Expect(time.Duration(c.shift.Load())).To(BeNumerically("~", 3*time.Second, 10*time.Millisecond))
	g.Expect(told).To(BeZero())
}

// A suspension shows in the time of day, and the boot clock says how long it was.
func TestASuspensionIsSeenByTheNextReading(t *testing.T) {
	g := NewWithT(t)
	c := newClock()
	var lengths []time.Duration
	c.woke = func(length time.Duration) { lengths = append(lengths, length) }
	outer, begun := time.Now(), c.now()
	c.timeOfDay, c.ahead = c.timeOfDay.Add(-3*time.Second), c.ahead-3*time.Second
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
