package loadshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// Whether more than half of the boxes know of newer weights is decided by words that are fresh.
// Right after waking none is, however fresh they look by a clock that stood still.
func TestNoWordIsFreshAfterASuspension(t *testing.T) {
	fleetOf(t, []int{3, 2}, func(g *WithT, h *history, _ []*fleet.Fleet) {
		machine := suspendtest.New(t)
		fresh := func() int {
			count := 0
			for _, peer := range h.actors[0].share.Peers() {
				if boottime.Since(peer.SentAfter) <= wordFresh {
					count++
				}
			}
			return count
		}
		g.Expect(fresh()).To(Equal(4))
		machine.Suspend(5 * time.Second)
		g.Expect(fresh()).To(BeZero())
		time.Sleep(time.Second)
		g.Expect(fresh()).To(Equal(4))
	})
}
