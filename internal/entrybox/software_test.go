package entrybox

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fleet"
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

// All boxes counted all servers each second, under the lock that calls are placed under, and only one box used it. The
// others have to notice when the list is out of date all the same.
func TestBoxesThatDoNotWriteCountTheServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		servers := fleet.New(fleet.Config{})
		servers.Apply([]fleet.Update{{Key: "a", Offset: 1, Server: &fleet.Server{Incarnation: "a", Service: "r", Software: "v1"}}})
		var l listFreshness
		g.Expect(l.software(0, false, servers)).To(BeEmpty())
		time.Sleep(time.Minute)
		g.Expect(l.software(0, true, servers)).To(HaveKeyWithValue("r", baseversion.Observation{Listed: map[string]int{"v1": 1}, Remembered: []string{"v1"}, ObservedFor: time.Minute}))
		g.Expect(l.software(maxObservedAge+1, false, servers)).To(BeEmpty())
		g.Expect(l.software(0, true, servers)).To(HaveKeyWithValue("r", HaveField("ObservedFor", time.Duration(0))))
	})
}
