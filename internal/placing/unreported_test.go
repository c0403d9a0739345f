package placing_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/placing"
)

// herd has boxes that all see the same old loads choose, and gives how many chose the
// runner that most of them did.
func herd(boxes int, unseen float64) int {
	candidates := runners(15)
	for i := range candidates {
		candidates[i].InFlight = i % 4 // 2 ms of waiting each
	}
	chosen := make([]int, len(candidates))
	for box := range boxes {
		at := placing.Choose(placing.Query{TieBreaker: uint64(box+1) * 0x9e3779b97f4a7c15, TokenCost: 0.02, UnreportedWork: unseen}, candidates)
		chosen[at]++
	}
	most := 0
	for _, count := range chosen {
		most = max(most, count)
	}
	return most
}

// Sixteen calls come to a zone of twenty boxes before these hear of each other's. When all
// chose the least busy runner of what they knew, first events came 400 ms later than
// expected at 82 boxes; the mean worth of two days there rose from 0.54 to 0.64.
func TestBoxesThatSeeTheSameOldLoadsSpreadTheirCalls(t *testing.T) {
	g := NewWithT(t)
	const boxes = 160
	g.Expect(herd(boxes, 0)).To(BeNumerically(">", boxes/5), "four runners are least busy")
	g.Expect(herd(boxes, 30)).To(BeNumerically("<", boxes/5), "fifteen runners differ by less than what may have come")
}

// What is known of runners in other zones is old in a large fleet, so they must look much
// better to be chosen.
func TestRunnersElsewhereMustLookBetterTheOlderTheWordOfThem(t *testing.T) {
	tests := []struct {
		name string
		lag  float64
		want int
	}{
		{"news", 80, 1},
		{"old word", 700, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			candidates := runners(2)
			candidates[0].InFlight = 10 // 20 ms of waiting
			candidates[1].OtherZone = true
			g.Expect(placing.Choose(placing.Query{TokenCost: 0.02, OtherZoneLag: test.lag}, candidates)).To(Equal(test.want))
		})
	}
}
