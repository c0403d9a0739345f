// Package zone holds what an entry box knows of the backend servers of its own
// availability zone.
//
// Everything here is a hint: load reports lag, cache events come late and with
// gaps, another entry box sends work of its own. So the box adds what it has
// itself sent since the last report, lets old reports fade, and trusts what it
// sees itself (a refused connection, a server that says it is leaving) before
// any list, though only for taking servers out.
package zone

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// Timing of what is known of a server.
const (
	// coolDown is for how long a server that failed gets no new work, unless a
	// report shows it alive.
	coolDown = time.Second
	// staleAfter is the age at which a load report says nothing any more.
	staleAfter = 10 * time.Second
	// learning is the weight of the newest observation in a learnt rate.
	learning = 0.1
	// firstRunSeconds is the guess for a run's time before any was seen.
	firstRunSeconds = 1.0
)

// Config sets up a Knowledge.
type Config struct {
	// Zone is the availability zone of this entry box.
	Zone string
}

// Knowledge is what is known of the zone. It is safe for concurrent use.
type Knowledge struct {
	zone string

	mu       sync.Mutex
	servers  []*server // by index; a removed server leaves a free place
	byName   map[string]*server
	index    *Index
	snapshot *config.Snapshot
	// scratch space of the decision, so that it allocates nothing
	runners []decide.Runner
	warm    []int
	gaps    uint64
	resyncs uint64
}

// server is what is known of one backend server.
type server struct {
	config *config.BackendServer
	place  int
	hash   uint64

	status     engine.Status
	reportedAt time.Time
	failedAt   time.Time
	leaving    bool

	// sent counts the runs that this box has sent and that are not finished,
	// sentTokens their prompt work that has not led to a first token yet.
	sent       int
	sentTokens work
	// sentAtReport is what sentTokens was when the last report came: the part
	// of the report that this box counts itself.
	sentAtReport work
	// eventsTo is the sequence number up to which cache events are folded.
	eventsTo    int64
	incarnation string

	runSeconds float64
	rates      map[string]float64 // prefill tokens per second of each model
}

// work is prompt work in tokens, by class: an engine prefills instant requests
// before all others, so only theirs is ahead of another instant one.
type work [classes]int

const (
	classInstant = iota
	classOther
	classes
)

func classOf(instant bool) int {
	if instant {
		return classInstant
	}
	return classOther
}

// ahead sums the work that goes before a new request of a class.
func (w work) ahead(class int) int {
	tokens := 0
	for _, part := range w[:class+1] {
		tokens += part
	}
	return tokens
}

// New makes a knowledge of nothing.
func New(cfg Config) *Knowledge {
	return &Knowledge{zone: cfg.Zone, byName: map[string]*server{}, index: NewIndex()}
}

// Zone names the availability zone.
func (k *Knowledge) Zone() string { return k.zone }

// Configure takes over the servers of a new configuration. What is known of
// servers that stay is kept.
func (k *Knowledge) Configure(snapshot *config.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.snapshot = snapshot
	wanted := map[string]bool{}
	for i := range snapshot.File().BackendServers {
		entry := &snapshot.File().BackendServers[i]
		if entry.Zone != k.zone || entry.Role == config.RoleStoreBox {
			continue
		}
		wanted[entry.Name] = true
		k.put(entry)
	}
	for name, known := range k.byName {
		if !wanted[name] {
			k.remove(known)
		}
	}
}

func (k *Knowledge) put(entry *config.BackendServer) {
	if known, ok := k.byName[entry.Name]; ok && known.config.Address == entry.Address {
		known.config = entry
		return
	} else if ok {
		k.remove(known)
	}
	place := k.freePlace()
	if place >= MaxRunners {
		return
	}
	added := &server{config: entry, place: place, hash: xxhash.Sum64String(entry.Name), runSeconds: firstRunSeconds, rates: map[string]float64{}}
	if place == len(k.servers) {
		k.servers = append(k.servers, nil)
	}
	k.servers[place] = added
	k.byName[entry.Name] = added
}

func (k *Knowledge) freePlace() int {
	for place, known := range k.servers {
		if known == nil {
			return place
		}
	}
	return len(k.servers)
}

