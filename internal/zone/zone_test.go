package zone

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// newView returns a view of a zone with the given number of runners of one model.
func newView(runners int) *View {
	view := New(Config{Zone: "a"})
	view.Configure(snapshotOf(runners, false))
	return view
}

// snapshotOf returns a configuration of a zone with the given number of runners.
func snapshotOf(runners int, evacuated bool) *config.Snapshot {
	file := &config.File{
		Objectives: config.Objectives{FirstTokenWeight: 1, RecomputeWeight: 1},
		Models:     []config.Model{{Name: "m", Weights: "v1", PrefillTokensPerSecond: 8000}},
		Zones:      []config.Zone{{Name: "a", Region: "r", Evacuated: evacuated}},
	}
	for i := range runners {
		file.BackendServers = append(file.BackendServers, config.BackendServer{
			Name: fmt.Sprintf("r%03d", i), Zone: "a", Role: config.RoleRunner, Models: []string{"m"}, Slots: 16, Address: fmt.Sprint(i),
		})
	}
	entries, err := file.Entries()
	if err != nil {
		panic(err)
	}
	snapshot, err := config.NewSnapshot(0, entries)
	if err != nil {
		panic(err)
	}
	return snapshot
}

func TestRunnersOfAnEvacuatedZoneReceiveNoRequests(t *testing.T) {
	g := NewWithT(t)
	view := newView(2)
	placed := func() bool {
		policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
		_, ok := Choose(view, policy, Query{Model: "m", Weights: "v1", Chain: chainOf("rulebook", 4)})
		return ok
	}
	g.Expect(placed()).To(BeTrue())
	view.Configure(snapshotOf(2, true))
	g.Expect(placed()).To(BeFalse())
	view.Configure(snapshotOf(2, false))
	g.Expect(placed()).To(BeTrue())
}

func chainOf(text string, blocks int) prefix.Chain {
	prompt := make([]byte, blocks*prefix.BlockBytes)
	copy(prompt, text)
	return prefix.NewChain(prefix.NewSalt("o", "m", "v1"), prompt)
}

func choose(view *View, chain prefix.Chain) Choice {
	policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
	choice, ok := Choose(view, policy, Query{Model: "m", Weights: "v1", Chain: chain})
	if !ok {
		panic("no runner")
	}
	return choice
}

func storedEvents(chain prefix.Chain, from int64) engine.CacheEvents {
	events := engine.CacheEvents{Incarnation: "i", Last: from}
	for i, key := range chain.Keys() {
		events.Last++
		events.Events = append(events.Events, engine.CacheEvent{Sequence: events.Last, Kind: engine.BlockStored, Key: key, Depth: i + 1})
	}
	return events
}

func TestARepeatedPromptGoesToTheWarmRunner(t *testing.T) {
	g := NewWithT(t)
	view := newView(8)
	chain := chainOf("rulebook", 100)
	first := choose(view, chain)
	g.Expect(first.Decision.RecomputedTokens).To(Equal(chain.Tokens()))
	first.Handle.FirstToken()
	first.Handle.Done(true)
	again := choose(view, chain)
	g.Expect(again.Server.Name).To(Equal(first.Server.Name))
	g.Expect(again.WarmTokens).To(Equal(96*prefix.BlockTokens), "96 is the greatest indexed depth within 100 blocks")
}

func TestAnEventGapRequestsASnapshot(t *testing.T) {
	g := NewWithT(t)
	view := newView(2)
	chain := chainOf("a", 8)
	view.ApplyStatus("r000", engine.Status{Incarnation: "i", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}})
	events := storedEvents(chain, 0)
	view.ApplyCacheEvents("r000", events)
	g.Expect(view.EventCursor("r000")).To(Equal(int64(8)))
	lost := engine.CacheEvents{Incarnation: "i", Last: 12, Events: []engine.CacheEvent{{Sequence: 9, Kind: engine.BlockRemoved, Key: chain.Keys()[7], Depth: 8}, {Sequence: 11, Kind: engine.BlockStored, Depth: 1}}}
	view.ApplyCacheEvents("r000", lost)
	g.Expect(view.EventCursor("r000")).To(Equal(int64(snapshotCursor)))
	g.Expect(view.State().Gaps).To(Equal(uint64(1)))
	snapshot := storedEvents(chainOf("b", 4), 0)
	snapshot.Snapshot, snapshot.Last = true, 40
	view.ApplyCacheEvents("r000", snapshot)
	g.Expect(view.EventCursor("r000")).To(Equal(int64(40)))
	warm := make([]int, 2)
	view.index.WarmTokens(chain, warm)
	g.Expect(warm).To(Equal([]int{0, 0}), "a snapshot must replace the blocks from before the gap")
}

