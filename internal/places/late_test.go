package places

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// A call that its box had delayed was refused by the owner, since no runner had the time for it, although slots
// were free.
func TestOwnerGrantsALatePlaceToADelayedCall(t *testing.T) {
	inZone(t, 2, 1, func(g *WithT, z *zone) {
		requester := z.boxes[1]
		request := func(limit, late float64) string {
			request := requester.longPrompt(0)
			request.PrefillLimit, request.LateLimit = limit, late
			server, err := requester.RequestPlace(context.Background(), "a", request)
			g.Expect(err).NotTo(HaveOccurred())
			return server
		}
		g.Expect(request(600, 0)).To(Equal("runner-0"), "now 2,000 tokens are pending, which take 33 ms")
		g.Expect(request(20, 0)).To(BeEmpty())
		g.Expect(request(20, 30)).To(BeEmpty(), "a new call would not be placed either")
		g.Expect(request(20, 600)).To(Equal("runner-0"))
	})
}
