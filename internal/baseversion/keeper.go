// Reading the record on demand.

package baseversion

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const (
	// checkInterval is the time between two checks whether a base version changes. Services that appear within it
	// share one write.
	checkInterval = time.Second
	// readTimeout bounds a read. A caller may give up its first try after a second.
	readTimeout = 500 * time.Millisecond
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// originsInterval is the time between two reads of the end of the stream of origins. Logs keep records for 20 s
	// or longer, so RecordsFrom moves past a record before the log drops it.
	originsInterval = 10 * time.Second
	// maxPause bounds the exponential backoff after failed calls: the log charges for those that it refuses, too.
	maxPause = 8 * time.Second
	// dropAfter is how long a service must have had no servers until its base version is dropped: the table is a
	// single record, and would otherwise grow with every service that ever existed.
	dropAfter = time.Hour
)

// Config configures a Keeper.
type Config struct {
	Log    sharedlog.Log
	Eras   *sharedlog.Eras
	Logger zerolog.Logger
	// Observe returns this box's observation of each service, without KnownFor, Era, EraSeenFor and OriginsEnd. It
	// returns none while the list of servers is out of date.
	Observe func() map[string]Observation
	// IsWriter reports whether this box is elected to write. Two writers at a time do no harm: an append takes
	// effect only if the log has no record that its writer has not read (optimistic concurrency).
	IsWriter func() bool
}

// Keeper reads and writes the base versions.
type Keeper struct {
	cfg Config
	// reading holds one element while a goroutine reads. It is a channel rather than a mutex, so that a context ends
	// the wait for it.
	reading chan struct{}

	mu sync.Mutex
	// read is the result of the last successful read. failure is the error of the last read, which ended at
	// failedAt; nil if it succeeded.
	read     Reading
	failedAt time.Time
	failure  error
	// knownSince is when this box first read the current base version of each service.
	knownSince map[string]time.Time

	// The remaining fields are used by Loop alone.

	// originsEnd is the end of the stream of origins, as of originsReadAt, for services that had only their base
	// versions then.
	originsEnd    map[string]int64
	originsReadAt time.Time
	// absentSince is the time since which services in the table have had no servers.
	absentSince map[string]time.Time
}

// Reading is the result of a read of the log. Its zero value stands for none.
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

// Read returns the base versions as the log had them at most maxAge ago. Concurrent callers share a read, and its
// failure for failureCacheTime.
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
	if err != nil && ctx.Err() != nil {
		return Reading{}, err // the caller gave up, which says nothing about the log
	}
	k.mu.Lock()
	k.failedAt, k.failure = boottime.Now(), err
	k.mu.Unlock()
	if err == nil {
		k.store(reading)
	}
	return reading, err
}

// failureCacheTime is how long the failure of a read is returned to further callers, so that they do not each wait for
// an unavailable log.
const failureCacheTime = 250 * time.Millisecond

// recentFailure returns the error of the last read if that failed less than failureCacheTime ago.
func (k *Keeper) recentFailure() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if boottime.Since(k.failedAt) < failureCacheTime {
		return k.failure
	}
	return nil
}

// readLog reads the record, for a read that began at a time. Without a record the table is empty.
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

// recent returns the last reading; found is false if there is none or it is older than maxAge.
func (k *Keeper) recent(maxAge time.Duration) (last Reading, found bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.read, !k.read.At.IsZero() && boottime.Since(k.read.At) <= maxAge
}

// store replaces the last reading.
func (k *Keeper) store(reading Reading) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, base := range reading.Table {
		if known, there := k.read.Table[service]; !there || !known.isSameBase(base) {
			k.knownSince[service] = reading.At
		}
	}
	k.read = reading
}
