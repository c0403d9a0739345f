package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A server that was found gone when the registry came back is believed in for 1.8 s, since its
// entry may have lapsed. A machine that was suspended in these moments went on believing in it
// after waking, seconds after it had left.
func TestALapsedServerIsNotBelievedInAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		f := newFleet("s")
		outage(f, 5*time.Second)
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		name, _ := choose(f)
		g.Expect(name).To(Equal("s"))
		machine.Suspend(3 * time.Second)
		name, _ = choose(f)
		g.Expect(name).To(BeEmpty())
	})
}
