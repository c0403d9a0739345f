// What a box believes of the others rests on words that pass hubs, lie in cut links, and
// are of boxes that have restarted since. Package retire frees and fetches by it, so each
// belief must be true of its box. These tests play random histories of boxes, and compare
// each belief with what its box knew.

package loadshare_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const (
	historyLength = 20 * time.Second
	historyStep   = 50 * time.Millisecond
	model         = "m"
	// wordFresh is how old a word may be for package retire.
	wordFresh = 1500 * time.Millisecond
)

// span is a time in which a life of a box knew a version.
type span struct {
	life     int
	from, to time.Time // to is zero while it lasts
	version  int
}

// actor is one box of a history.
type actor struct {
	name, zone string
	cores      float64
	share      *loadshare.Share
	suspects   *quarantine.Set
	stop       context.CancelFunc
	stopped    sync.WaitGroup
	life       int

	mu    sync.Mutex
	spans []span
}

// knows has the box know a version from now on, if that is a later one.
func (a *actor) knows(version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := &a.spans[len(a.spans)-1]
	if version <= last.version {
		return
	}
	now := time.Now()
	last.to = now
	a.spans = append(a.spans, span{life: last.life, from: now, version: version})
}

// version is what the box knows now.
func (a *actor) version() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.spans[len(a.spans)-1].version
}

func (a *actor) named() map[string][]registry.Heard {
	return map[string][]registry.Heard{model: {{Version: a.version(), Found: true}}}
}

// said reports whether the box said at some time after a moment that it knows just a
// version.
func (a *actor) said(version int, after time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.spans, func(s span) bool { return s.version == version && (s.to.IsZero() || !s.to.Before(after)) })
}

// knewFrom reports whether some life of the box knew a version from a moment, if it still
// lived then, until after another.
func (a *actor) knewFrom(version int, since, until time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, s := range a.spans {
		if s.version < version || i > 0 && a.spans[i-1].life == s.life && a.spans[i-1].version >= version {
			continue // the life's first span in which it knew it
		}
		end := a.spans[i]
		for _, later := range a.spans[i:] {
			if later.life == s.life {
				end = later
			}
		}
		if !s.from.After(since) && (end.to.IsZero() || !end.to.Before(until)) {
			return true
		}
	}
	return false
}

// history is a random history of boxes that tell each other.
type history struct {
	t      *testing.T
	random *rand.Rand
	fabric *fabric
	actors []*actor
	named  int
	// inTouch holds when boxes counted themselves as in touch, and the version they knew.
	inTouch []touch
}

type touch struct {
	at      time.Time
	version int
}

func (h *history) actor(name string) *actor {
	for _, a := range h.actors {
		if a.name == name {
			return a
		}
	}
	return nil
}

// begin starts a life of a box that knows a version.
func (h *history) begin(ctx context.Context, a *actor, version int) {
	a.life++
	now := time.Now()
	a.mu.Lock()
	if len(a.spans) > 0 {
		a.spans[len(a.spans)-1].to = now
	}
	a.spans = append(a.spans, span{life: a.life, from: now, version: version})
	a.mu.Unlock()
	h.run(ctx, a, fleet.New(fleet.Config{Logger: zerolog.Nop()}))
}

// hear takes over what another box knows, as package registry does.
func (a *actor) hear(told map[string][]registry.Heard) {
	for _, heard := range told[model] {
		a.knows(heard.Version)
	}
}

// list is the list of boxes, as the log holds it.
func (h *history) list() []sharedlog.Record {
	records := make([]sharedlog.Record, len(h.actors))
	for i, a := range h.actors {
		value, err := msgpack.Marshal(map[string]any{"a": a.name, "l": a.name, "z": a.zone, "v": a.name, "c": a.cores})
		if err != nil {
			h.t.Fatal(err)
		}
		records[i] = sharedlog.Record{Key: a.name, Value: value, Offset: int64(i)}
	}
	return records
}

