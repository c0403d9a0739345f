// Reading origins from the log, when a stream is resumed whose origin no box has in memory.

package originlog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// firstTail is the number of records that a read begins with: what one writer appends in the horizon. It
	// is multiplied by tailFactor until the records reach back far enough; maxTail is what the writers of
	// 2,000 boxes append.
	firstTail  = 600
	tailFactor = 4
	maxTail    = 16 * firstTail
	// minMargin and maxMargin bound the records that a read leaves out since the log may drop them before it
	// arrives: 10 a second for each writer.
	minMargin = 4
	maxMargin = firstTail
	// maxKnown bounds the origins that a reader holds, at some 100 bytes each; the oldest ones are dropped. At
	// 1,900 streams a second it is what began within half a minute.
	maxKnown = 65536
	// readTimeout bounds a call of the log.
	readTimeout = 700 * time.Millisecond
	// minReadInterval is the shortest time between two reads, so that the callers of many streams that broke
	// off together cause few.
	minReadInterval = 50 * time.Millisecond
	// unusedAfter is how long a reader that is not used keeps what it has read.
	unusedAfter = 2 * Horizon
)

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	Log    sharedlog.Log
	Logger zerolog.Logger
}

// Reader finds origins in the log. It reads on only when it is asked.
type Reader struct {
	cfg ReaderConfig

	// reading holds one element while a goroutine reads. It is a channel rather than a mutex, so that a context
	// ends the wait for it.
	reading chan struct{}

	mu sync.Mutex
	// next is the position of the next read, or unread. readAt is when the last read began that succeeded.
	next   int64
	readAt time.Time
	// triedAt is when the last read began, and failure why it failed.
	triedAt time.Time
	failure error
	known   map[Key]recordedOrigin
	// ambiguous has the known keys that have been recorded with several services or software versions.
	ambiguous map[Key]struct{}
	// order has the keys in the order of their records, once for each record.
	order []recordedKey
	// completeFrom is the position from which on all records have been read and are still held, and completeSince
	// when the first of them was appended, or when the read began if there was none.
	completeFrom  int64
	completeSince time.Time
	// versions is when the last origin of each software version was recorded, by service.
	versions map[string]map[string]time.Time
}

// recordedOrigin is an origin with the time of its last record.
type recordedOrigin struct {
	Origin
	at time.Time
}

// recordedKey is a key with the time of a record of it.
type recordedKey struct {
	Key
	at time.Time
}

// unread is the position of a reader that has read nothing yet.
const unread = -1

// NewReader returns a reader that has read nothing.
func NewReader(cfg ReaderConfig) *Reader {
	r := &Reader{cfg: cfg, reading: make(chan struct{}, 1)}
	r.reset()
	return r
}

// reset drops everything that has been read. The caller holds mu, or nobody else has the reader yet.
func (r *Reader) reset() {
	r.next, r.readAt = unread, time.Time{}
	r.known, r.ambiguous, r.order, r.versions = map[Key]recordedOrigin{}, map[Key]struct{}{}, nil, map[string]map[string]time.Time{}
}

// Result is the outcome of a search for the origin of a stream.
type Result struct {
	// Found is set if the log has an unambiguous origin of the stream. Service and Software are the service and the
	// version that began the stream then.
	Found    bool
	Service  string
	Software string
	// Ambiguous means that the key has been recorded with several services or software versions.
	Ambiguous bool
	// From is the position from which on the reader has all records, and CompleteFor how long ago the first of them
	// was appended. The log may have dropped earlier ones.
	From        int64
	CompleteFor time.Duration
	// Versions are the software versions of the requested service that began streams within the horizon.
	Versions []string
}

// Find looks for the origin of a stream, in all records up to now, and for the versions of a service. An error means
// that the log could not be read.
func (r *Reader) Find(ctx context.Context, key Key, service string) (Result, error) {
	return r.FindFirst(ctx, service, key)
}

// FindFirst is like Find for several keys: it returns the origin of the first one that has a record. The log is not
// read if that of the very first key is known.
func (r *Reader) FindFirst(ctx context.Context, service string, keys ...Key) (Result, error) {
	if result := r.lookUp(service, keys[0]); result.Found {
		return result, nil
	}
	if err := r.readToEnd(ctx); err != nil {
		return Result{}, err
	}
	return r.lookUp(service, keys...), nil
}

func (r *Reader) lookUp(service string, keys ...Key) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := Result{From: r.completeFrom, CompleteFor: boottime.TimeOfDay().Sub(r.completeSince)}
	for _, key := range keys {
		if origin, found := r.known[key]; found {
			_, result.Ambiguous = r.ambiguous[key]
			result.Found, result.Service, result.Software = !result.Ambiguous, origin.Service, origin.Software
			break
		}
	}
	since := boottime.TimeOfDay().Add(-Horizon)
	for software, last := range r.versions[service] {
		if last.After(since) {
			result.Versions = append(result.Versions, software)
		}
	}
	slices.Sort(result.Versions)
	return result
}

