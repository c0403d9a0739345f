package soak_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/soak"
)

// resumedStreams is a history in which box 0 begins streams of v1 from 10 s on, of which some then resume at
// box 1, one after each interval.
func resumedStreams(count, continued int, interval time.Duration) soak.History {
	history := soak.History{Software: map[int]string{0: "v1", 2: "v1", 4: "v2"}, Ended: 60 * second}
	for i := range count {
		began := 10*second + time.Duration(i)*interval
		again := soak.StreamTry{ID: fmt.Sprint("s", i, "-again"), Box: 1, Began: began + second, Answered: began + second + time.Millisecond, After: 5, Last: 5, Outcome: soak.NotRun}
		if i < continued {
			again.Last, again.Outcome = 60, soak.CompleteResponse
		}
		first := soak.StreamTry{ID: fmt.Sprint("s", i), Began: began, Answered: began + time.Millisecond, Last: 5, Outcome: soak.TruncatedResponse}
		history.Streams = append(history.Streams, soak.ResumableStream{ID: first.ID, Versions: []string{"v1"}, Resumed: true, Tries: []soak.StreamTry{first, again}})
	}
	return history
}

// The check of resumed streams must report them, and only them, under the conditions of the users' pages. This
// guards against a check that no loss violates.
func TestLostResumptionsAreNotCounted(t *testing.T) {
	const gap = 10 * time.Millisecond
	lost := func(change func(h *soak.History)) soak.History {
		history := resumedStreams(12, 5, gap)
		change(&history)
		return history
	}
	withFaults := func(faults ...soak.Fault) soak.History {
		return lost(func(h *soak.History) { h.Faults = faults })
	}
	eachTry := func(change func(again *soak.StreamTry)) soak.History {
		return lost(func(h *soak.History) {
			for i := range h.Streams {
				change(&h.Streams[i].Tries[1])
			}
		})
	}
	tests := []struct {
		name     string
		history  soak.History
		violated bool
	}{
		{"all continue", resumedStreams(12, 12, gap), false},
		{"half of them continue", resumedStreams(12, 6, gap), false},
		{"fewer continue", resumedStreams(12, 5, gap), true},
		{"too few to count", resumedStreams(11, 0, gap), false},
		{"too few in each window, but not in all", resumedStreams(12, 5, second), true},
		{"lost in one window only", func() soak.History {
			history := resumedStreams(200, 200, 200*time.Millisecond)
			for i := 100; i < 115; i++ {
				history.Streams[i].Tries[1].Last, history.Streams[i].Tries[1].Outcome = 5, soak.NotRun
			}
			return history
		}(), true},
		{"new streams begin as rarely", lost(func(h *soak.History) {
			for i := range 20 {
				failed := soak.StreamTry{Began: 11 * second, Answered: 11 * second, Outcome: soak.NotRun}
				h.Streams = append(h.Streams, soak.ResumableStream{ID: fmt.Sprint("n", i), Tries: []soak.StreamTry{failed}})
			}
		}), false},
		{"the end of the stream was all that was missing", eachTry(func(again *soak.StreamTry) { again.Outcome = soak.CompleteResponse }), false},
		{"the keys were denied", eachTry(func(again *soak.StreamTry) { again.KeyDenied = true }), false},
		{"the box had just been killed", withFaults(soak.Fault{Kind: soak.KillBox, Target: 1, Start: 8500 * time.Millisecond}), false},
		{"the box had been killed longer ago", withFaults(soak.Fault{Kind: soak.KillBox, Target: 1, Start: 7 * second}), true},
		{"the box that began the streams had been killed", withFaults(soak.Fault{Kind: soak.KillBox, Target: 0, Start: 10500 * time.Millisecond}), true},
		{"the box was frozen", withFaults(soak.Fault{Kind: soak.PauseBox, Target: 1, Start: 9 * second}), false},
		{"the log was down", withFaults(soak.Fault{Kind: soak.LogDown, Start: 8 * second, ActiveFor: second}), false},
		{"the log was slow", withFaults(soak.Fault{Kind: soak.SlowLog, Start: 8 * second, ActiveFor: second}), false},
		{"a store box came back empty", withFaults(soak.Fault{Kind: soak.EmptyStore, Start: 8 * second, ActiveFor: second}), true},
		{"the configuration changed", withFaults(soak.Fault{Kind: soak.ApplyConfig, Start: 10 * second, ActiveFor: second}), true},
		{"a runner of their version was down", withFaults(soak.Fault{Kind: soak.KillServer, Target: 2, Start: 10 * second, ActiveFor: 5 * second}), false},
		{"a runner of another version was down", withFaults(soak.Fault{Kind: soak.KillServer, Target: 4, Start: 10 * second, ActiveFor: 5 * second}), true},
		{"a runner of their version was slow", withFaults(soak.Fault{Kind: soak.DelayServer, Target: 2, Start: 10 * second, ActiveFor: 5 * second}), true},
		{"runners stalled", withFaults(soak.Fault{Kind: soak.StallServers, Start: 10 * second, ActiveFor: 5 * second}), false},
		{"a runner of their version drained", lost(func(h *soak.History) {
			h.LeavingPeriods = []soak.Event{{At: 10 * second, Server: 2, Until: 20 * second}}
		}), false},
		{"the zone of a runner of their version was evacuated", lost(func(h *soak.History) { h.Evacuations = []soak.Event{{At: 10 * second, Until: 20 * second}} }), false},
		{"the zone was evacuated before", lost(func(h *soak.History) { h.Evacuations = []soak.Event{{At: 2 * second, Until: 9 * second}} }), true},
		{"one runner of their version only", lost(func(h *soak.History) { h.Software[2] = "v2" }), false},
		{"continued by another box after a refusal", lost(func(h *soak.History) {
			for i := range h.Streams {
				again := h.Streams[i].Tries[1]
				again.Last, again.Box = 60, 2
				h.Streams[i].Tries = append(h.Streams[i].Tries, again)
			}
		}), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			test.history.FaultsEnd = 100 * second
			found := soak.Check(&test.history)
			if !test.violated {
				g.Expect(found).To(BeEmpty())
				return
			}
			g.Expect(found).To(HaveLen(1))
			g.Expect(found[0].Invariant).To(Equal(soak.InvariantResumedStream))
		})
	}
}