// finish ends all boxes; what is on its way arrives nowhere.
func (h *history) finish(cancel context.CancelFunc) {
	cancel()
	h.fabric.heal()
	for _, a := range h.actors {
		a.stopped.Wait()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}

// step has something happen to one box, or to the links of one.
func (h *history) step(ctx context.Context) {
	a := h.actors[h.random.IntN(len(h.actors))]
	switch h.random.IntN(12) {
	case 0: // it starts anew, and has read the log or cannot
		a.stop()
		a.stopped.Wait()
		h.begin(ctx, a, h.random.IntN(2)*h.named)
	case 1:
		h.named++
		a.knows(h.named)
	case 2, 3:
		a.knows(h.named)
	case 4, 5: // it is cut from some, in one way or both
		for _, other := range h.actors {
			if other != a && h.random.IntN(2) == 0 {
				h.fabric.setCut(a.name, other.name, true)
				h.fabric.setCut(other.name, a.name, h.random.IntN(2) == 0)
			}
		}
	case 6: // a zone is cut off
		for _, from := range h.actors {
			for _, to := range h.actors {
				if (from.zone == a.zone) != (to.zone == a.zone) {
					h.fabric.setCut(from.name, to.name, true)
				}
			}
		}
	default: // all of its links heal
		for _, other := range h.actors {
			h.fabric.setCut(a.name, other.name, false)
			h.fabric.setCut(other.name, a.name, false)
		}
	}
}

// check gives a belief that is not true; empty without any.
func (h *history) check() string {
	now := time.Now()
	for _, a := range h.actors {
		peers := a.share.Peers()
		seen := map[string]bool{}
		for _, peer := range peers {
			about := h.actor(peer.Box)
			switch {
			case about == nil || about == a || seen[peer.Box]:
				return fmt.Sprintf("%s counts %q, which is no other box or is counted already", a.name, peer.Box)
			case !peer.SentAfter.IsZero() && !about.said(peer.Weights[model], peer.SentAfter):
				return fmt.Sprintf("%s believes that %s said %d less than %v ago", a.name, peer.Box, peer.Weights[model], now.Sub(peer.SentAfter))
			case !peer.SentAfter.IsZero() && peer.Weights[model] > 0 && !about.knewFrom(peer.Weights[model], peer.KnownSince[model], peer.SentAfter):
				return fmt.Sprintf("%s believes that %s has known %d for %v, as of %v ago", a.name, peer.Box, peer.Weights[model], now.Sub(peer.KnownSince[model]), now.Sub(peer.SentAfter))
			}
			seen[peer.Box] = true
		}
		if fault := h.checkRules(a, peers, now); fault != "" {
			return fault
		}
	}
	return ""
}

// checkRules looks at what the beliefs are for: no box that counts itself as in touch may
// lack weights that more than half of the boxes are counted to have known for longer than a
// word may be old.
func (h *history) checkRules(a *actor, peers []retire.Peer, now time.Time) string {
	own, agreeing := a.version(), 1
	since := map[int][]time.Time{}
	for _, peer := range peers {
		if now.Sub(peer.SentAfter) > wordFresh {
			continue
		}
		if peer.Weights[model] <= own {
			agreeing++
		}
		since[peer.Weights[model]] = append(since[peer.Weights[model]], peer.KnownSince[model])
	}
	if 2*agreeing > len(h.actors) {
		h.inTouch = append(h.inTouch, touch{now, own})
	}
	for version, times := range since {
		if len(times) < len(h.actors)/2 || version > own {
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		majority := times[len(h.actors)/2-1]
		for _, in := range h.inTouch {
			if in.version < version && in.at.Add(-wordFresh).After(majority) {
				return fmt.Sprintf("%s counts more than half to have known %d for %v, and a box that knew %d was in touch %v ago",
					a.name, version, now.Sub(majority), in.version, now.Sub(in.at))
			}
		}
	}
	return ""
}

// play plays a history of a seed and gives the first belief that is not true, and how many
// beliefs were recent enough to count.
func play(t *testing.T, seed uint64, zones []int) (fault string, counted int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		h := &history{t: t, random: rand.New(rand.NewPCG(seed, 1)), fabric: newFabric(), named: 1}
		defer h.finish(cancel)
		h.place(zones)
		for _, a := range h.actors {
			h.begin(ctx, a, h.named)
		}
		for end := time.Now().Add(historyLength); time.Now().Before(end) && fault == ""; time.Sleep(historyStep) {
			if h.random.IntN(6) == 0 {
				h.step(ctx)
			}
			fault = h.check()
		}
		counted = len(h.inTouch)
	})
	return fault, counted
}

// seedsOf gives the seeds to play: a few in CI, and as many as COMETLOCK_HISTORIES says by
// hand.
func seedsOf(t *testing.T, few int) []uint64 {
	t.Helper()
	if text := os.Getenv("COMETLOCK_HISTORIES"); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		few = count
	}
	seeds := make([]uint64, few)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

func TestWhatIsBelievedOfBoxesIsTrue(t *testing.T) {
	tests := []struct {
		name  string
		zones []int
		few   int
	}{
		{"boxes that tell each other directly", []int{3, 2}, 3},
		{"zones with hubs", []int{9, 8, 8}, 4},
		{"small zones that share a hub", []int{9, 4, 4, 3}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			total := 0
			for _, seed := range seedsOf(t, test.few) {
				fault, counted := play(t, seed, test.zones)
				if fault != "" {
					t.Errorf("seed %d: %s", seed, fault)
				}
				total += counted
			}
			if total == 0 {
				t.Error("no box was ever in touch: nothing was tested")
			}
		})
	}
}
