package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
)

// countOwners returns, for each server, the number of boxes that consider themselves the owner of
// its headroom.
func countOwners(servers int, boxes ...*box) []int {
	counts := make([]int, servers)
	for server := range counts {
		for _, b := range boxes {
			if b.share.OwnsHeadroom(fmt.Sprint("server-", server)) {
				counts[server]++
			}
		}
	}
	return counts
}

// If two boxes filled the same headroom, prompts would be evicted from the server; headroom without
// an owner would never be used. Each has exactly one owner while boxes start and stop.
func TestEachHeadroomHasOneOwner(t *testing.T) {
	g := NewWithT(t)
	const servers = 60
	one := make([]int, servers)
	for server := range one {
		one[server] = 1
	}
	log := fakesharedlog.New()
	a := startBox(t, log, "a", nil)
	g.Expect(countOwners(servers, a)).To(Equal(one), "a box without peers owns all headroom")
	b, c := startBox(t, log, "b", nil), startBox(t, log, "c", nil)
	g.Eventually(func() []int { return countOwners(servers, a, b, c) }, 5*time.Second, 10*time.Millisecond).Should(Equal(one))
	for _, box := range []*box{a, b, c} {
		owned := 0
		for _, count := range countOwners(servers, box) {
			owned += count
		}
		g.Expect(owned).To(BeNumerically("~", servers/3, 12), "shared evenly")
	}
	c.stop()
	g.Eventually(func() []int { return countOwners(servers, a, b) }, 5*time.Second, 10*time.Millisecond).Should(Equal(one), "the others take over")
}
