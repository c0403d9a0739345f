// Package retire frees and fetches kept parts by the states that a box has of the others, so each
// state must be true of its box. The reports behind it pass through hubs, are delayed in broken
// links, and may come from boxes that have restarted since. These tests run random histories of
// boxes and compare each state with what its box knew.

package loadshare_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/simulated"
)

const (
	historyLength = 20 * time.Second
	historyStep   = 50 * time.Millisecond
	// maxReportAge is the maximum age of a report for package retire.
	maxReportAge = 1500 * time.Millisecond
)

// history is a random history of boxes that send each other reports.
type history struct {
	*simulated.Fleet
	random        *rand.Rand
	newestVersion int
	// contacts records when boxes counted themselves as in touch, by the rule of package retire,
	// and the version that they knew.
	contacts []contact
}

type contact struct {
	at      time.Time
	version int
}

func newHistory(t *testing.T, source rand.Source, zones []int) *history {
	t.Helper()
	return &history{Fleet: simulated.NewFleet(t, zones), random: rand.New(source), newestVersion: 1}
}

// start starts an incarnation of a box that knows a version.
func (h *history) start(ctx context.Context, b *simulated.Box, version int) {
	h.Start(ctx, b, fleet.New(fleet.Config{Logger: zerolog.Nop()}), version)
}

// injectEvent causes a random event at one box or its links.
func (h *history) injectEvent(ctx context.Context) {
	b := h.Boxes[h.random.IntN(len(h.Boxes))]
	switch h.random.IntN(12) {
	case 0: // the box restarts, with or without the versions in the log
		b.Stop()
		b.Stopped.Wait()
		h.start(ctx, b, h.random.IntN(2)*h.newestVersion)
	case 1:
		h.newestVersion++
		b.Learn(h.newestVersion)
	case 2, 3:
		b.Learn(h.newestVersion)
	case 4, 5: // the box is cut from some others, in one direction or both
		for _, other := range h.Boxes {
			if other != b && h.random.IntN(2) == 0 {
				h.Network.SetCut(b.Name, other.Name, true)
				h.Network.SetCut(other.Name, b.Name, h.random.IntN(2) == 0)
			}
		}
	case 6: // the zone of the box is cut off
		for _, from := range h.Boxes {
			for _, to := range h.Boxes {
				if (from.Zone == b.Zone) != (to.Zone == b.Zone) {
					h.Network.SetCut(from.Name, to.Name, true)
				}
			}
		}
	default: // all links of the box are restored
		for _, other := range h.Boxes {
			h.Network.SetCut(b.Name, other.Name, false)
			h.Network.SetCut(other.Name, b.Name, false)
		}
	}
}

// check returns a description of a state that is not true of its box; empty if there is none.
func (h *history) check() string {
	now := time.Now()
	for _, b := range h.Boxes {
		peers := b.Share.Peers()
		seen := map[string]bool{}
		for _, peer := range peers {
			about := h.BoxNamed(peer.Box)
			switch {
			case about == nil || about == b || seen[peer.Box]:
				return fmt.Sprintf("%s has a state of %q, which is not another box or has a state already", b.Name, peer.Box)
			case !peer.SentAfter.IsZero() && !about.ReportedAfter(peer.Weights[simulated.Model], peer.SentAfter):
				return fmt.Sprintf("%s has a report of %s with version %d from less than %v ago", b.Name, peer.Box, peer.Weights[simulated.Model], now.Sub(peer.SentAfter))
			case !peer.SentAfter.IsZero() && peer.Weights[simulated.Model] > 0 && !about.KnewThroughout(peer.Weights[simulated.Model], peer.KnownSince[simulated.Model], peer.SentAfter):
				return fmt.Sprintf("%s assumes that %s had known version %d for %v, as of %v ago", b.Name, peer.Box, peer.Weights[simulated.Model], now.Sub(peer.KnownSince[simulated.Model]), now.Sub(peer.SentAfter))
			}
			seen[peer.Box] = true
		}
		if fault := h.checkRules(b, peers, now); fault != "" {
			return fault
		}
	}
	return ""
}

// checkRules checks what the states are used for: no box that counts itself as in touch may lack
// weights that more than half of the boxes count as known for longer than the maximum age of a
// report.
func (h *history) checkRules(b *simulated.Box, peers []retire.Peer, now time.Time) string {
	own, agreeing := b.Version(), 1
	since := map[int][]time.Time{}
	for _, peer := range peers {
		if now.Sub(peer.SentAfter) > maxReportAge {
			continue
		}
		if peer.Weights[simulated.Model] <= own {
			agreeing++
		}
		since[peer.Weights[simulated.Model]] = append(since[peer.Weights[simulated.Model]], peer.KnownSince[simulated.Model])
	}
	if 2*agreeing > len(h.Boxes) {
		h.contacts = append(h.contacts, contact{now, own})
	}
	for version, times := range since {
		if len(times) < len(h.Boxes)/2 || version > own {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		majority := times[len(h.Boxes)/2-1]
		for _, in := range h.contacts {
			if in.version < version && in.at.Add(-maxReportAge).After(majority) {
				return fmt.Sprintf("%s assumes that more than half of the boxes have known version %d for %v, but a box that knew %d was in touch %v ago",
					b.Name, version, now.Sub(majority), in.version, now.Sub(in.at))
			}
		}
	}
	return ""
}

// play runs the history of a seed. It returns the first state that is not true of its box, and the
// number of times that a box counted itself as in touch.
func play(t *testing.T, seed uint64, zones []int) (fault string, counted int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := newHistory(t, rand.NewPCG(seed, 1), zones)
		defer h.Stop(cancel)
		for _, b := range h.Boxes {
			h.start(ctx, b, h.newestVersion)
		}
		for end := time.Now().Add(historyLength); time.Now().Before(end) && fault == ""; time.Sleep(historyStep) {
			if h.random.IntN(6) == 0 {
				h.injectEvent(ctx)
			}
			fault = h.check()
		}
		counted = len(h.contacts)
	})
	return fault, counted
}

// seedsOf returns the seeds to run: the given number, or COMETLOCK_HISTORIES if it is set.
func seedsOf(t *testing.T, count int) []uint64 {
	t.Helper()
	if text := os.Getenv("COMETLOCK_HISTORIES"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = n
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

func TestPeerStatesAreTrueInRandomHistories(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		zones []int
		seeds int
	}{
		{"boxes that send to each other directly", []int{3, 2}, 3},
		{"zones with hubs", []int{9, 8, 8}, 4},
		{"small zones that share a hub", []int{9, 4, 4, 3}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			total := 0
			for _, seed := range seedsOf(t, test.seeds) {
				fault, counted := play(t, seed, test.zones)
				if fault != "" {
					t.Errorf("seed %d: %s", seed, fault)
				}
				total += counted
			}
			if total == 0 {
				t.Error("no box was ever in touch, so nothing was tested")
			}
		})
	}
}
