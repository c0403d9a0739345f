// Package fakeengine simulates an LLM inference engine.
//
// It serves the engine protocol over real sockets and simulates the behaviour
// that routing decisions depend on: a prefix cache with a limited number of
// blocks, a prefill time for uncached tokens, a batch with a limited number of
// slots and with priorities, weight loads, late and missing cache events, and
// stale load reports. Its responses are a function of the prompt, so that a test
// can predict every byte of them.
package fakeengine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/storebox"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures an Engine.
type Config struct {
	// Name is the name of the engine.
	Name string
	// Weights are the weight versions of the models that are loaded at the start.
	Weights []engine.LoadedWeights
	// Slots is the maximum number of runs in the batch.
	Slots int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// PrefillTokensPerSecond is the prefill rate; with 0 prefill takes no time.
	PrefillTokensPerSecond float64
	// DecodeInterval is the time between chunks; with 0 decoding takes no time.
	DecodeInterval time.Duration
	// NoFirstDelay sends the first chunk directly after prefill, without DecodeInterval.
	NoFirstDelay bool
	// LoadTime is the duration of one weight load while WeightStore is not overloaded.
	LoadTime time.Duration
	// WeightStore is shared by the engines of a deployment; nil never slows loads down.
	WeightStore *WeightStore
	// RunRetention is how long a finished run can still be resumed.
	RunRetention time.Duration
	// Faults are the initial faults.
	Faults Faults
}

// Faults are the faults that the engine injects.
type Faults struct {
	// BreakAfter closes each connection after it has sent this number of
	// chunks; 0 never does.
	BreakAfter int `json:"break_after"`
	// BreakTimes is the maximum number of connections that BreakAfter closes;
	// 0 means no limit.
	BreakTimes int `json:"break_times"`
	// RepeatEvery sends every n-th chunk twice.
	RepeatEvery int `json:"repeat_every"`
	// SwapEvery sends every n-th chunk after the one that follows it.
	SwapEvery int `json:"swap_every"`
	// MalformedResponse responds to every run with bytes that are no valid response.
	MalformedResponse bool `json:"rubbish"`
	// RejectStatus rejects every run with this HTTP status; 0 rejects none.
	RejectStatus int `json:"refuse"`
	// NoResponse starts every run and never responds.
	NoResponse bool `json:"mute"`
	// DropRun starts every run and then closes the connection.
	DropRun bool `json:"drop_run"`
	// ForgetRuns makes every resume fail.
	ForgetRuns bool `json:"forget_runs"`
	// WrongWeights reports another weight version in every response.
	WrongWeights bool `json:"wrong_weights"`
	// DropEventEvery drops every n-th cache event.
	DropEventEvery int `json:"lose_events"`
	// ReportLag is the age of every load report.
	ReportLag time.Duration `json:"report_lag"`
	// Leaving announces that the engine is about to stop.
	Leaving bool `json:"leaving"`
}

// Engine is a simulated inference engine.
type Engine struct {
	cfg         Config
	incarnation string
	slots       *prioritySemaphore
	prefill     *prioritySemaphore
	cache       *cache
	stores      *storebox.Client
	lifetime    context.Context
	stop        context.CancelFunc

	mu            sync.Mutex
	faults        Faults
	breaks        int
	runs          map[string]*run
	ledger        Ledger
	weights       map[string]string
	loading       map[string]string
	fence         int64
	queued        int
	queuedInstant int // the part of queued with instant priority
	reports       []timedStatus
	sequence      int64
}

type timedStatus struct {
	at     time.Time
	status engine.Status
}

