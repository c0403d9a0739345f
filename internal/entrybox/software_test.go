package entrybox

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A box that could not read the list of servers must not count that time as one in which it has seen no server of a
// version.
func TestTimeWithoutAListCountsAsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var o observation
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
			length, isCurrent := o.lasted(step.age)
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
		var o observation
		g.Expect(o.software(0, false, servers)).To(BeEmpty())
		time.Sleep(time.Minute)
		g.Expect(o.software(0, true, servers)).To(HaveKeyWithValue("r", baseversion.Observation{Listed: map[string]int{"v1": 1}, Remembered: []string{"v1"}, ObservedFor: time.Minute}))
		g.Expect(o.software(maxObservedAge+1, false, servers)).To(BeEmpty())
		g.Expect(o.software(0, true, servers)).To(HaveKeyWithValue("r", HaveField("ObservedFor", time.Duration(0))))
	})
}
