package zone

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/prefix"
)

// This file chooses a runner for a request: it converts the state of each server into
// the policy's input, calls the policy, and counts the request on the chosen server.

// Handle counts a request on a server until Done is called.
type Handle struct {
	view   *View
	server *server
	model  string
	// tokens is the number of tokens that the server has to prefill by the decision's
	// estimate. counted is true while they are part of the server's sentTokens.
	tokens  int
	class   int
	counted bool
	// idle is true if no prefill was queued and no fetch was needed, so that the time
	// to first token is the prefill time.
	idle  bool
	since time.Time
	done  bool
}

// Choice is a decision with the server in place of its index.
type Choice struct {
	Server     *config.BackendServer
	Decision   decide.Decision
	WarmTokens int
	Handle     *Handle
}

// Query describes the request for which to choose a runner.
type Query struct {
	Model   string
	Weights string
	Chain   prefix.Chain
	// Instant is set for requests that engines prefill before all others.
	Instant bool
	// RequestHash differs between requests. It determines the homes of a prompt that
	// is shorter than a block.
	RequestHash uint64
	// Fetch is the best transfer of stored context to a runner of the zone.
	Fetch decide.Fetch
	// Exclude contains the names of servers that were already tried.
	Exclude []string
}

// Choose chooses a runner for a request by a policy, and counts the request on it. It
// returns false if no runner can take the request.
func Choose[P decide.Policy](view *View, policy P, query Query) (Choice, bool) {
	view.mu.Lock()
	defer view.mu.Unlock()
	if view.snapshot == nil {
		return Choice{}, false
	}
	view.fillRunners(query)
	objectives := view.snapshot.File().Objectives
	decision := policy.Choose(decide.Query{
		PromptTokens:     query.Chain.Tokens(),
		FirstTokenWeight: objectives.FirstTokenWeight,
		RecomputeWeight:  objectives.RecomputeWeight,
	}, view.runners)
	if decision.Runner == decide.NoRunner {
		return Choice{}, false
	}
	chosen := view.servers[decision.Runner]
	handle := &Handle{
		view: view, server: chosen, model: query.Model, tokens: decision.RecomputedTokens, class: classOf(query.Instant), counted: true,
		idle: view.runners[decision.Runner].QueuedTokens == 0 && !decision.WithFetch, since: boottime.Now(),
	}
	view.noteRun(chosen, boottime.Now())
	chosen.sent++
	chosen.sentTokens[handle.class] += decision.RecomputedTokens
	view.index.AddExpected(chosen.runnerIndex, query.Chain)
	return Choice{Server: chosen.config, Decision: decision, WarmTokens: view.warm[decision.Runner], Handle: handle}, true
}

// fillRunners sets runners and warm to the state of each server for one query.
func (v *View) fillRunners(query Query) {
	if cap(v.runners) < len(v.servers) {
		v.runners = make([]decide.Runner, MaxRunners)
		v.warm = make([]int, MaxRunners)
	}
	v.runners = v.runners[:len(v.servers)]
	v.warm = v.warm[:len(v.servers)]
	v.index.WarmTokens(query.Chain, v.warm)
	home := affinityKey(query)
	now := boottime.Now()
	for i, srv := range v.servers {
		v.runners[i] = decide.Runner{}
		if srv == nil || !srv.eligible(query, now) || !v.acceptsRun(srv, now) {
			continue
		}
		v.runners[i] = srv.toRunner(v.rate(srv, query.Model), classOf(query.Instant), v.warm[i], home, now)
		v.runners[i].Fetch = query.Fetch
	}
}

// affinityDepth is the depth of the block whose key determines the homes of a prompt.
// Prompts that share their first 8 blocks (2048 tokens) have the same homes.
const affinityDepth = 8

// affinityKey returns the hash that determines the homes of a request.
func affinityKey(query Query) uint64 {
	keys := query.Chain.Keys()
	if len(keys) == 0 {
		return query.RequestHash
	}
	return keys[min(affinityDepth, len(keys))-1].Short()
}

