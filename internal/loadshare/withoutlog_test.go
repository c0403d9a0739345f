package loadshare

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/registry"
)

// otherBox stands for all boxes that one knows of: only their number counts here.
var otherBox = peer{address: "10.0.0.1:1"}

// In a fleet of a hundred boxes a few of them hand over the configuration each second,
// and in a small one all.
func TestFewBoxesAtATimeHandOverTheConfiguration(t *testing.T) {
	cases := []struct{ boxes, least, most int }{{2, 10, 10}, {8, 70, 70}, {100, 20, 300}}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			handed := 0
			var others []*Share
			for range c.boxes - 1 {
				s := New(Config{Snapshot: func() *registry.Snapshot { return &registry.Snapshot{} }})
				for number := range c.boxes - 1 {
					s.peers[fmt.Sprint("box-", number)] = &otherBox
				}
				s.heard["late"] = &word{lacks: true}
				others = append(others, s)
			}
			for range 10 {
				for _, s := range others {
					for range 3 { // messages within the second
						if s.handOver("late") != nil {
							handed++
						}
					}
				}
				time.Sleep(handAgain + time.Millisecond)
			}
			g.Expect(handed).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.most)), "%d boxes", c.boxes)
		})
	}
}
