package zone

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/prefix"
)

// Choosing: what is known of each server is written down as plain data, the
// policy decides on it, and the request is counted where it goes.

// Handle is a request's hold on a server; Done gives it back.
type Handle struct {
	view   *View
	server *server
	model  string
	// tokens is the prompt work that the decision expected; counted says that
	// it is still part of the server's sentTokens.
	tokens  int
	class   int
	counted bool
	// idle says that nothing was ahead, so that the time to first token is the
	// time of the prefill alone.
	idle  bool
	since time.Time
	done  bool
}

// Choice is a decision about servers instead of indexes.
type Choice struct {
	Server     *config.BackendServer
	Decision   decide.Decision
	WarmTokens int
	Handle     *Handle
}

// Query is a request for a runner.
type Query struct {
	Model   string
	Weights string
	Chain   prefix.Chain
	// Instant says that the request goes before those that are not.
	Instant bool
	// RequestHash gives a prompt without a whole block its homes; it differs from
	// request to request.
	RequestHash uint64
	// Fetch is the best way to bring kept context to any runner of the zone.
	Fetch decide.Fetch
	// Exclude names servers that were tried already.
	Exclude []string
}

// Choose decides by a policy where a request runs, and counts it there. It
// reports false when no runner can take it.
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

// fill writes what is known of each server for one query into the scratch space.
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

// homeDepth is the depth of the block that gives a prompt its home. Prompts that
// share their first thousands of tokens share a home.
const affinityDepth = 8

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

// holds reports whether the server has the wanted weights. Before the first
// report the configuration is believed: the engine checks for itself.
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

// rate gives the prefill rate of a model on a server: what was learnt, or the
// operators' first guess.
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
		// The report counts the work of all entry boxes, also this one's, and
		// what it counted has been worked on since.
		reported := classTokens{s.status.QueuedInstantTokens, s.status.QueuedTokens - s.status.QueuedInstantTokens}
		others := float64(reported.ahead(class) - s.sentAtReport.ahead(class))
		queued += max(0, others-rate*age.Seconds())
		running = max(running, s.status.Running+s.status.Waiting)
	}
	return decide.Runner{
		Eligible: true, QueuedTokens: queued, Running: running, Slots: s.config.Slots,
		PrefillRate: rate, RunSeconds: s.runSeconds, WarmTokens: warm,
		// Rendezvous hashing: every pair of prompt and server has a rank.
		HomeRank: mix(home ^ s.hash),
	}
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// minLearningTokens is the least prefill work that says something of the rate.
const minSampleTokens = 4 * prefix.BlockTokens

// FirstToken notes that the prefill is done, and learns its rate.
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

// Done gives back the hold on a server. A run that went through teaches how
// long runs take.
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
