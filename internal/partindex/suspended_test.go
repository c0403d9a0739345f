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

// What a store box said counts for 1.2 s. A machine that was suspended after it was told took
// the word for as fresh as before, and had parts fetched that are long gone, until a time that
// lies in the past of the servers' clock.
func TestAStoreBoxsWordIsOldAfterASuspension(t *testing.T) {
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