func TestARestartClearsTheCacheIndex(t *testing.T) {
	g := NewWithT(t)
	view := newView(1)
	chain := chainOf("a", 8)
	view.ApplyCacheEvents("r000", storedEvents(chain, 0))
	view.ApplyStatus("r000", engine.Status{Incarnation: "another"})
	g.Expect(view.State().Blocks).To(BeZero())
	g.Expect(view.EventCursor("r000")).To(BeZero())
}

func TestIneligibleServersReceiveNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(4)
		loaded := func(version string) engine.Status {
			return engine.Status{Incarnation: "i", Weights: []engine.LoadedWeights{{Model: "m", Version: version}}}
		}
		view.ApplyStatus("r000", engine.Status{Incarnation: "i", Leaving: true, Weights: loaded("v1").Weights})
		view.ApplyStatus("r001", loaded("v2"))
		view.ApplyStatus("r002", loaded("v1"))
		view.ApplyStatus("r003", loaded("v1"))
		view.NoteFailure("r002")
		for range 20 {
			g.Expect(choose(view, chainOf("x", 1)).Server.Name).To(Equal("r003"))
		}
		time.Sleep(coolDown)
		seen := map[string]bool{}
		for range 50 {
			seen[choose(view, chainOf("x", 1)).Server.Name] = true
		}
		g.Expect(seen).To(Equal(map[string]bool{"r002": true, "r003": true}))
	})
}

func TestTheListOnlyRemovesServers(t *testing.T) {
	g := NewWithT(t)
	view := newView(2)
	status := engine.Status{Incarnation: "i", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}}
	leaving := status
	leaving.Leaving = true
	view.ApplyStatus("r000", status)
	view.ApplyStatus("r001", leaving)
	only := func() string {
		names := map[string]bool{}
		for range 10 {
			if choice, ok := Choose(view, decide.Cheapest{}, Query{Model: "m", Weights: "v1", Chain: chainOf("x", 1)}); ok {
				names[choice.Server.Name] = true
			}
		}
		return fmt.Sprint(names)
	}
	g.Expect(only()).To(Equal("map[r000:true]"))
	view.SetListedLeaving([]string{"r000"})
	g.Expect(only()).To(Equal("map[]"), "r001 must stay excluded although the list has it as live")
	view.ApplyStatus("r000", status)
	g.Expect(only()).To(Equal("map[]"), "a load report must not include a server that the list excludes")
	view.SetListedLeaving(nil)
	g.Expect(only()).To(Equal("map[r000:true]"))
}

func TestAFailedRunnerIsNotReported(t *testing.T) {
	g := NewWithT(t)
	view := newView(2)
	loading := engine.Status{Incarnation: "i", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1", Loading: "v2"}}}
	view.ApplyStatus("r000", loading)
	view.ApplyStatus("r001", loading)
	g.Expect(view.Reports()).To(HaveLen(2))
	view.NoteFailure("r000")
	g.Expect(view.Reports()).To(HaveLen(1))
}

// The index includes the blocks that a runner is expected to store. If a run fails, they
// are never stored, and no event removes them. Without periodic snapshots the index would
// grow without bound.
func TestUnfulfilledExpectedBlocksAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(1)
		view.ApplyCacheEvents("r000", engine.CacheEvents{Incarnation: "i", Snapshot: true, Last: 7})
		g.Expect(view.EventCursor("r000")).To(Equal(int64(7)))
		for i := range 100 {
			choose(view, chainOf(fmt.Sprint("lost ", i), 8)).Handle.Done(false)
		}
		g.Expect(view.State().Blocks).To(BeNumerically(">", 100))
		time.Sleep(resyncInterval + time.Second)
		g.Expect(view.EventCursor("r000")).To(Equal(int64(snapshotCursor)))
		view.ApplyCacheEvents("r000", engine.CacheEvents{Incarnation: "i", Snapshot: true, Last: 7})
		g.Expect(view.State().Blocks).To(BeZero())
		g.Expect(view.EventCursor("r000")).To(Equal(int64(7)))
	})
}

