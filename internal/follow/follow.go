// Package follow maintains the configuration in force in an entry box.
//
// It reads the log's configuration stream, and adopts newer states from peers when the log cannot
// be reached or the box has just started. Versions only increase: a version with a lower offset
// never replaces one with a higher offset.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/ring"
)

// Config configures a Follower.
type Config struct {
	Log    logservice.Log
	Logger zerolog.Logger
	// PollWait is how long a read may wait at the log for a new record.
	PollWait time.Duration
	// RetryDelay is the delay after a failed call of the log.
	RetryDelay time.Duration
	// CheckpointEvery is the number of records without a checkpoint after which this box writes
	// one; CheckpointAfter is the time after which it does.
	CheckpointEvery int64
	CheckpointAfter time.Duration
	// OnChange is called with each new configuration, in order.
	OnChange func(*config.Snapshot)
}

// Defaults of Config.
const (
	DefaultPollWait        = 5 * time.Second
	DefaultRetryDelay      = 250 * time.Millisecond
	DefaultCheckpointEvery = 200
	DefaultCheckpointAfter = 2 * time.Hour
)

// Source is where a version came from.
type Source string

const (
	// SourceLog is the platform's log.
	SourceLog Source = "log"
	// SourcePeer is another entry box.
	SourcePeer Source = "peer"
)

// Follower maintains the configuration in force.
type Follower struct {
	cfg    Config
	reader *configlog.Reader
	offers *ring.Ring[configlog.State]

	mu            sync.Mutex
	state         configlog.State
	snapshot      *config.Snapshot
	source        Source
	inForceSince  time.Time
	logError      string
	reachableAt   time.Time
	recentChanges history
	interrupt     context.CancelFunc

	// checkpointOffset is the offset of the last checkpoint that was read or written, and
	// checkpointTime the time of that.
	checkpointOffset int64
	checkpointTime   time.Time
}

// offersCapacity bounds the queue of states that peers have offered.
const offersCapacity = 4

// New returns a follower without a version.
func New(cfg Config) *Follower {
	setDefault(&cfg.PollWait, DefaultPollWait)
	setDefault(&cfg.RetryDelay, DefaultRetryDelay)
	setDefault(&cfg.CheckpointEvery, DefaultCheckpointEvery)
	setDefault(&cfg.CheckpointAfter, DefaultCheckpointAfter)
	if cfg.OnChange == nil {
		cfg.OnChange = func(*config.Snapshot) {}
	}
	return &Follower{
		cfg: cfg, reader: configlog.NewReader(cfg.Log), state: configlog.EmptyState(), checkpointTime: time.Now(),
		offers: ring.New[configlog.State](ring.Config{Name: "config_offers", Capacity: offersCapacity}),
	}
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Loop follows the log until ctx ends.
func (f *Follower) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		f.takeOffers()
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.waitForOffer(ctx)
		}
	}
}

// poll reads new records of the log. A peer's offer interrupts it.
func (f *Follower) poll(ctx context.Context) error {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	wait := f.cfg.PollWait
	if f.reachableAt.IsZero() || f.logError != "" {
		wait = 0 // first check whether the log responds at all
	}
	f.mu.Unlock()
	atEnd, err := f.reader.Poll(pollCtx, wait, f.handleEvent)
	interrupted := pollCtx.Err() != nil
	f.recordPoll(err, interrupted)
	f.publish(SourceLog)
	if interrupted {
		return nil
	}
	if err == nil && atEnd {
		f.checkpoint(ctx)
	}
	return err
}

func (f *Follower) recordPoll(err error, interrupted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		f.logError = ""
		f.reachableAt = time.Now()
	case !interrupted:
		if f.logError == "" {
			f.cfg.Logger.Warn().Str("error", err.Error()).Msg("log_lost")
		}
		f.logError = err.Error()
	}
}

