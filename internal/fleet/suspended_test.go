package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A server that is delisted when the registry recovers stays usable for 1.8 s, since its entry may
// have lapsed. A box whose machine was suspended in that time continued to use the server after the
// resume, seconds after it had left.
func TestGracePeriodIncludesSuspension(t *testing.T) {
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
