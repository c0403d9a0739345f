package loadshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
)

// Samples that hubs did not pass on would leave the boxes of other zones with slow links.
func TestSamplesOfFetchesReachAllBoxes(t *testing.T) {
	for _, zones := range [][]int{{3, 2}, {16, 16, 16}} {
		t.Run(fmt.Sprint(zones), func(t *testing.T) {
			prepare := func(h *history) {
				for _, b := range h.Boxes {
					b.Parts = partindex.New(partindex.Config{Box: b.Name})
					b.Parts.Configure([]catalog.Service{
						{Name: "slow", Store: &catalog.Store{Address: "10.0.0.1:1"}}, {Name: "fast", Store: &catalog.Store{Address: "10.0.0.2:1"}},
					})
				}
			}
			runPreparedFleet(t, zones, prepare, func(g *WithT, h *history, _ []*fleet.Fleet) {
				last := len(h.Boxes) - 1
				h.Boxes[1].Parts.NoteFetch("slow", time.Second)
				h.Boxes[last].Parts.NoteFetch("slow", time.Second)
				time.Sleep(800 * time.Millisecond)
				for _, b := range h.Boxes {
					g.Expect(b.Parts.State()[0].Slow).To(BeTrue(), b.Name)
					g.Expect(b.Parts.State()[1].Slow).To(BeFalse(), b.Name)
				}
				h.Boxes[1].Parts.NoteFetch("slow", 0)
				time.Sleep(800 * time.Millisecond)
				for _, b := range h.Boxes {
					g.Expect(b.Parts.State()[0].Slow).To(BeFalse(), b.Name)
				}
			})
		})
	}
}
