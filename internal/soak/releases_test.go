package soak_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/soak"
)

// Releases of all and of half of the runners, and rollbacks to the first version, must be drawn before, during and
// after crashes of all boxes, some of which are repeated.
func TestPlannedReleasesLeaveOutKinds(t *testing.T) {
	g := NewWithT(t)
	sizes, places, crashCounts := map[int]bool{}, map[string]bool{}, map[int]bool{}
	for seed := range uint64(60) {
		cfg := soak.PlanConfig{Seed: seed, Boxes: 8, Servers: 18, LoadDuration: 4 * second}
		faults := soak.PlanReleases(cfg)
		g.Expect(soak.PlanReleases(cfg)).To(Equal(faults))
		killed := map[time.Duration]int{}
		counts := map[string]int{}
		crash := faults[0]
		for _, fault := range faults {
			if fault.Kind == soak.KillBox {
				killed[fault.Start]++
				continue
			}
			g.Expect(fault.Kind).To(Equal(soak.ReleaseRunner))
			g.Expect(fault.Target%2).To(BeZero(), "a plain service has no version")
			counts[fault.Version]++
			switch {
			case fault.Start < crash.Start:
				places["before"] = true
			case fault.Start < crash.End():
				places["during"] = true
			default:
				places["after"] = true
			}
			if fault.Version == "v1" {
				places["back"] = true
			}
		}
		for _, count := range killed {
			g.Expect(count).To(Equal(cfg.Boxes))
		}
		crashCounts[len(killed)] = true
		delete(counts, "v1")
		for _, count := range counts {
			sizes[count] = true
		}
	}
	g.Expect(sizes).To(Equal(map[int]bool{4: true, 9: true}))
	g.Expect(places).To(HaveLen(4))
	g.Expect(crashCounts).To(And(HaveKey(1), HaveKey(2)))
}

// A stream that is not resumed must not count as lost if a release has replaced its version, and must count if a
// rollback has brought that version back.
func TestReleasesChangeWhichStreamsCount(t *testing.T) {
	release := func(at time.Duration, version string) []soak.Release {
		return []soak.Release{{Server: 0, At: at, Version: version}, {Server: 2, At: at, Version: version}}
	}
	tests := []struct {
		name     string
		releases []soak.Release
		violated bool
	}{
		{"none", nil, true},
		{"their version was replaced before", release(9*second, "v3"), false},
		{"their version is replaced later", release(30*second, "v3"), true},
		{"their version had been replaced and is back", append(release(9*second, "v1"), release(8*second, "v3")...), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			history := resumedStreams(20, 4, time.Millisecond)
			history.FaultsEnd, history.Releases = 100*second, test.releases
			g.Expect(soak.Check(&history)).To(HaveLen(map[bool]int{true: 1}[test.violated]))
		})
	}
}

// A runner that a release has just started must not count as serving, since boxes may not have read its entry.
func TestRunnersCountBeforeTheyAreListed(t *testing.T) {
	tests := []struct {
		end      time.Duration
		violated bool
	}{{10500 * time.Millisecond, false}, {9 * second, true}}
	for _, test := range tests {
		t.Run(test.end.String(), func(t *testing.T) {
			g := NewWithT(t)
			history := resumedStreams(20, 4, time.Millisecond)
			history.FaultsEnd = 100 * second
			history.Releases = []soak.Release{{Server: 2, At: test.end - second, Version: "v1"}}
			history.Faults = []soak.Fault{{Kind: soak.ReleaseRunner, Target: 2, Start: test.end - second, ActiveFor: second, Version: "v1"}}
			g.Expect(soak.Check(&history)).To(HaveLen(map[bool]int{true: 1}[test.violated]))
		})
	}
}

// Calls that are refused long after the last fault must be reported unless a release explains the refusal.
func TestCallsThatReleasesRefuseAreExpectedToRecover(t *testing.T) {
	tests := []struct {
		name     string
		change   func(h *soak.History)
		violated bool
	}{
		{"no release", func(h *soak.History) { h.Releases = nil }, true},
		{"their version serves", func(*soak.History) {}, true},
		{"their version was replaced", func(h *soak.History) {
			h.Releases = []soak.Release{{Server: 0, At: second, Version: "v3"}, {Server: 2, At: second, Version: "v3"}}
		}, false},
		{"a part of the prompt is held", func(h *soak.History) { h.Reasons = map[string]string{"s0-again": "refused ends_servers"} }, false},
		{"the stream begins", func(h *soak.History) { h.Streams[0].Tries[1].After = 0 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			history := resumedStreams(1, 0, time.Millisecond)
			history.Releases = []soak.Release{{Server: 4, At: second, Version: "v3"}}
			history.Attempts = []soak.Attempt{{ID: "s0-again", CallKind: soak.Stream, Box: 1, Began: 11 * second, Ended: 11*second + time.Millisecond, Outcome: soak.NotRun, CallTimeout: 20 * second}}
			test.change(&history)
			g.Expect(soak.Check(&history)).To(HaveLen(map[bool]int{true: 1}[test.violated]))
		})
	}
}
