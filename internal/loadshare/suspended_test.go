package loadshare_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// Package retire counts only fresh reports. Right after the machine resumes none is fresh, although
// all seem so by a clock that was stopped meanwhile.
func TestNoReportIsFreshAfterASuspension(t *testing.T) {
	runFleet(t, []int{3, 2}, func(g *WithT, h *history, _ []*fleet.Fleet) {
		machine := suspendtest.New(t)
		fresh := func() int {
			count := 0
			for _, peer := range h.Boxes[0].Share.Peers() {
				if boottime.Since(peer.SentAfter) <= maxReportAge {
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
