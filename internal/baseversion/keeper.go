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
	// readTimeout bounds a read, for a caller whose first try may end after a second.
	readTimeout = 500 * time.Millisecond
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// maxPause bounds the pause after a call that failed, which doubles: a refused call has its price too.
	maxPause = 8 * time.Second
	// forgetAfter is how long a service must have had no servers until its base version is dropped. The table is one
	// record, which must not grow with every service that there ever was.
	forgetAfter = time.Hour
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
	// read is what was read last. failedAt is when the last read failed, if it did, and failure why.
	read     Reading
	failedAt time.Time
	failure  error
	// knownSince has when this box first read the present record of each service.
	knownSince map[string]time.Time

	// The rest belongs to Loop.

	// originsEnd has where the stream of origins ended while each service had its base version alone.
	originsEnd map[string]int64
	// absentSince has since when this box has seen no servers of services in the table.
	absentSince map[string]time.Time
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
	return &Keeper{cfg: cfg, reading: make(chan struct{}, 1), knownSince: map[string]time.Time{}, originsEnd: map[string]int64{}, absentSince: map[string]time.Time{}}
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
	if err := k.recentFailure(); err != nil {
		return Reading{}, err
	}
	at := boottime.Now()
	reading, err := k.readLog(ctx, at)
	k.mu.Lock()
	k.failedAt, k.failure = boottime.Now(), err
	k.mu.Unlock()
	if err == nil {
		k.keep(reading)
	}
	return reading, err
}

// failureTime is how long the failure of a read is shared, so that those who ask while the log is away do not each
// wait for it.
const failureTime = 250 * time.Millisecond

// recentFailure returns why the last read failed, if that was a moment ago.
func (k *Keeper) recentFailure() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if boottime.Since(k.failedAt) < failureTime {
		return k.failure
	}
	return nil
}

// readLog reads the record.
func (k *Keeper) readLog(ctx context.Context, at time.Time) (Reading, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
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
	if err := k.readOriginsEnd(ctx, seen); err != nil {
		return err
	}
	last, known := k.recent(unlimited)
	if known {
		if _, changed := nextTable(last.Table, seen); len(changed) == 0 && len(k.obsolete(last.Table, seen)) == 0 {
			return nil
		}
	}
	reading, err := k.Read(ctx, 0)
	if err != nil {
		return err
	}
	seen = k.observe()
	if err := k.readOriginsEnd(ctx, seen); err != nil {
		return err
	}
	table, changed := nextTable(reading.Table, seen)
	obsolete := k.obsolete(reading.Table, seen)
	if len(changed) == 0 && len(obsolete) == 0 {
		return nil
	}
	for _, service := range obsolete {
		delete(table, service)
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
	if len(obsolete) > 0 {
		k.cfg.Logger.Info().Strs("services", obsolete).EmbedObject(logposition.Logged(position)).Msg("base_versions_dropped")
	}
	return nil
}

// obsolete returns the services in the table that have had no servers for forgetAfter. None has while the list of
// servers is out of date.
func (k *Keeper) obsolete(table Table, seen map[string]Observation) (services []string) {
	for service := range table {
		if len(seen) == 0 || len(seen[service].Remembered) > 0 {
			delete(k.absentSince, service)
			continue
		}
		since, isAbsent := k.absentSince[service]
		if !isAbsent {
			k.absentSince[service] = boottime.Now()
		}
		if isAbsent && boottime.Since(since) >= forgetAfter {
			services = append(services, service)
		}
	}
	return services
}

// readOriginsEnd reads where the stream of origins ends, once for each time in which a service has its base version
// alone.
func (k *Keeper) readOriginsEnd(ctx context.Context, seen map[string]Observation) error {
	last, _ := k.recent(unlimited)
	var alone []string
	for service, observation := range seen {
		switch _, isRead := k.originsEnd[service]; {
		case !observation.isAlone(last.Table[service]):
			delete(k.originsEnd, service)
		case !isRead:
			alone = append(alone, service)
		}
	}
	if len(alone) > 0 {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, end, err := k.cfg.Log.Bounds(call, sharedlog.Origins)
		if err != nil {
			return err
		}
		for _, service := range alone {
			k.originsEnd[service] = end
		}
	}
	for service, observation := range seen {
		observation.OriginsEnd = k.originsEnd[service]
		seen[service] = observation
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
			base.Since = boottime.TimeOfDay().Truncate(time.Millisecond) // as it will be read
			next[service], changed[service] = base, base
		}
	}
	return next, changed
}
