package loadshare_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A report that waits in a partitioned link for seconds may say that a rate limit has ended. The
// server has named a limit again in the meantime, so the report must not end that one: boxes then
// sent 18 requests in 4 s to a server that allowed 6.8.
func TestADelayedReportDoesNotEndALaterLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		h := &limitHistory{history: newHistory(t, rand.NewPCG(1, 1), []int{2})}
		defer h.Stop(cancel)
		for _, b := range h.Boxes {
			h.boxes = append(h.boxes, &limitedBox{Box: b})
			h.startBox(ctx, h.boxes[len(h.boxes)-1])
		}
		time.Sleep(2 * time.Second)
		sender, receiver := h.boxes[0], h.boxes[1]
		answer := func(b *limitedBox, statement advisory.LimitStatement) {
			now := time.Now()
			b.fleet.ApplyAdvisory("s", advisory.Answer{Advisory: advisory.Advisory{Limit: statement, PerSecond: 1}, Sent: now, Received: now, Genuine: true})
		}
		answer(sender, advisory.LimitNamed)
		time.Sleep(time.Second)
		g.Expect(isLimited(receiver.fleet)).To(BeTrue(), "reported while the link works")

		h.Network.SetCut(sender.Name, receiver.Name, true)
		answer(sender, advisory.LimitAbsent)
		time.Sleep(500 * time.Millisecond)
		answer(receiver, advisory.LimitNamed)
		time.Sleep(500 * time.Millisecond)
		h.Network.Heal()
		time.Sleep(100 * time.Millisecond)
		g.Expect(isLimited(receiver.fleet)).To(BeTrue(), "the end of the limit is older than the limit")
	})
}

func isLimited(f *fleet.Fleet) bool {
	limited, _ := f.CountLimited()
	return limited == 1
}