func (s *server) eligible(query Query, now time.Time) bool {
	if s.config.Role != config.RoleRunner || s.isLeaving() || s.evacuated || s.coolingDown(now) {
		return false
	}
	for _, name := range query.Exclude {
		if name == s.config.Name {
			return false
		}
	}
	return s.hasWeights(query.Model, query.Weights)
}

func (s *server) isLeaving() bool { return s.leaving || s.listedLeaving || s.advisoryState.Draining() }

func (s *server) coolingDown(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < coolDown
}

// hasWeights reports whether the server has loaded the given weight version. Before
// the first load report it goes by the configuration, since the engine checks the
// version itself.
func (s *server) hasWeights(model, weights string) bool {
	if s.reportedAt.IsZero() {
		for _, name := range s.config.Models {
			if name == model {
				return true
			}
		}
		return false
	}
	for _, loaded := range s.status.Weights {
		if loaded.Model == model {
			return loaded.Version == weights
		}
	}
	return false
}

// rate returns the prefill rate of a model on a server: the learned rate, or before
// the first sample the configured estimate.
func (v *View) rate(srv *server, model string) float64 {
	if rate := srv.rates[model]; rate > 0 {
		return rate
	}
	if entry, ok := v.snapshot.Model(model); ok {
		return entry.PrefillTokensPerSecond
	}
	return config.DefaultPrefillTokensPerSecond
}

func (s *server) toRunner(rate float64, class, warm int, home uint64, now time.Time) decide.Runner {
	age := now.Sub(s.reportedAt)
	queued := float64(s.sentTokens.ahead(class))
	running := s.sent
	if age < staleAfter {
		// The reported tokens include those that this box has sent, and the server has
		// prefilled some of them since the report.
		reported := classTokens{s.status.QueuedInstantTokens, s.status.QueuedTokens - s.status.QueuedInstantTokens}
		others := float64(reported.ahead(class) - s.sentAtReport.ahead(class))
		queued += max(0, others-rate*age.Seconds())
		running = max(running, s.status.Running+s.status.Waiting)
	}
	return decide.Runner{
		Eligible: true, QueuedTokens: queued, Running: running, Slots: s.config.Slots,
		PrefillRate: rate, RunSeconds: s.runSeconds, WarmTokens: warm,
		// The rendezvous hash of the prompt and the server.
		HomeRank: mix(home ^ s.hash),
	}
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// minSampleTokens is the minimum number of prefilled tokens for a sample of the prefill
// rate; the rate of a shorter prefill is not representative.
const minSampleTokens = 4 * prefix.BlockTokens

// FirstToken records the end of the prefill, and updates the prefill rate.
func (h *Handle) FirstToken() {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	h.subtractTokens()
	seconds := boottime.Since(h.since).Seconds()
	if !h.idle || h.tokens < minSampleTokens || seconds <= 0 {
		return
	}
	observed := float64(h.tokens) / seconds
	previous := h.view.rate(h.server, h.model)
	h.server.rates[h.model] = previous + smoothingFactor*(observed-previous)
}

func (h *Handle) subtractTokens() {
	if h.counted {
		h.counted = false
		h.server.sentTokens[h.class] -= h.tokens
		h.server.sentAtReport[h.class] = max(0, h.server.sentAtReport[h.class]-h.tokens)
	}
}

// Done ends the count of a request on its server. If the run completed, Done updates
// the average run time.
func (h *Handle) Done(ran bool) {
	h.view.mu.Lock()
	defer h.view.mu.Unlock()
	if h.done {
		return
	}
	h.done = true
	h.subtractTokens()
	h.server.sent--
	if ran {
		seconds := boottime.Since(h.since).Seconds()
		h.server.runSeconds += smoothingFactor * (seconds - h.server.runSeconds)
	}
}
