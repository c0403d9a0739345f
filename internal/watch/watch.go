// Package watch polls the runners of the zone for their load reports and cache events and applies them
// to the zone's state (zone.View).
//
// Each runner is polled by its own goroutine, so that a runner that hangs does not delay the others.
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

// Config is the configuration of a Watcher.
type Config struct {
	Engines *engine.Client
	View    *zone.View
	Logger  zerolog.Logger
	// Interval is the polling interval of a runner.
	Interval time.Duration
}

// DefaultInterval is short enough to detect the departure of a runner well within the 3 s after which a
// runner gets no new requests.
const DefaultInterval = 500 * time.Millisecond

// Watcher polls runners.
type Watcher struct {
	cfg    Config
	mu     sync.Mutex
	stops  map[string]context.CancelFunc
	closed bool
	ended  sync.WaitGroup
}

// New creates a watcher; Configure starts the polling.
func New(cfg Config) *Watcher {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Watcher{cfg: cfg, stops: map[string]context.CancelFunc{}}
}

// Configure starts polling runners that were added to the configuration and stops polling those that were
// removed. After Close it does nothing.
func (w *Watcher) Configure(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	wanted := map[string]bool{}
	for _, runner := range w.cfg.View.Runners() {
		key := runner.Name + "@" + runner.Address
		wanted[key] = true
		if _, ok := w.stops[key]; ok {
			continue
		}
		runnerCtx, stop := context.WithCancel(ctx)
		w.stops[key] = stop
		poller := &runnerPoller{watcher: w, runner: runner}
		w.ended.Go(func() { poller.loop(runnerCtx) })
	}
	for key, stop := range w.stops {
		if !wanted[key] {
			stop()
			delete(w.stops, key)
		}
	}
}

// Close stops polling and waits until all goroutines have ended. A configuration may arrive while a box
// stops; it then starts no goroutine, because one that starts concurrently with the wait may be missed by
// it.
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

// runnerPoller polls one runner.
type runnerPoller struct {
	watcher     *Watcher
	runner      *config.BackendServer
	unreachable bool
}

func (r *runnerPoller) loop(ctx context.Context) {
	ticker := time.NewTicker(r.watcher.cfg.Interval)
	defer ticker.Stop()
	for {
		r.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *runnerPoller) poll(ctx context.Context) {
	cfg := r.watcher.cfg
	status, err := cfg.Engines.Status(ctx, r.runner.Address)
	if err != nil {
		r.noteFailure(ctx, err)
		return
	}
	if r.unreachable {
		r.unreachable = false
		cfg.Logger.Info().Str("server", r.runner.Name).Msg("runner_recovered")
	}
	cfg.View.ApplyStatus(r.runner.Name, status)
	if status.LastEvent == cfg.View.EventCursor(r.runner.Name) {
		return
	}
	events, err := cfg.Engines.CacheEvents(ctx, r.runner.Address, cfg.View.EventCursor(r.runner.Name))
	if err != nil {
		return // the next poll requests the same events again
	}
	cfg.View.ApplyCacheEvents(r.runner.Name, events)
}

func (r *runnerPoller) noteFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, context.Canceled) {
		return
	}
	r.watcher.cfg.View.NoteFailure(r.runner.Name)
	if !r.unreachable {
		r.unreachable = true
		r.watcher.cfg.Logger.Warn().Str("server", r.runner.Name).Str("error", err.Error()).Msg("runner_unreachable")
	}
}
