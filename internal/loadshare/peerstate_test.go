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
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const (
	historyLength = 20 * time.Second
	historyStep   = 50 * time.Millisecond
	model         = "m"
	// maxReportAge is the maximum age of a report for package retire.
	maxReportAge = 1500 * time.Millisecond
)

// span is a period in which an incarnation of a box knew a version.
type span struct {
	incarnation int
	from, to    time.Time // to is zero until the period ends
	version     int
}

// simBox is one box of a history.
type simBox struct {
	name, zone string
	cores      float64
	share      *loadshare.Share
	suspects   *quarantine.Set
	// suspectParts is the same for parts of prompts.
	suspectParts *quarantine.Set
	// quarantineLoaded means that the box has what the log has, and heldAtLoad is what it held when another box
	// reported that.
	quarantineLoaded atomic.Bool
	heldAtLoad       atomic.Int64
	parts            *partindex.Index
	stop             context.CancelFunc
	stopped          sync.WaitGroup
	incarnation      int

	mu    sync.Mutex
	spans []span
	// merged has the times at which reports of organisations' use arrived, by box.
	merged map[string][]time.Time
}

// learn records that the box knows a version from now on, if that is a newer one.
func (b *simBox) learn(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := &b.spans[len(b.spans)-1]
	if version <= last.version {
		return
	}
	now := time.Now()
	last.to = now
	b.spans = append(b.spans, span{incarnation: last.incarnation, from: now, version: version})
}

// version returns the version that the box knows now.
func (b *simBox) version() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spans[len(b.spans)-1].version
}

func (b *simBox) namedVersions() map[string][]registry.PeerWeights {
	return map[string][]registry.PeerWeights{model: {{Version: b.version(), Undated: true}}}
}

// reportedAfter reports whether exactly this version was the newest one that the box knew at some
// point after a given time.
func (b *simBox) reportedAfter(version int, after time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.spans, func(s span) bool { return s.version == version && (s.to.IsZero() || !s.to.Before(after)) })
}

// knewThroughout reports whether some incarnation of the box knew a version at since, and was still
// running at until.
func (b *simBox) knewThroughout(version int, since, until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, s := range b.spans {
		if s.version < version || i > 0 && b.spans[i-1].incarnation == s.incarnation && b.spans[i-1].version >= version {
			continue // only the first span of an incarnation in which it knew the version
		}
		end := b.spans[i]
		for _, later := range b.spans[i:] {
			if later.incarnation == s.incarnation {
				end = later
			}
		}
		if !s.from.After(since) && (end.to.IsZero() || !end.to.Before(until)) {
			return true
		}
	}
	return false
}

// history is a random history of boxes that send each other reports.
type history struct {
	t             *testing.T
	random        *rand.Rand
	network       *network
	simBoxes      []*simBox
	newestVersion int
	// contacts records when boxes counted themselves as in touch, by the rule of package retire,
	// and the version that they knew.
	contacts []contact
}

type contact struct {
	at      time.Time
	version int
}

func (h *history) boxNamed(name string) *simBox {
	for _, b := range h.simBoxes {
		if b.name == name {
			return b
		}
	}
	return nil
}

// start starts an incarnation of a box that knows a version.
func (h *history) start(ctx context.Context, b *simBox, version int) {
	b.incarnation++
	now := time.Now()
	b.mu.Lock()
	if len(b.spans) > 0 {
		b.spans[len(b.spans)-1].to = now
	}
	b.spans = append(b.spans, span{incarnation: b.incarnation, from: now, version: version})
	b.mu.Unlock()
	h.runLoops(ctx, b, fleet.New(fleet.Config{Logger: zerolog.Nop()}))
}

// mergeVersions merges the versions that another box knows, as package registry does.
func (b *simBox) mergeVersions(versions map[string][]registry.PeerWeights) {
	for _, known := range versions[model] {
		b.learn(known.Version)
	}
}

// boxRecords is the list of boxes as the log holds it.
func (h *history) boxRecords() []sharedlog.Record {
	records := make([]sharedlog.Record, len(h.simBoxes))
	for i, b := range h.simBoxes {
		value, err := msgpack.Marshal(map[string]any{"a": b.name, "l": b.name, "z": b.zone, "v": b.name, "c": b.cores})
		if err != nil {
			h.t.Fatal(err)
		}
		records[i] = sharedlog.Record{Key: b.name, Value: value, Offset: int64(i)}
	}
	return records
}

