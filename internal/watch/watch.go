// Package watch looks after the runners of the zone: it asks each for its load
// report and its cache events, and folds them into what is known of the zone.
//
// Each runner has a goroutine of its own, so that one that hangs delays nobody.
package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/zone"
)

// Config sets up a Watcher.
type Config struct {
	Engines   *engine.Client
	Knowledge *zone.View
	Logger    zerolog.Logger
	// Interval is the time between two looks at a runner.
	Interval time.Duration
}

// DefaultInterval is short enough for a leaving runner to be noticed well
// within the 3 s after which it gets no new work.
const DefaultInterval = 500 * time.Millisecond

// Watcher looks after runners.
type Watcher struct {
	cfg    Config
	mu     sync.Mutex
	stops  map[string]context.CancelFunc
	closed bool
	ended  sync.WaitGroup
}

// New makes a watcher that looks after no runner yet.
func New(cfg Config) *Watcher {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Watcher{cfg: cfg, stops: map[string]context.CancelFunc{}}
}

// Configure begins to look after the runners that are known now, and stops with
// those that are gone. After Close it does nothing.
func (w *Watcher) Configure(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	wanted := map[string]bool{}
	for _, runner := range w.cfg.Knowledge.Runners() {
		key := runner.Name + "@" + runner.Address
		wanted[key] = true
		if _, ok := w.stops[key]; ok {
			continue
		}
		runnerCtx, stop := context.WithCancel(ctx)
		w.stops[key] = stop
		look := &runnerWatch{watcher: w, runner: runner}
		w.ended.Go(func() { look.loop(runnerCtx) })
	}
	for key, stop := range w.stops {
		if !wanted[key] {
			stop()
			delete(w.stops, key)
		}
	}
}

// Close stops looking after all runners and waits until their goroutines have
// ended. A configuration may arrive while a box stops: what it would begin is not
// begun, since a goroutine that starts beside the waiting may be missed by it.
func (w *Watcher) Close() {
	w.mu.Lock()
	w.closed = true
	for key, stop := range w.stops {
		stop()
		delete(w.stops, key)
	}
	w.mu.Unlock()
	w.ended.Wait()
}

// runnerWatch looks after one runner.
type runnerWatch struct {
	watcher *Watcher
	runner  *config.BackendServer
	lost    bool
}

func (r *runnerWatch) loop(ctx context.Context) {
	ticker := time.NewTicker(r.watcher.cfg.Interval)
	defer ticker.Stop()
	for {
		r.look(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runnerWatch) look(ctx context.Context) {
	cfg := r.watcher.cfg
	status, err := cfg.Engines.Status(ctx, r.runner.Address)
	if err != nil {
		r.noteLost(ctx, err)
		return
	}
	if r.lost {
		r.lost = false
		cfg.Logger.Info().Str("server", r.runner.Name).Msg("runner_back")
	}
	cfg.Knowledge.ApplyStatus(r.runner.Name, status)
	if status.LastEvent == cfg.Knowledge.EventCursor(r.runner.Name) {
		return
	}
	events, err := cfg.Engines.CacheEvents(ctx, r.runner.Address, cfg.Knowledge.EventCursor(r.runner.Name))
	if err != nil {
		return // the next look asks again from the same place
	}
	cfg.Knowledge.ApplyCacheEvents(r.runner.Name, events)
}

func (r *runnerWatch) noteLost(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	r.watcher.cfg.Knowledge.NoteFailure(r.runner.Name)
	if !r.lost {
		r.lost = true
		r.watcher.cfg.Logger.Warn().Str("server", r.runner.Name).Str("error", err.Error()).Msg("runner_lost")
	}
}