// handleEvent is called with each record that the reader has folded, and its verdict.
func (f *Follower) handleEvent(event configlog.Event) {
	if event.Record.Kind == configlog.KindCheckpoint {
		f.checkpointOffset, f.checkpointTime = event.Offset, time.Now()
		return
	}
	f.cfg.Logger.Info().Int64("offset", event.Offset).Stringer("verdict", event.Verdict).Str("apply", event.Record.ApplyID).Msg("config_record")
	if event.Verdict == configlog.Accepted {
		f.mu.Lock()
		f.recentChanges.add(event)
		f.mu.Unlock()
	}
}

// Offer queues the state of a peer. It never blocks and may drop the state: peers repeat their
// offers.
func (f *Follower) Offer(state configlog.State) {
	if !f.offers.TryPush(state) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

func (f *Follower) takeOffers() {
	for {
		select {
		case state := <-f.offers.Items():
			if f.reader.ApplySnapshot(state) {
				f.publish(SourcePeer)
			}
		default:
			return
		}
	}
}

func (f *Follower) waitForOffer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.RetryDelay)
	defer cancel()
	state, err := f.offers.Pop(ctx)
	if err == nil && f.reader.ApplySnapshot(state) {
		f.publish(SourcePeer)
	}
}

// publish puts the reader's version into force if it is newer. The version in force changes only
// here, and it never decreases. The version and its content change together, so that a call that
// arrives after the version was reported is served by it.
func (f *Follower) publish(source Source) {
	state, known := f.reader.State()
	before := f.State().Version
	if !known || state.Version < before || state.Version == config.NoVersion {
		return
	}
	if state.Version == before {
		f.setState(state)
		return
	}
	snapshot, err := config.NewSnapshot(state.Version, state.Entries)
	if err != nil {
		f.setState(state) // so that the error is logged only once
		f.cfg.Logger.Error().Int64("version", state.Version).Str("error", err.Error()).Msg("config_unreadable")
		return
	}
	f.mu.Lock()
	f.state, f.snapshot, f.source, f.inForceSince = state, snapshot, source, time.Now()
	f.mu.Unlock()
	f.cfg.Logger.Info().Int64("version", state.Version).Stringer("digest", state.Digest).Str("source", string(source)).Msg("config_in_force")
	f.cfg.OnChange(snapshot)
}

func (f *Follower) setState(state configlog.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
}

// checkpoint writes a checkpoint when the last one is too old. Several boxes may write the same one
// at the same moment; readers accept any of them.
func (f *Follower) checkpoint(ctx context.Context) {
	state, known := f.reader.State()
	if !known || state.Version == config.NoVersion {
		return
	}
	behind := state.ReadTo - f.checkpointOffset
	due := behind >= f.cfg.CheckpointEvery || time.Since(f.checkpointTime) >= f.cfg.CheckpointAfter
	if !due {
		return
	}
	f.checkpointOffset, f.checkpointTime = state.ReadTo, time.Now()
	if err := configlog.AppendCheckpoint(ctx, f.cfg.Log, state); err != nil {
		f.cfg.Logger.Warn().Str("error", err.Error()).Msg("checkpoint_failed")
	}
}

// Snapshot returns the configuration in force, or nil when there is none.
func (f *Follower) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// State returns the folded state in force.
func (f *Follower) State() configlog.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// LogReachable reports whether the log responded to the last call.
func (f *Follower) LogReachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logError == "" && !f.reachableAt.IsZero()
}

// Status is the section of a state dump that describes the configuration.
type Status struct {
	Version      int64  `json:"version"`
	Digest       string `json:"digest"`
	Source       Source `json:"source"`
	Age          string `json:"age"`
	ReadTo       int64  `json:"read_to"`
	LogReachable bool   `json:"log_reachable"`
	LogError     string `json:"log_error,omitempty"`
}

// Status describes the version in force.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := Status{
		Version: f.state.Version, Digest: f.state.Digest.String(), Source: f.source, ReadTo: f.state.ReadTo,
		LogReachable: f.logError == "" && !f.reachableAt.IsZero(), LogError: f.logError,
	}
	if !f.inForceSince.IsZero() {
		status.Age = time.Since(f.inForceSince).Round(time.Millisecond).String()
	}
	return status
}

// ErrNoConfiguration means that there is no version of the configuration.
var ErrNoConfiguration = merry.Sentinel("no version of the configuration is known")
