// Package policybench compares placement policies in virtual time. It runs the real decision code
// against simulated runners, without processes, network or membership. The loads are small files
// in this package and a seed determines the rest, so every figure is reproducible.
//
// Only the bench program depends on this package. The users' own bench is meant to replace it.
package policybench

import (
	"embed"
	"encoding/json"
	"math/rand/v2"
	"sort"

	"github.com/ansel1/merry/v2"
)

//go:embed loads/*.json
var loadFiles embed.FS

// Load describes a deployment and the requests of its callers.
type Load struct {
	Deployment       string  `json:"deployment"`
	FirstTokenWeight float64 `json:"first_token_weight"`
	RecomputeWeight  float64 `json:"recompute_weight"`
	Runners          int     `json:"runners"`
	Boxes            int     `json:"boxes"`
	Slots            int     `json:"slots"`
	PrefillRate      float64 `json:"prefill_tokens_per_second"`
	DecodeRate       float64 `json:"decode_tokens_per_second"`
	CacheTokens      int     `json:"cache_tokens"`
	ReportLag        float64 `json:"report_lag_seconds"`
	// Organisations holds the share of the requests of each organisation, in percent.
	Organisations []float64 `json:"organisations"`
	// SharedTokens is the length of the prefix that all contexts of an organisation share.
	// ContextTokens is the range of the length of what follows it.
	SharedTokens   int    `json:"shared_tokens"`
	ContextTokens  [2]int `json:"context_tokens"`
	QuestionTokens [2]int `json:"question_tokens"`
	InstantTokens  [2]int `json:"instant_tokens"`
	OutputTokens   [2]int `json:"output_tokens"`
	// NewContextShare is the share of the long requests whose context is new.
	NewContextShare float64 `json:"new_context_part"`
	// InstantShare is the share of the requests that are short and instant.
	InstantShare float64 `json:"instant_part"`
	// Of every BurstEvery requests, the first BurstSize arrive at once.
	BurstEvery int `json:"burst_every"`
	BurstSize  int `json:"burst_size"`
	Requests   int `json:"requests"`
}

// Loads reads the load files.
func Loads() ([]Load, error) {
	entries, err := loadFiles.ReadDir("loads")
	if err != nil {
		return nil, merry.Wrap(err)
	}
	var loads []Load
	for _, entry := range entries {
		data, err := loadFiles.ReadFile("loads/" + entry.Name())
		if err != nil {
			return nil, merry.Wrap(err)
		}
		var load Load
		if err := json.Unmarshal(data, &load); err != nil {
			return nil, merry.Prepend(err, entry.Name())
		}
		loads = append(loads, load)
	}
	return loads, nil
}

// segment is a piece of context that is cached as a whole.
type segment struct {
	id     int
	tokens int
}

// request is one request of a load.
type request struct {
	at           float64 // seconds
	organisation int
	instant      bool
	// segments are the cacheable prefix, in order. The question is never cached.
	segments     []segment
	question     int
	output       int
	affinityHash uint64
}

func (r *request) tokens() int {
	total := r.question
	for _, s := range r.segments {
		total += s.tokens
	}
	return total
}

// generator generates the requests of a load from a seed.
type generator struct {
	load     Load
	random   *rand.Rand
	shared   []segment
	contexts [][][]segment // by organisation, in the order of their creation
	nextID   int
}

// generate generates the requests of a load, with arrivals at unit rate; scale sets the actual
// rate.
func generate(load Load, seed uint64) []request {
	g := &generator{load: load, random: rand.New(rand.NewPCG(seed, 1))}
	for range load.Organisations {
		g.shared = append(g.shared, g.segment(load.SharedTokens))
		g.contexts = append(g.contexts, nil)
	}
	requests := make([]request, load.Requests)
	at := 0.0
	for i := range requests {
		if i%load.BurstEvery >= load.BurstSize {
			at += g.random.ExpFloat64()
		}
		requests[i] = g.request(at)
	}
	return requests
}

