package rollout_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/rollout"
)

func TestTurnsLimitParallelLoadsWithoutCoordination(t *testing.T) {
	const turn = 4 * time.Second
	for _, c := range []struct{ zones, parallel int }{{4, 3}, {3, 2}, {4, 1}, {2, 3}, {17, 3}} {
		t.Run(fmt.Sprintf("%d zones, %d loads", c.zones, c.parallel), func(t *testing.T) {
			g := NewWithT(t)
			var zones []string
			for i := range c.zones {
				zones = append(zones, fmt.Sprintf("zone-%02d", i))
			}
			turns := map[string]int{}
			for number := range 2 * c.zones {
				now := time.Unix(0, 0).Add(time.Duration(number) * turn)
				allowed := 0
				for _, zone := range zones {
					if rollout.MayLoad(zones, zone, c.parallel, turn, now) {
						allowed++
						turns[zone]++
					}
				}
				g.Expect(allowed).To(Equal(min(c.parallel, c.zones)))
			}
			for _, zone := range zones {
				g.Expect(turns[zone]).To(BeNumerically(">=", 2), "every zone must have turns")
			}
			late := time.Unix(0, 0).Add(turn * 3 / 4)
			g.Expect(rollout.MayLoad(zones, zones[0], c.parallel, turn, late)).To(Equal(c.parallel >= c.zones))
			g.Expect(rollout.MayLoad(zones, "elsewhere", c.parallel, turn, late)).To(BeFalse())
		})
	}
}

func TestOneRunnerLoadsAtATime(t *testing.T) {
	g := NewWithT(t)
	file := &config.File{Models: []config.Model{{Name: "m", Weights: "v2"}}}
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(7, entries)
	g.Expect(err).NotTo(HaveOccurred())
	report := func(name, version, loading string, leaving bool) rollout.Report {
		return rollout.Report{
			Server:  &config.BackendServer{Name: name, Models: []string{"m"}},
			Weights: []engine.LoadedWeights{{Model: "m", Version: version, Loading: loading}}, Leaving: leaving,
		}
	}
	for _, c := range []struct {
		name    string
		reports []rollout.Report
		want    string
	}{
		{"no runners", nil, ""},
		{"all up to date", []rollout.Report{report("a", "v2", "", false)}, ""},
		{"the first outdated runner", []rollout.Report{report("a", "v2", "", false), report("b", "v1", "", false), report("c", "v1", "", false)}, "b"},
		{"none while a runner loads", []rollout.Report{report("a", "v1", "v2", false), report("b", "v1", "", false)}, ""},
		{"not a leaving runner", []rollout.Report{report("a", "v1", "", true), report("b", "v1", "", false)}, "b"},
	} {
		next, ok := rollout.NextRunner(snapshot, c.reports, nil)
		g.Expect(ok).To(Equal(c.want != ""), c.name)
		if ok {
			g.Expect(next.Server.Name).To(Equal(c.want), c.name)
		}
	}

	// A runner that never reaches the target state must not block the others.
	stuck := []rollout.Report{report("a", "v1", "", false), report("b", "v1", "", false)}
	next, _ := rollout.NextRunner(snapshot, stuck, map[string]time.Time{"a": time.Unix(5, 0)})
	g.Expect(next.Server.Name).To(Equal("b"))
}