func (k *Knowledge) remove(known *server) {
	k.index.Clear(known.place)
	k.servers[known.place] = nil
	delete(k.byName, known.config.Name)
}

// Report takes over a load report.
func (k *Knowledge) Report(name string, status engine.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return
	}
	if known.incarnation != status.Incarnation {
		k.index.Clear(known.place)
		known.incarnation = status.Incarnation
		known.eventsTo = 0
	}
	known.status = status
	known.reportedAt = time.Now()
	known.leaving = status.Leaving
	known.failedAt = time.Time{}
	known.sentAtReport = known.sentTokens
}

// Failed notes that a server was not to be reached.
func (k *Knowledge) Failed(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byName[name]; ok {
		known.failedAt = time.Now()
	}
}

// SetLeaving notes that a server leaves. A list may only take servers out; it
// never brings back one that said itself that it leaves.
func (k *Knowledge) SetLeaving(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byName[name]; ok {
		known.leaving = true
	}
}

// EventsTo gives the sequence number after which cache events are wanted.
func (k *Knowledge) EventsTo(name string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byName[name]; ok {
		return known.eventsTo
	}
	return 0
}

// Fold takes over cache events. Where events are missing in between, it asks for
// a snapshot the next time, since nobody knows which blocks went in the gap.
func (k *Knowledge) Fold(name string, events engine.CacheEvents) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return
	}
	if events.Incarnation != known.incarnation || events.Snapshot {
		k.index.Clear(known.place)
		known.incarnation = events.Incarnation
	}
	next := known.eventsTo + 1
	for _, event := range events.Events {
		if !events.Snapshot && event.Sequence != next {
			k.gap(known)
			return
		}
		next++
		k.index.Fold(known.place, event)
	}
	if !events.Snapshot && next != events.Last+1 {
		k.gap(known)
		return
	}
	if events.Snapshot {
		k.resyncs++
	}
	known.eventsTo = events.Last
}

// snapshotWanted is a sequence number that no engine holds events after.
const snapshotWanted = -1

func (k *Knowledge) gap(known *server) {
	k.gaps++
	known.eventsTo = snapshotWanted
}

// Handle is a request's hold on a server; Done gives it back.
type Handle struct {
	knowledge *Knowledge
	server    *server
	model     string
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
	Server   *config.BackendServer
	Decision decide.Decision
	Warm     int
	Handle   *Handle
}

// Query is a request for a runner.
type Query struct {
	Model   string
	Weights string
	Chain   prefix.Chain
	// Instant says that the request goes before those that are not.
	Instant bool
	// Spread gives a prompt without a whole block its homes; it differs from
	// request to request.
	Spread uint64
	// Fetch is the best way to bring kept context to any runner of the zone.
	Fetch decide.Fetch
	// Exclude names servers that were tried already.
	Exclude []string
}

// Choose decides by a policy where a request runs, and counts it there. It
// reports false when no runner can take it.
func Choose[P decide.Policy](k *Knowledge, policy P, query Query) (Choice, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.snapshot == nil {
		return Choice{}, false
	}
	k.fill(query)
	objectives := k.snapshot.File().Objectives
	decision := policy.Choose(decide.Query{
		Tokens:           query.Chain.Tokens(),
		FirstTokenWeight: objectives.FirstTokenWeight,
		RecomputeWeight:  objectives.RecomputeWeight,
	}, k.runners)
	if decision.Runner == decide.NoRunner {
		return Choice{}, false
	}
	chosen := k.servers[decision.Runner]
	handle := &Handle{
		knowledge: k, server: chosen, model: query.Model, tokens: decision.Recomputed, class: classOf(query.Instant), counted: true,
		idle: k.runners[decision.Runner].QueuedTokens == 0 && !decision.Fetched, since: time.Now(),
	}
	chosen.sent++
	chosen.sentTokens[handle.class] += decision.Recomputed
	k.index.Expect(chosen.place, query.Chain)
	return Choice{Server: chosen.config, Decision: decision, Warm: k.warm[decision.Runner], Handle: handle}, true
}

