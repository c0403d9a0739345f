package entrybox

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Time in which a box could not read the list of servers must not count as time without servers of a version.
func TestTimeWithoutAListCountsAsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var o listFreshness
		time.Sleep(time.Minute) // since the start of the box
		steps := []struct {
			age       time.Duration
			length    time.Duration
			isCurrent bool
		}{
			{maxObservedAge + 1, 0, false},
			{0, 0, true},
			{maxObservedAge, 10 * time.Second, true},
			{time.Minute, 0, false},
			{0, 0, true},
			{0, 10 * time.Second, true},
		}
		for _, step := range steps {
			length, isCurrent := o.update(step.age)
			g.Expect(isCurrent).To(Equal(step.isCurrent))
			g.Expect(length).To(Equal(step.length))
			time.Sleep(10 * time.Second)
		}
	})
}
