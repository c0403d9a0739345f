package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/soak"
)

// Crashes of all boxes at the same moment, of some, in series and beside other faults must all be drawn.
func TestPlannedCrashesLeaveOutKinds(t *testing.T) {
	g := NewWithT(t)
	kinds := map[soak.Kind]bool{}
	together := map[int]bool{}
	for seed := range uint64(40) {
		cfg := soak.PlanConfig{Seed: seed, Boxes: 8, Servers: 12, Zones: 4, LoadDuration: 20 * second}
		faults := soak.PlanCrashes(cfg)
		g.Expect(soak.PlanCrashes(cfg)).To(Equal(faults))
		killed := map[time.Duration]int{}
		for _, fault := range faults {
			kinds[fault.Kind] = true
			switch fault.Kind {
			case soak.KillBox:
				killed[fault.Start]++
				g.Expect(fault.Target).To(BeNumerically("<", cfg.Boxes))
			case soak.KillServer, soak.LeaveServer:
				g.Expect(fault.Target%2).To(BeZero(), "a plain service began no stream")
			}
		}
		for _, count := range killed {
			together[count] = true
		}
	}
	g.Expect(kinds).To(HaveLen(8))
	for count := 1; count <= 8; count++ {
		g.Expect(together).To(HaveKey(count))
	}
}