// Load reports lag. A box that relied on them alone would send all requests to the runner
// that was idle at the time of the reports (herding).
func TestStaleReportsDoNotCauseHerding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		view := newView(10)
		for i := range 10 {
			status := engine.Status{Incarnation: "i", Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}, QueuedTokens: 5000}
			if i == 3 {
				status.QueuedTokens = 0 // the runner was idle at the time of the report
			}
			view.ApplyStatus(fmt.Sprintf("r%03d", i), status)
		}
		sent := map[string]int{}
		for i := range 200 {
			sent[choose(view, chainOf(fmt.Sprint("prompt ", i), 8)).Server.Name]++
		}
		busiest := 0
		for _, count := range sent {
			busiest = max(busiest, count)
		}
		t.Logf("200 requests with unchanged reports: the busiest of 10 runners received %d", busiest)
		g.Expect(busiest).To(BeNumerically("<=", 40), "twice the mean")
	})
}

func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	g := NewWithT(t)
	view := newView(1)
	choice := choose(view, chainOf("a", 40))
	tokens := choice.Decision.RecomputedTokens
	view.ApplyStatus("r000", engine.Status{Incarnation: "i", QueuedTokens: tokens, Weights: []engine.LoadedWeights{{Model: "m", Version: "v1"}}})
	view.fillRunners(Query{Model: "m", Weights: "v1"})
	g.Expect(view.runners[0].QueuedTokens).To(Equal(float64(tokens)))
	choice.Handle.FirstToken()
	choice.Handle.Done(true)
	view.fillRunners(Query{Model: "m", Weights: "v1"})
	g.Expect(view.runners[0].QueuedTokens).To(BeNumerically("<=", float64(tokens)))
	g.Expect(view.State().Servers[0].SentTokens).To(BeZero())
}

// The index must return the same result as a search in a map of sets.
func TestTheIndexMatchesBruteForce(t *testing.T) {
	const seed = 20261202
	random := rand.New(rand.NewPCG(seed, 0))
	index := NewIndex()
	stored := map[int]map[prefix.Key]bool{}
	chains := make([]prefix.Chain, 30)
	for i := range chains {
		chains[i] = chainOf(fmt.Sprint(i%7), 1+random.IntN(60))
	}
	for range 5000 {
		runner, chain := random.IntN(MaxRunners), chains[random.IntN(len(chains))]
		if stored[runner] == nil {
			stored[runner] = map[prefix.Key]bool{}
		}
		kind := engine.BlockStored
		if random.IntN(3) == 0 {
			kind = engine.BlockRemoved
		}
		for i, key := range chain.Keys() {
			index.ApplyEvent(runner, engine.CacheEvent{Kind: kind, Key: key, Depth: i + 1})
			stored[runner][key] = kind == engine.BlockStored
		}
		query := chains[random.IntN(len(chains))]
		warm := make([]int, MaxRunners)
		index.WarmTokens(query, warm)
		for r := range warm {
			if want := bruteForceWarm(stored[r], query); warm[r] != want {
				t.Fatalf("seed %d: runner %d has %d warm tokens, want %d", seed, r, warm[r], want)
			}
		}
	}
}

func bruteForceWarm(blocks map[prefix.Key]bool, chain prefix.Chain) int {
	for depth := len(chain.Keys()); depth > 0; depth-- {
		if prefix.IsIndexedDepth(depth) && blocks[chain.Keys()[depth-1]] {
			return depth * prefix.BlockTokens
		}
	}
	return 0
}

func TestChooseAllocatesOnlyTheHandle(t *testing.T) {
	g := NewWithT(t)
	view := newView(82)
	chain := chainOf("a", 100)
	allocations := testing.AllocsPerRun(200, func() {
		choice, _ := Choose(view, decide.Cheapest{}, Query{Model: "m", Weights: "v1", Chain: chain})
		choice.Handle.Done(true)
	})
	g.Expect(allocations).To(BeNumerically("<=", 1))
}