// Streams of two versions must be reported one by one, and together above the number that the pages allow.
func TestMixedStreamsAreNotCounted(t *testing.T) {
	tests := []struct {
		mixed    int
		violated bool
	}{{0, false}, {2, false}, {3, true}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.mixed, " streams"), func(t *testing.T) {
			g := NewWithT(t)
			history := resumedStreams(20, 20, time.Millisecond)
			for i := range test.mixed {
				history.Streams[i].AddVersions([]string{"v1", "v2"})
			}
			history.FaultsEnd = 100 * second
			found := map[string]int{}
			for _, violation := range soak.Check(&history) {
				found[violation.Invariant]++
			}
			g.Expect(found[soak.InvariantVersions]).To(Equal(test.mixed))
			g.Expect(found[soak.InvariantMixedStreams] == 1).To(Equal(test.violated))
		})
	}
}

// The figure for all resumptions must count those at boxes that are not in touch, by the reasons of the boxes.
func TestRefusedResumptionsAreNotDescribed(t *testing.T) {
	g := NewWithT(t)
	history := resumedStreams(12, 4, time.Millisecond)
	history.Reasons = map[string]string{"s10-again": "refused no_server"}
	history.Faults = []soak.Fault{{Kind: soak.LogDown, Start: 8 * second, ActiveFor: 5 * second}}
	g.Expect(history.DescribeResumptions()).To(Equal("4 of 12 resumptions continued, refused as map[not run:7 refused no_server:1]; of these 0 of 0 at boxes in touch with runners, lost as map[], beside 0 of 0 new streams"))
}