func (g *generator) segment(tokens int) segment {
	g.nextID++
	return segment{id: g.nextID, tokens: tokens}
}

func (g *generator) uniform(bounds [2]int) int {
	return bounds[0] + g.random.IntN(bounds[1]-bounds[0]+1)
}

func (g *generator) request(at float64) request {
	r := request{at: at, organisation: g.organisation(), output: g.uniform(g.load.OutputTokens), affinityHash: g.random.Uint64()}
	if g.random.Float64() < g.load.InstantShare {
		r.instant = true
		r.question = g.uniform(g.load.InstantTokens)
		return r
	}
	r.segments = g.context(r.organisation)
	r.affinityHash = uint64(r.segments[len(r.segments)-1].id) * 0x9e3779b97f4a7c15
	r.question = g.uniform(g.load.QuestionTokens)
	return r
}

func (g *generator) organisation() int {
	at := g.random.Float64() * 100
	for i, share := range g.load.Organisations {
		if at -= share; at < 0 {
			return i
		}
	}
	return len(g.load.Organisations) - 1
}

// context returns a new context or an earlier one of the organisation. Each earlier context is
// equally likely, so the time between two uses of a context ranges from moments to the whole load.
func (g *generator) context(organisation int) []segment {
	earlier := g.contexts[organisation]
	if len(earlier) > 0 && g.random.Float64() >= g.load.NewContextShare {
		return earlier[g.random.IntN(len(earlier))]
	}
	created := []segment{g.shared[organisation], g.segment(g.uniform(g.load.ContextTokens))}
	g.contexts[organisation] = append(earlier, created)
	return created
}

// bound counts prompt tokens: all of them, those that a clairvoyant policy with a single cache of
// the total size would compute, and those that occur for the first time.
type bound struct {
	total, computed, firstUses int
}

// clairvoyant computes the bound. It evicts the segments whose next use is farthest away (Belady's
// rule). With segments of different sizes, this bound is close but not exact.
func clairvoyant(load Load, requests []request) bound {
	uses := map[int][]int{}
	for i := range requests {
		for _, s := range requests[i].segments {
			uses[s.id] = append(uses[s.id], i)
		}
	}
	capacity := load.CacheTokens * load.Runners
	cached, size := map[int]segment{}, 0
	used := map[int]bool{}
	var b bound
	for i := range requests {
		b.total += requests[i].tokens()
		b.computed += requests[i].question
		b.firstUses += requests[i].question
		for _, s := range requests[i].segments {
			if !used[s.id] {
				b.firstUses += s.tokens
				used[s.id] = true
			}
			uses[s.id] = uses[s.id][1:]
			if _, ok := cached[s.id]; ok {
				continue
			}
			b.computed += s.tokens
			cached[s.id] = s
			size += s.tokens
		}
		if size > capacity {
			size = evictFarthest(cached, uses, size, capacity)
		}
	}
	return b
}

func evictFarthest(cached map[int]segment, uses map[int][]int, size, capacity int) int {
	byNextUse := make([]segment, 0, len(cached))
	for _, s := range cached {
		byNextUse = append(byNextUse, s)
	}
	next := func(s segment) int {
		if len(uses[s.id]) == 0 {
			return 1 << 30
		}
		return uses[s.id][0]
	}
	sort.Slice(byNextUse, func(i, j int) bool {
		if next(byNextUse[i]) != next(byNextUse[j]) {
			return next(byNextUse[i]) > next(byNextUse[j])
		}
		return byNextUse[i].id < byNextUse[j].id
	})
	for _, s := range byNextUse {
		if size <= capacity {
			break
		}
		delete(cached, s.id)
		size -= s.tokens
	}
	return size
}

// scale stretches the arrival times so that the tokens that the clairvoyant policy computes take
// the given share of the prefill time of all runners. That share is the load.
func scale(load Load, requests []request, b bound, share float64) {
	last := requests[len(requests)-1].at
	duration := float64(b.computed) / (float64(load.Runners) * load.PrefillRate * share)
	for i := range requests {
		requests[i].at *= duration / last
	}
}
