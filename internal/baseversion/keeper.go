// Reading the record on demand, and writing it at the box that is elected for it.

package baseversion

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// checkInterval is the time between two checks whether a base version changes. Each write takes at least as
	// long, so services that appear together share one.
	checkInterval = time.Second
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// maxPause bounds the pause after a call that failed, which doubles: a refused call has its price too.
	maxPause = 8 * time.Second
)

// Config configures a Keeper.
type Config struct {
	Log    sharedlog.Log
	Eras   *sharedlog.Eras
	Logger zerolog.Logger
	// Observe returns what this box knows of each service, without KnownFor, Era and EraSeenFor.
	Observe func() map[string]Observation
	// IsWriter reports whether this box is the one that writes. Boxes that disagree on it for a while do no harm,
	// since a write takes effect only if nobody else has written since the read.
	IsWriter func() bool
}

// Keeper reads and writes the base versions.
type Keeper struct {
	cfg Config
	// reading holds one element while a goroutine reads. It is no mutex, so that those who wait for it heed
	// their contexts.
	reading chan struct{}

	mu sync.Mutex
	// read is what was read last.
	read Reading
	// knownSince has when this box first read the present record of each service.
	knownSince map[string]time.Time
}

// Reading is the table as of a read of the log. The zero value has not been read.
type Reading struct {
	Table Table
	// At is when the read began.
	At time.Time
	// end is the position after the record.
	end int64
}

// New returns a keeper that has read nothing.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, reading: make(chan struct{}, 1), knownSince: map[string]time.Time{}}
}

// Read returns the base versions as the log has them, or as it had them maxAge ago at most.
func (k *Keeper) Read(ctx context.Context, maxAge time.Duration) (Reading, error) {
	if reading, recent := k.recent(maxAge); recent {
		return reading, nil
	}
	select {
	case k.reading <- struct{}{}:
	case <-ctx.Done():
		return Reading{}, ctx.Err()
	}
	defer func() { <-k.reading }()
	if reading, recent := k.recent(maxAge); recent {
		return reading, nil
	}
	at := boottime.Now()
	page, err := sharedlog.Newest(ctx, k.cfg.Log, sharedlog.BaseVersions)
	if err != nil {
		return Reading{}, err
	}
	reading := Reading{Table: Table{}, At: at, end: page.End}
	for _, record := range page.Records {
		if record.Key != recordKey {
			continue
		}
		if reading.Table, err = Decode(record.Value); err != nil {
			k.cfg.Logger.Error().EmbedObject(logposition.Logged(record.Offset)).Str("error", err.Error()).Msg("base_versions_invalid")
			return Reading{}, err
		}
	}
	k.keep(reading)
	return reading, nil
}

// recent returns what was read last, unless it is older than maxAge.
func (k *Keeper) recent(maxAge time.Duration) (Reading, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.read, !k.read.At.IsZero() && boottime.Since(k.read.At) <= maxAge
}

// keep keeps what was read.
func (k *Keeper) keep(reading Reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, base := range reading.Table {
		if known, there := k.read.Table[service]; !there || known != base {
			k.knownSince[service] = reading.At
		}
	}
	k.read = reading
}

// Loop writes while this box is the writer, until ctx ends.
func (k *Keeper) Loop(ctx context.Context) {
	pause := checkInterval
	for ctx.Err() == nil {
		waiting.For(ctx, pause)
		if !k.cfg.IsWriter() {
			continue
		}
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.cfg.Logger.Warn().Str("error", err.Error()).Msg("base_versions_not_written")
			pause = min(2*pause, maxPause)
			continue
		}
		pause = checkInterval
	}
}

// step writes the base versions if any of them changes. Nothing is read while they stay.
func (k *Keeper) step(ctx context.Context) error {
	seen := k.observe()
	last, known := k.recent(unlimited)
	if known {
		if _, changed := nextTable(last.Table, seen); len(changed) == 0 {
			return nil
		}
	}
	reading, err := k.Read(ctx, 0)
	if err != nil {
		return err
	}
	table, changed := nextTable(reading.Table, k.observe())
	if len(changed) == 0 {
		return nil
	}
	value, err := Encode(table)
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	position, err := k.cfg.Log.Append(call, sharedlog.BaseVersions, reading.end, sharedlog.Record{Key: recordKey, Value: value})
	if errors.Is(err, sharedlog.ErrConflict) {
		k.forget() // another box has written
		return nil
	}
	if err != nil {
		k.forget()
		return err
	}
	k.keep(Reading{Table: table, At: boottime.Now(), end: position + 1})
	for service, base := range changed {
		k.cfg.Logger.Info().Str("service", service).Str("software", base.Version).Bool("present", base.Present).EmbedObject(logposition.Logged(position)).Msg("base_version_changed")
	}
	return nil
}

// unlimited is the age of a reading that is never too old.
const unlimited = 1 << 62

// forget makes the next step read the log.
func (k *Keeper) forget() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read.At = time.Time{}
}

// observe returns what this box knows of each service.
func (k *Keeper) observe() map[string]Observation {
	era, eraSeenAt := k.cfg.Eras.Newest()
	seen := k.cfg.Observe()
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, observation := range seen {
		observation.Era, observation.EraSeenFor = era, observation.ObservedFor
		if era > 0 {
			observation.EraSeenFor = boottime.Since(eraSeenAt)
		}
		if since, known := k.knownSince[service]; known {
			observation.KnownFor = boottime.Since(since)
		}
		seen[service] = observation
	}
	return seen
}

// nextTable returns the table that follows, and the base versions that change.
func nextTable(present Table, seen map[string]Observation) (next, changed Table) {
	next, changed = maps.Clone(present), Table{}
	for service, observation := range seen {
		var current *Base
		if base, there := present[service]; there {
			current = &base
		}
		if base, changes := Next(current, observation); changes {
			base.Since = boottime.TimeOfDay()
			next[service], changed[service] = base, base
		}
	}
	return next, changed
}