// fill writes what is known of each server for one query into the scratch space.
func (k *Knowledge) fill(query Query) {
	if cap(k.runners) < len(k.servers) {
		k.runners = make([]decide.Runner, MaxRunners)
		k.warm = make([]int, MaxRunners)
	}
	k.runners = k.runners[:len(k.servers)]
	k.warm = k.warm[:len(k.servers)]
	k.index.Warm(query.Chain, k.warm)
	home := homeOf(query)
	now := time.Now()
	for place, known := range k.servers {
		k.runners[place] = decide.Runner{}
		if known == nil || !known.eligible(query, now) {
			continue
		}
		k.runners[place] = known.describe(k.rate(known, query.Model), classOf(query.Instant), k.warm[place], home, now)
		k.runners[place].Fetch = query.Fetch
	}
}

// homeDepth is the depth of the block that gives a prompt its home. Prompts that
// share their first thousands of tokens share a home.
const homeDepth = 8

func homeOf(query Query) uint64 {
	keys := query.Chain.Keys()
	if len(keys) == 0 {
		return query.Spread
	}
	return keys[min(homeDepth, len(keys))-1].Short()
}

func (s *server) eligible(query Query, now time.Time) bool {
	if s.config.Role != config.RoleRunner || s.leaving || s.coolingDown(now) {
		return false
	}
	for _, name := range query.Exclude {
		if name == s.config.Name {
			return false
		}
	}
	return s.holds(query.Model, query.Weights)
}

func (s *server) coolingDown(now time.Time) bool {
	return !s.failedAt.IsZero() && now.Sub(s.failedAt) < coolDown
}

// holds reports whether the server has the wanted weights. Before the first
// report the configuration is believed: the engine checks for itself.
func (s *server) holds(model, weights string) bool {
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
func (k *Knowledge) rate(known *server, model string) float64 {
	if rate := known.rates[model]; rate > 0 {
		return rate
	}
	if entry, ok := k.snapshot.Model(model); ok {
		return entry.PrefillTokensPerSecond
	}
	return config.DefaultPrefillTokensPerSecond
}

func (s *server) describe(rate float64, class, warm int, home uint64, now time.Time) decide.Runner {
	age := now.Sub(s.reportedAt)
	queued := float64(s.sentTokens.ahead(class))
	running := s.sent
	if age < staleAfter {
		// The report counts the work of all entry boxes, also this one's, and
		// what it counted has been worked on since.
		reported := work{s.status.QueuedInstantTokens, s.status.QueuedTokens - s.status.QueuedInstantTokens}
		others := float64(reported.ahead(class) - s.sentAtReport.ahead(class))
		queued += max(0, others-rate*age.Seconds())
		running = max(running, s.status.Running+s.status.Waiting)
	}
	return decide.Runner{
		Eligible: true, QueuedTokens: queued, Running: running, Slots: s.config.Slots,
		PrefillRate: rate, RunSeconds: s.runSeconds, WarmTokens: warm,
		// Rendezvous hashing: every pair of prompt and server has a rank.
		Home: mix(home ^ s.hash),
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
const minLearningTokens = 4 * prefix.BlockTokens

// FirstToken notes that the prefill is done, and learns its rate.
func (h *Handle) FirstToken() {
	h.knowledge.mu.Lock()
	defer h.knowledge.mu.Unlock()
	h.uncount()
	seconds := time.Since(h.since).Seconds()
	if !h.idle || h.tokens < minLearningTokens || seconds <= 0 {
		return
	}
	seen := float64(h.tokens) / seconds
	known := h.knowledge.rate(h.server, h.model)
	h.server.rates[h.model] = known + learning*(seen-known)
}

func (h *Handle) uncount() {
	if h.counted {
		h.counted = false
		h.server.sentTokens[h.class] -= h.tokens
		h.server.sentAtReport[h.class] = max(0, h.server.sentAtReport[h.class]-h.tokens)
	}
}

// Done gives back the hold on a server. A run that went through teaches how
// long runs take.
func (h *Handle) Done(ran bool) {
	h.knowledge.mu.Lock()
	defer h.knowledge.mu.Unlock()
	if h.done {
		return
	}
	h.done = true
	h.uncount()
	h.server.sent--
	if ran {
		seconds := time.Since(h.since).Seconds()
		h.server.runSeconds += learning * (seconds - h.server.runSeconds)
	}
}
