package ring_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/ring"
)

func TestRingKeepsOrderAndRefusesWhenFull(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int](ring.Config{Name: "numbers", Capacity: 2})
	g.Expect(r.TryPush(1)).To(BeTrue())
	g.Expect(r.TryPush(2)).To(BeTrue())
	g.Expect(r.TryPush(3)).To(BeFalse())
	g.Expect(r.State()).To(Equal(ring.State{Name: "numbers", Depth: 2, Capacity: 2, Rejected: 1}))
	for want := 1; want <= 2; want++ {
		got, err := r.Pop(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := r.Pop(ended)
	g.Expect(err).To(MatchError(context.Canceled))
}
