package decide_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/decide"
)

func randomZone(random *rand.Rand) (decide.Query, []decide.Runner) {
	query := decide.Query{
		PromptTokens: random.IntN(100_000), FirstTokenWeight: 1 + 3*random.Float64(), RecomputeWeight: 3 * random.Float64(),
	}
	runners := make([]decide.Runner, 1+random.IntN(30))
	for i := range runners {
		runners[i] = decide.Runner{
			Eligible: random.IntN(5) > 0, QueuedTokens: 50_000 * random.Float64(), Running: random.IntN(40), Slots: 1 + random.IntN(32),
			PrefillRate: 2000 + 20_000*random.Float64(), RunSeconds: 10 * random.Float64(), WarmTokens: random.IntN(100_000),
			Fetch: decide.Fetch{Tokens: random.IntN(100_000), Seconds: 5 * random.Float64()}, HomeRank: random.Uint64(),
		}
	}
	return query, runners
}

// bruteForce returns the lowest cost over all choices. It computes each cost directly
// from the formula of the package comment.
func bruteForce(query decide.Query, runners []decide.Runner) (cost float64, found bool) {
	cost = math.Inf(1)
	for _, runner := range runners {
		if !runner.Eligible {
			continue
		}
		for _, fetch := range []bool{false, true} {
			present, transfer := runner.WarmTokens, 0.0
			if fetch {
				present, transfer = runner.Fetch.Tokens, runner.Fetch.Seconds
			}
			if present > query.PromptTokens {
				present = query.PromptTokens
			}
			if fetch && runner.Fetch.Tokens <= runner.WarmTokens {
				continue
			}
			queue := runner.QueuedTokens / runner.PrefillRate
			if runner.Running >= runner.Slots {
				queue += float64(runner.Running-runner.Slots+1) * runner.RunSeconds / float64(runner.Slots)
			}
			begin := queue
			if transfer > begin {
				begin = transfer
			}
			prefill := float64(query.PromptTokens-present) / runner.PrefillRate
			total := query.FirstTokenWeight*(begin+prefill) + query.RecomputeWeight*prefill
			if total < cost {
				cost, found = total, true
			}
		}
	}
	return cost, found
}

func TestCheapestMatchesBruteForce(t *testing.T) {
	const zones, seed = 100_000, 20261202
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for range zones {
		query, runners := randomZone(random)
		got := decide.Cheapest{}.Choose(query, runners)
		want, found := bruteForce(query, runners)
		if found != (got.Runner != decide.NoRunner) {
			t.Fatalf("found %v, chose %d", found, got.Runner)
		}
		// Costs that differ by less than 0.1% count as equal and are ordered by home rank.
		if found && got.Cost > want*1.001+1e-9 {
			t.Fatalf("chose a cost of %v, the lowest cost is %v", got.Cost, want)
		}
	}
}

func TestCheapestChoices(t *testing.T) {
	idle := decide.Runner{Eligible: true, PrefillRate: 1000, Slots: 4, RunSeconds: 2}
	with := func(change func(*decide.Runner)) decide.Runner {
		runner := idle
		change(&runner)
		return runner
	}
	query := decide.Query{PromptTokens: 10_000, FirstTokenWeight: 1, RecomputeWeight: 1}
	cases := []struct {
		name    string
		runners []decide.Runner
		want    int
		fetched bool
	}{
		{"no runner", nil, decide.NoRunner, false},
		{"no eligible runner", []decide.Runner{with(func(r *decide.Runner) { r.Eligible = false })}, decide.NoRunner, false},
		{"the warm runner of two idle ones", []decide.Runner{idle, with(func(r *decide.Runner) { r.WarmTokens = 9000 })}, 1, false},
		{"the idle runner when the warm one's queue takes longer than the prefill", []decide.Runner{idle, with(func(r *decide.Runner) { r.WarmTokens = 9000; r.QueuedTokens = 30_000 })}, 0, false},
		{"the warm runner when its queue is short", []decide.Runner{idle, with(func(r *decide.Runner) { r.WarmTokens = 9000; r.QueuedTokens = 3000 })}, 1, false},
		{"the home of runners of equal cost", []decide.Runner{with(func(r *decide.Runner) { r.HomeRank = 2 }), with(func(r *decide.Runner) { r.HomeRank = 1 })}, 1, false},
		{"a fetch when the link is fast", []decide.Runner{with(func(r *decide.Runner) { r.Fetch = decide.Fetch{Tokens: 9000, Seconds: 1} })}, 0, true},
		{"no fetch when the link is slow", []decide.Runner{with(func(r *decide.Runner) { r.Fetch = decide.Fetch{Tokens: 9000, Seconds: 60} })}, 0, false},
		{"the runner with a free slot", []decide.Runner{with(func(r *decide.Runner) { r.Running = 4 }), idle}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := decide.Cheapest{}.Choose(query, c.runners)
			g.Expect(got.Runner).To(Equal(c.want))
			g.Expect(got.WithFetch).To(Equal(c.fetched))
		})
	}
}

func TestChooseDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	query, runners := randomZone(rand.New(rand.NewPCG(1, 1)))
	g.Expect(testing.AllocsPerRun(100, func() { decide.Cheapest{}.Choose(query, runners) })).To(BeZero())
	policy := decide.TwoHomes{IdleWait: 1, RecomputeFactor: 4}
	g.Expect(testing.AllocsPerRun(100, func() { policy.Choose(query, runners) })).To(BeZero())
}

// bruteForceTwoHomes sorts all runners by home rank and returns the lowest cost of the
// candidates of TwoHomes.
func bruteForceTwoHomes(t decide.TwoHomes, query decide.Query, runners []decide.Runner) (cost float64, found bool) {
	var order []decide.Runner
	for _, runner := range runners {
		if runner.Eligible {
			order = append(order, runner)
		}
	}
	if len(order) == 0 {
		return 0, false
	}
	slices.SortFunc(order, func(a, b decide.Runner) int { return cmp.Compare(a.HomeRank, b.HomeRank) })
	candidates := order[:min(2, len(order))]
	candidates = slices.Clone(candidates)
	cached := func(r decide.Runner) int { return min(r.WarmTokens, query.PromptTokens) }
	warmest := order[0]
	for _, runner := range order {
		if cached(runner) > cached(warmest) {
			warmest = runner
		}
	}
	if 2*cached(warmest) > query.PromptTokens {
		candidates = append(candidates, warmest)
	}
	factor := t.RecomputeFactor * math.Max(1, query.RecomputeWeight/query.FirstTokenWeight)
	cost = math.Inf(1)
	for i, runner := range candidates {
		idle := decide.Estimate(decide.Query{}, &runner, false).FirstTokenSeconds
		if i > 0 && idle > t.IdleWait {
			continue
		}
		for _, fetch := range []bool{false, true} {
			if fetch && runner.Fetch.Tokens <= runner.WarmTokens {
				continue
			}
			estimate := decide.Estimate(query, &runner, fetch)
			prefill := float64(estimate.RecomputedTokens) / runner.PrefillRate
			cost = math.Min(cost, estimate.FirstTokenSeconds+(factor-1)*prefill)
		}
	}
	return cost, true
}

func TestTwoHomesMatchesBruteForce(t *testing.T) {
	const zones, seed = 100_000, 20261202
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
	moved := 0
	for range zones {
		query, runners := randomZone(random)
		query.PromptTokens += 1025
		if random.IntN(2) == 0 { // half of the zones have idle runners
			for i := range runners {
				runners[i].QueuedTokens *= float64(random.IntN(2))
				runners[i].Running = random.IntN(runners[i].Slots)
			}
		}
		got := policy.Choose(query, runners)
		want, found := bruteForceTwoHomes(policy, query, runners)
		if found != (got.Runner != decide.NoRunner) {
			t.Fatalf("found %v, chose %d", found, got.Runner)
		}
		if found && math.Abs(got.Cost-want) > 1e-9*math.Max(1, want) {
			t.Fatalf("chose a cost of %v, the lowest cost is %v", got.Cost, want)
		}
		if found && got.Runner != (decide.Rendezvous{}).Choose(query, runners).Runner {
			moved++
		}
	}
	NewWithT(t).Expect(moved).To(BeNumerically(">", zones/100), "too few requests were sent to another runner than their home")
}

func TestTwoHomesNeverMovesToABusyRunner(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	policy := decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
	for range 10_000 {
		query, runners := randomZone(random)
		query.PromptTokens += 1025
		got := policy.Choose(query, runners)
		if got.Runner == decide.NoRunner || got.Runner == (decide.Rendezvous{}).Choose(query, runners).Runner {
			continue
		}
		if idle := decide.Estimate(decide.Query{}, &runners[got.Runner], false).FirstTokenSeconds; idle > policy.IdleWait {
			t.Fatalf("moved to a runner with a wait of %v s", idle)
		}
	}
}
