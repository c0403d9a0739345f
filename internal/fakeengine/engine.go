// Package fakeengine stands in for a model engine.
//
// It speaks the engine protocol over real sockets and has the behaviour that
// decisions depend on: a prefix cache in a limited number of blocks, prefill
// that takes time for what is not cached, a batch with a limited number of
// slots that honours priorities, weight loads, late and missing cache events,
// and load reports that lag. Its answers are a function of the prompt, so that a
// test knows every byte of them beforehand.
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

// Config sets up an Engine.
type Config struct {
	// Name shows up in answers.
	Name string
	// Weights is the version of each model that is loaded at the start.
	Weights []engine.LoadedWeights
	// Slots is how many runs decode at once.
	Slots int
	// CacheBlocks is how many blocks the prefix cache holds.
	CacheBlocks int
	// PrefillTokensPerSecond is the prefill rate; 0 takes no time.
	PrefillTokensPerSecond float64
	// DecodeInterval is the time between chunks; 0 takes no time.
	DecodeInterval time.Duration
	// NoFirstDelay lets the first chunk come without the interval.
	NoFirstDelay bool
	// LoadTime is how long one load of weights takes when few load at once.
	LoadTime time.Duration
	// WeightStore is shared by the engines of a deployment; nil never slows.
	WeightStore *WeightStore
	// RunRetention is for how long a finished run can still be resumed.
	RunRetention time.Duration
	// Faults are there from the start.
	Faults Faults
}

// Faults says how the engine misbehaves.
type Faults struct {
	// BreakAfter closes the connection of every stream after so many chunks of
	// one connection; 0 never does.
	BreakAfter int `json:"break_after"`
	// BreakTimes bounds how often BreakAfter strikes; 0 leaves it unbounded.
	BreakTimes int `json:"break_times"`
	// RepeatEvery sends every n-th chunk twice.
	RepeatEvery int `json:"repeat_every"`
	// SwapEvery sends every n-th chunk after the one that follows it.
	SwapEvery int `json:"swap_every"`
	// MalformedResponse answers every run with bytes that are no answer.
	MalformedResponse bool `json:"rubbish"`
	// RejectStatus answers every run with this status.
	RejectStatus int `json:"refuse"`
	// NoResponse takes every run and never answers.
	NoResponse bool `json:"mute"`
	// DropRun takes a run, starts it, and closes the connection.
	DropRun bool `json:"drop_run"`
	// ForgetRuns makes every resume fail.
	ForgetRuns bool `json:"forget_runs"`
	// WrongWeights names another version in every answer.
	WrongWeights bool `json:"wrong_weights"`
	// DropEvery leaves out every n-th cache event.
	DropEvery int `json:"lose_events"`
	// ReportLag is the age of every load report.
	ReportLag time.Duration `json:"report_lag"`
	// Leaving announces that the engine is about to stop.
	Leaving bool `json:"leaving"`
}

// Engine is the stand-in.
type Engine struct {
	cfg         Config
	incarnation string
	slots       *gate
	prefill     *gate
	cache       *cache
	stores      *storebox.Client
	life        context.Context
	stop        context.CancelFunc

	mu       sync.Mutex
	faults   Faults
	broken   int
	runs     map[string]*run
	ledger   Ledger
	weights  map[string]string
	loading  map[string]string
	fence    int64
	queued   int
	instant  int // part of queued that is instant
	reports  []timedStatus
	sequence int64
}

type timedStatus struct {
	at     time.Time
	status engine.Status
}

// Ledger counts what the engine was asked to do; it is the proof of "at most
// once" and of "nothing new after leaving".
type Ledger struct {
	// Starts counts the starts of each run id.
	Starts map[string]int `json:"starts"`
	// Cancelled counts cancelled runs.
	Cancelled int `json:"cancelled"`
	// PrefilledTokens and CachedTokens count prompt work done and spared.
	PrefilledTokens int `json:"prefilled_tokens"`
	CachedTokens    int `json:"cached_tokens"`
	// WrongBlocks counts blocks of kept context that were not what their name
	// says; it must stay 0.
	WrongBlocks int `json:"wrong_blocks"`
	// AfterLeaving counts runs started after the engine announced its leaving.
	AfterLeaving int `json:"after_leaving"`
}

// Defaults of Config.
const (
	defaultSlots       = 16
	defaultCacheBlocks = 4096
	defaultKeepRuns    = time.Minute
)

// New makes an engine that runs until Close.
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
		slots:       newGate(cfg.Slots),
		prefill:     newGate(1),
		cache:       newCache(cfg.CacheBlocks),
		stores:      storebox.NewClient(storebox.ClientConfig{}),
		life:        life,
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

// Close ends all runs.
func (e *Engine) Close() { e.stop() }

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.broken = 0
}

// Ledger gives a copy of the counts.
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

// Incarnation names this life of the engine.
func (e *Engine) Incarnation() string { return e.incarnation }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// takeBreak reports whether a connection breaks now.
func (e *Engine) takeBreak(sent int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.BreakAfter == 0 || sent < e.faults.BreakAfter {
		return false
	}
	if e.faults.BreakTimes > 0 && e.broken >= e.faults.BreakTimes {
		return false
	}
	e.broken++
	return true
}

// run is one generation; it goes on without a connection.
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
	whole  []byte
	done   bool
	// grown is closed and replaced whenever chunks are added.
	grown chan struct{}
}

// start begins a run, or finds the one that has the id already.
func (e *Engine) start(r *run) {
	ctx, cancel := context.WithCancel(e.life)
	r.cancel = cancel
	r.grown = make(chan struct{})
	e.mu.Lock()
	e.ledger.Starts[r.id]++
	if e.faults.Leaving {
		e.ledger.AfterLeaving++
	}
	e.runs[r.id] = r
	e.queued += r.chain.Tokens()
	if r.priority <= engine.PriorityInstant {
		e.instant += r.chain.Tokens()
	}
	e.mu.Unlock()
	go r.loop(ctx, e)
}

func (e *Engine) find(id string) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.ForgetRuns {
		return nil, false
	}
	r, ok := e.runs[id]
	return r, ok
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.runs, id)
}

// loop takes the run through batch and prefill and decodes it.
func (r *run) loop(ctx context.Context, e *Engine) {
	defer time.AfterFunc(e.cfg.RunRetention, func() { e.forget(r.id) })
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
	cached = e.cache.use(r.chain.Keys()) * prefix.BlockTokens
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
		e.instant -= r.chain.Tokens()
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
	close(r.grown)
	r.grown = make(chan struct{})
}

func (r *run) finish(cached int) {
	whole := r.wholeAnswer(cached)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chunks = append(r.chunks, []byte("[DONE]"))
	r.whole = whole
	r.done = true
	close(r.grown)
	r.grown = make(chan struct{})
}

// from gives the chunks from an index on, whether they are all, and what to
// wait for when there are none.
func (r *run) from(index int) (chunks [][]byte, done bool, grown <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index < len(r.chunks) {
		chunks = r.chunks[index:]
	}
	return chunks, r.done, r.grown
}

// Cancel ends a run that nobody waits for.
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

// Word is the i-th word of the answer to a prompt: a function of both, so that
// tests can tell answers of different prompts apart.
func Word(prompt []byte, i int) string {
	seed := prefix.NewSalt(string(prompt), "", "").String()
	return seed[:6] + "-" + strconv.Itoa(i) + " "
}