// Ledger counts the work of the engine. Tests use it to check that runs start at
// most once and that a leaving engine gets no new ones.
type Ledger struct {
	// Starts counts the starts by run ID.
	Starts map[string]int `json:"starts"`
	// Cancelled counts cancelled runs.
	Cancelled int `json:"cancelled"`
	// PrefilledTokens and CachedTokens count the prompt tokens that were computed
	// and those that the prefix cache contained.
	PrefilledTokens int `json:"prefilled_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	// WrongBlocks counts imported blocks whose content does not match their key;
	// it must stay 0.
	WrongBlocks int `json:"wrong_blocks"`
	// AfterLeaving counts runs that were started after the engine announced that
	// it is leaving.
	AfterLeaving int `json:"after_leaving"`
}

// Defaults of Config.
const (
	defaultSlots       = 16
	defaultCacheBlocks = 4096
	defaultKeepRuns    = time.Minute
)

// New returns an engine that runs until Close.
func New(cfg Config) *Engine {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	if cfg.RunRetention == 0 {
		cfg.RunRetention = defaultKeepRuns
	}
	life, stop := context.WithCancel(context.Background())
	e := &Engine{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		slots:       newPrioritySemaphore(cfg.Slots),
		prefill:     newPrioritySemaphore(1),
		cache:       newCache(cfg.CacheBlocks),
		stores:      storebox.NewClient(storebox.ClientConfig{}),
		lifetime:    life,
		stop:        stop,
		faults:      cfg.Faults,
		runs:        map[string]*run{},
		ledger:      Ledger{Starts: map[string]int{}},
		weights:     map[string]string{},
		loading:     map[string]string{},
	}
	for _, loaded := range cfg.Weights {
		e.weights[loaded.Model] = loaded.Version
	}
	return e
}

// Close cancels all runs.
func (e *Engine) Close() { e.stop() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.breaks = 0
}

// Ledger returns a copy of the counts.
func (e *Engine) Ledger() Ledger {
	e.mu.Lock()
	defer e.mu.Unlock()
	ledger := e.ledger
	ledger.Starts = make(map[string]int, len(e.ledger.Starts))
	for id, count := range e.ledger.Starts {
		ledger.Starts[id] = count
	}
	return ledger
}

// Incarnation returns the unique ID of this instance of the engine.
func (e *Engine) Incarnation() string { return e.incarnation }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// shouldBreak reports whether to close a connection that has sent a number of
// chunks. It counts the connections that it reports.
func (e *Engine) shouldBreak(sent int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakAfter == 0 || sent < e.faults.BreakAfter {
		return false
	}
	if e.faults.BreakTimes > 0 && e.breaks >= e.faults.BreakTimes {
		return false
	}
	e.breaks++
	return true
}

// run is one generation. It continues when the client disconnects.
type run struct {
	id       string
	model    string
	weights  string
	priority int
	chat     bool
	created  int64
	prompt   []byte
	chain    prefix.Chain
	tokens   int
	cancel   context.CancelFunc

	mu     sync.Mutex
	chunks [][]byte
	body   []byte
	done   bool
	// changed is closed and replaced when chunks are added.
	changed chan struct{}
}

// startRun starts a run. A run that already has the ID is replaced.
func (e *Engine) startRun(r *run) {
	ctx, cancel := context.WithCancel(e.lifetime)
	r.cancel = cancel
	r.changed = make(chan struct{})
	e.mu.Lock()
	e.ledger.Starts[r.id]++
	if e.faults.Leaving {
		e.ledger.AfterLeaving++
	}
	e.runs[r.id] = r
	e.queued += r.chain.Tokens()
	if r.priority <= engine.PriorityInstant {
		e.queuedInstant += r.chain.Tokens()
	}
	e.mu.Unlock()
	go r.loop(ctx, e)
}

func (e *Engine) findRun(id string) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.ForgetRuns {
		return nil, false
	}
	found, ok := e.runs[id]
	return found, ok
}

func (e *Engine) removeRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// loop waits for a batch slot, computes the prefill and decodes the run.
func (r *run) loop(ctx context.Context, e *Engine) {
	defer time.AfterFunc(e.cfg.RunRetention, func() { e.removeRun(r.id) })
	defer r.cancel()
	if !e.slots.acquire(ctx, r.priority) {
		e.finishPrefill(r, 0, false)
		return
	}
	defer e.slots.release()
	cached, ok := e.runPrefill(ctx, r)
	if !ok {
		return
	}
	for i := range r.tokens {
		if at := i == 0 && e.cfg.NoFirstDelay; !at && !waiting.For(ctx, e.cfg.DecodeInterval) {
			return
		}
		r.add(r.chunk(i, cached))
	}
	r.finish(cached)
}

func (e *Engine) runPrefill(ctx context.Context, r *run) (cached int, ok bool) {
	if !e.prefill.acquire(ctx, r.priority) {
		e.finishPrefill(r, 0, false)
		return 0, false
	}
	defer e.prefill.release()
	cached = e.cache.lookUp(r.chain.Keys()) * prefix.BlockTokens
	var work time.Duration
	if e.cfg.PrefillTokensPerSecond > 0 {
		seconds := float64(r.chain.Tokens()-cached) / e.cfg.PrefillTokensPerSecond
		work = time.Duration(seconds * float64(time.Second))
	}
	ok = waiting.For(ctx, work)
	e.finishPrefill(r, cached, ok)
	return cached, ok
}

func (e *Engine) finishPrefill(r *run, cached int, computed bool) {
	if computed {
		e.cache.store(r.chain.Keys())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued -= r.chain.Tokens()
	if r.priority <= engine.PriorityInstant {
		e.queuedInstant -= r.chain.Tokens()
	}
	if computed {
		e.ledger.PrefilledTokens += r.chain.Tokens() - cached
		e.ledger.CachedTokens += cached
	}
}

func (r *run) add(chunk []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, chunk)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) finish(cached int) {
	whole := r.fullResponse(cached)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, []byte("[DONE]"))
	r.body = whole
	r.done = true
	close(r.changed)
	r.changed = make(chan struct{})
}

// chunksFrom returns the chunks from an index on, whether the run is done, and a
// channel that is closed when there are more.
func (r *run) chunksFrom(index int) (chunks [][]byte, done bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index < len(r.chunks) {
		chunks = r.chunks[index:]
	}
	return chunks, r.done, r.changed
}

// Cancel cancels and removes a run. It reports whether the run existed.
func (e *Engine) Cancel(id string) bool {
	e.mu.Lock()
	r, ok := e.runs[id]
	if ok {
		delete(e.runs, id)
		e.ledger.Cancelled++
	}
	e.mu.Unlock()
	if ok {
		r.cancel()
	}
	return ok
}

// Word returns the i-th word of the response to a prompt. It depends on both, so
// that tests can distinguish the responses to different prompts.
func Word(prompt []byte, i int) string {
	seed := prefix.NewSalt(string(prompt), "", "").String()
	return seed[:6] + "-" + strconv.Itoa(i) + " "
}