// readToEnd reads all records up to the current end. If another goroutine has tried that since the call, it returns the
// error of that read.
func (r *Reader) readToEnd(ctx context.Context) error {
	began := boottime.Now()
	select {
	case r.reading <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.reading }()
	r.mu.Lock()
	next, readAt, triedAt, failure := r.next, r.readAt, r.triedAt, r.failure
	r.mu.Unlock()
	if triedAt.After(began) {
		return failure
	}
	waiting.For(ctx, minReadInterval-boottime.Since(triedAt))
	at := boottime.Now()
	if next != unread && at.Sub(readAt) > unusedAfter {
		r.mu.Lock()
		r.reset()
		r.mu.Unlock()
		next = unread
	}
	err := r.readFrom(ctx, next)
	if err != nil && next != unread && isGone(err) {
		r.mu.Lock()
		r.next = unread // what is known stays: an origin is never changed
		r.mu.Unlock()
		err = r.readFrom(ctx, unread)
	}
	if err != nil {
		r.cfg.Logger.Warn().Str("error", err.Error()).Msg("stream_origins_not_read")
		if ctx.Err() != nil {
			return err // the search was given up, which says nothing about the log
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.triedAt, r.failure = at, err
	if err == nil {
		r.readAt = at
	}
	return err
}

// isGone reports whether the log no longer has the records at a position.
func isGone(err error) bool {
	_, expired := errors.AsType[*sharedlog.RecordsExpiredError](err)
	_, changed := errors.AsType[*sharedlog.HistoryChangedError](err)
	return expired || changed
}

// readFrom reads from a position to the end, or the last records within the horizon if nothing has been
// read yet.
func (r *Reader) readFrom(ctx context.Context, from int64) error {
	if from != unread {
		return r.readTo(ctx, from, func(time.Time) bool { return true })
	}
	first, end, err := r.bounds(ctx)
	if err != nil {
		return err
	}
	margin := int64(minMargin)
	for count := int64(firstTail); ; {
		from = max(first, end-count)
		r.startAt(from)
		reachesBack := from == first || count >= maxTail
		err := r.readTo(ctx, from, func(oldest time.Time) bool { return reachesBack || boottime.TimeOfDay().Sub(oldest) >= Horizon })
		expired, dropped := errors.AsType[*sharedlog.RecordsExpiredError](err)
		switch {
		case errors.Is(err, errTooRecent):
			count *= tailFactor
		case dropped && margin <= maxMargin:
			first = min(expired.First+margin, end)
			margin *= tailFactor
		default:
			return err
		}
	}
}

// startAt records the position at which the first read begins.
func (r *Reader) startAt(from int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completeFrom, r.completeSince = from, boottime.TimeOfDay()
}

// errTooRecent means that the first record read is not old enough.
var errTooRecent = merry.Sentinel("the first record is too recent")

// readTo reads all records from a position on, unless the first of them is not old enough.
func (r *Reader) readTo(ctx context.Context, from int64, isOldEnough func(oldest time.Time) bool) error {
	for first := true; ; first = false {
		page, err := r.read(ctx, from)
		if err != nil {
			return err
		}
		for i, record := range page.Records {
			origins, at, err := decode(record.Value)
			if err != nil {
				r.cfg.Logger.Error().EmbedObject(logposition.Logged(record.Offset)).Str("error", err.Error()).Msg("stream_origins_invalid")
				continue
			}
			if first && i == 0 && !isOldEnough(at) {
				return errTooRecent
			}
			r.add(origins, at)
		}
		from = page.Next
		r.mu.Lock()
		r.next = from
		r.mu.Unlock()
		if from >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}

func (r *Reader) read(ctx context.Context, from int64) (sharedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.cfg.Log.Read(ctx, sharedlog.Origins, from, 0)
}

func (r *Reader) bounds(ctx context.Context) (first, end int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.cfg.Log.Bounds(ctx, sharedlog.Origins)
}

// add adds the origins of a record.
func (r *Reader) add(origins []Origin, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.Before(r.completeSince) {
		r.completeSince = at
	}
	for _, origin := range origins {
		if before, known := r.known[origin.Key]; known && before.Origin != origin {
			r.ambiguous[origin.Key] = struct{}{}
		}
		r.known[origin.Key] = recordedOrigin{origin, at}
		r.order = append(r.order, recordedKey{origin.Key, at})
		versions := r.versions[origin.Service]
		if versions == nil {
			versions = map[string]time.Time{}
			r.versions[origin.Service] = versions
		}
		if at.After(versions[origin.Software]) {
			versions[origin.Software] = at
		}
	}
	r.dropExcess()
}

// dropExcess drops the least recently recorded keys above the bound. The caller holds mu.
func (r *Reader) dropExcess() {
	for len(r.order) > maxKnown {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.known[oldest.Key].at.After(oldest.at) {
			continue // it has been recorded again since
		}
		delete(r.known, oldest.Key)
		delete(r.ambiguous, oldest.Key)
		r.completeFrom, r.completeSince = r.next, oldest.at
	}
}
