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
	// checkInterval is the time between two checks whether a base version changes. Each write takes at least as
	// long, so services that appear together share one.
	checkInterval = time.Second
	// readTimeout bounds a read, for a caller whose first try may end after a second.
	readTimeout = 500 * time.Millisecond
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// originsInterval is how old the end of the stream of origins may be. The shortest history of a log is 20 s, so
	// records are noted before it drops them.
	originsInterval = 10 * time.Second
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

	// originsEnd has where the stream of origins ended while each service had its base version alone, as of
	// originsReadAt.
	originsEnd    map[string]int64
	originsReadAt time.Time
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
	if err != nil && ctx.Err() != nil {
		return Reading{}, err // the caller gave up, which says nothing about the log
	}
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
		if known, there := k.read.Table[service]; !there || !known.isSameBase(base) {
			k.knownSince[service] = reading.At
		}
	}
	k.read = reading
}