// stop stops all boxes. Messages in transit are lost.
func (h *history) stop(cancel context.CancelFunc) {
	cancel()
	h.network.heal()
	for _, b := range h.simBoxes {
		b.stopped.Wait()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

// injectEvent causes a random event at one box or its links.
func (h *history) injectEvent(ctx context.Context) {
	b := h.simBoxes[h.random.IntN(len(h.simBoxes))]
	switch h.random.IntN(12) {
	case 0: // the box restarts, with or without the versions in the log
		b.stop()
		b.stopped.Wait()
		h.start(ctx, b, h.random.IntN(2)*h.newestVersion)
	case 1:
		h.newestVersion++
		b.learn(h.newestVersion)
	case 2, 3:
		b.learn(h.newestVersion)
	case 4, 5: // the box is cut from some others, in one direction or both
		for _, other := range h.simBoxes {
			if other != b && h.random.IntN(2) == 0 {
				h.network.setCut(b.name, other.name, true)
				h.network.setCut(other.name, b.name, h.random.IntN(2) == 0)
			}
		}
	case 6: // the zone of the box is cut off
		for _, from := range h.simBoxes {
			for _, to := range h.simBoxes {
				if (from.zone == b.zone) != (to.zone == b.zone) {
					h.network.setCut(from.name, to.name, true)
				}
			}
		}
	default: // all links of the box are restored
		for _, other := range h.simBoxes {
			h.network.setCut(b.name, other.name, false)
			h.network.setCut(other.name, b.name, false)
		}
	}
}

// check returns a description of a state that is not true of its box; empty if there is none.
func (h *history) check() string {
	now := time.Now()
	for _, b := range h.simBoxes {
		peers := b.share.Peers()
		seen := map[string]bool{}
		for _, peer := range peers {
			about := h.boxNamed(peer.Box)
			switch {
			case about == nil || about == b || seen[peer.Box]:
				return fmt.Sprintf("%s has a state of %q, which is not another box or has a state already", b.name, peer.Box)
			case !peer.SentAfter.IsZero() && !about.reportedAfter(peer.Weights[model], peer.SentAfter):
				return fmt.Sprintf("%s has a report of %s with version %d from less than %v ago", b.name, peer.Box, peer.Weights[model], now.Sub(peer.SentAfter))
			case !peer.SentAfter.IsZero() && peer.Weights[model] > 0 && !about.knewThroughout(peer.Weights[model], peer.KnownSince[model], peer.SentAfter):
				return fmt.Sprintf("%s assumes that %s had known version %d for %v, as of %v ago", b.name, peer.Box, peer.Weights[model], now.Sub(peer.KnownSince[model]), now.Sub(peer.SentAfter))
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
func (h *history) checkRules(b *simBox, peers []retire.Peer, now time.Time) string {
	own, agreeing := b.version(), 1
	since := map[int][]time.Time{}
	for _, peer := range peers {
		if now.Sub(peer.SentAfter) > maxReportAge {
			continue
		}
		if peer.Weights[model] <= own {
			agreeing++
		}
		since[peer.Weights[model]] = append(since[peer.Weights[model]], peer.KnownSince[model])
	}
	if 2*agreeing > len(h.simBoxes) {
		h.contacts = append(h.contacts, contact{now, own})
	}
	for version, times := range since {
		if len(times) < len(h.simBoxes)/2 || version > own {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		majority := times[len(h.simBoxes)/2-1]
		for _, in := range h.contacts {
			if in.version < version && in.at.Add(-maxReportAge).After(majority) {
				return fmt.Sprintf("%s assumes that more than half of the boxes have known version %d for %v, but a box that knew %d was in touch %v ago",
					b.name, version, now.Sub(majority), in.version, now.Sub(in.at))
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
		h := &history{t: t, random: rand.New(rand.NewPCG(seed, 1)), network: newNetwork(), newestVersion: 1}
		defer h.stop(cancel)
		h.addBoxes(zones)
		for _, b := range h.simBoxes {
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
