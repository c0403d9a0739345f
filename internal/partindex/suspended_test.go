package partindex_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// The state of a store box is valid for 1.2 s. A machine that was suspended after receiving it
// treated the state as still fresh, and planned fetches of parts long freed, with a deadline in
// the past of the servers' clock.
func TestStoreBoxStateIsStaleAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		x := settled()
		x.Apply(large, partindex.Report{AsOf: time.Now(), Epoch: 1, ClockMillis: 1000, Changes: held("p", 5000)})
		before := plan(x, "p", 5000)
		g.Expect(before.Fetch[0]).To(Equal(large))
		machine.Suspend(3 * time.Second)
		g.Expect(plan(x, "p", 5000).Fetch[0]).To(BeEmpty())
		x.Apply(large, partindex.Report{AsOf: boottime.Now(), Epoch: 1, ClockMillis: 4000})
		after := plan(x, "p", 5000)
		g.Expect(after.Fetch[0]).To(Equal(large))
		g.Expect(after.Until).To(BeNumerically(">=", before.Until+3000), "on the servers' clock")
	})
}
