// Appending origins to the log.

package originlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// appendInterval is the shortest time between the starts of two appends of a writer. The origin of a stream that
	// breaks off sooner after its first event may be lost, unless that event waits for the record.
	appendInterval = 100 * time.Millisecond
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// minFailurePause and maxFailurePause bound the exponential backoff after failed appends: the log charges
	// for calls that it refuses, too.
	minFailurePause = 250 * time.Millisecond
	maxFailurePause = 2 * time.Second
	// markInterval bounds the time between two records, and so how much younger the oldest record in the log may be
	// than the log's retention. It is less than that retention exceeds the age of the records that readers need.
	markInterval = 4 * time.Second
	// markCheckInterval is the time between two checks whether it is this box that marks.
	markCheckInterval = time.Second
	// maxUnrecorded bounds the origins that wait, at some 100 bytes each; the oldest ones are dropped.
	maxUnrecorded = 32768
	// failingAfter is how long appends fail before other boxes should use another writer.
	failingAfter = 500 * time.Millisecond
)

// WriterConfig configures a Writer.
type WriterConfig struct {
	Log    sharedlog.Log
	Logger zerolog.Logger
	// IsMarker reports whether this box appends a record without origins if it has appended none for markInterval; nil
	// means that it does not. Readers derive from the oldest record that the log has kept how far back they are
	// complete.
	IsMarker func() bool
}

// Writer appends origins to the log.
type Writer struct {
	cfg WriterConfig

	mu         sync.Mutex
	unrecorded []Origin
	// pending are the origins that are unrecorded or being appended. While no recorder works, boxes send the same
	// origins again.
	pending map[Origin]struct{}
	// failingSince is when the first of the appends failed that have failed since the last successful one;
	// zero if the last one succeeded.
	failingSince time.Time
	// triedAt is when the last append ended.
	triedAt time.Time
	// dropped counts the origins that were dropped without a record.
	dropped int
	wake    waiting.Signal
	// appended is signalled after each append.
	appended waiting.Signal
}

// NewWriter returns a writer without origins.
func NewWriter(cfg WriterConfig) *Writer { return &Writer{cfg: cfg, pending: map[Origin]struct{}{}} }

// Add adds origins to those to append. It returns false if appends have failed for failingAfter, so that
// another box should append them; this box still appends them later.
func (w *Writer) Add(origins []Origin) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.add(origins)
}

// add is Add for callers that hold mu.
func (w *Writer) add(origins []Origin) bool {
	for _, origin := range origins {
		if _, pending := w.pending[origin]; !pending {
			w.pending[origin] = struct{}{}
			w.unrecorded = append(w.unrecorded, origin)
		}
	}
	w.dropExcess()
	w.wake.Broadcast()
	return !w.isFailing()
}

// Await adds origins, waits until they have been appended, and reports whether they have been. It returns false at once
// if appends have failed for failingAfter; the origins are still appended later.
func (w *Writer) Await(ctx context.Context, origins []Origin) bool {
	w.mu.Lock()
	dropped := w.dropped
	isWriting := w.add(origins)
	w.mu.Unlock()
	if !isWriting {
		return false
	}
	for ctx.Err() == nil {
		appended := w.appended.Chan()
		w.mu.Lock()
		isPending := slices.ContainsFunc(origins, w.isPending)
		isLost := w.dropped != dropped || isPending && w.isFailing()
		w.mu.Unlock()
		if isLost || !isPending {
			return !isLost
		}
		select {
		case <-appended:
		case <-ctx.Done():
		}
	}
	return false
}

// isPending reports whether an origin is yet to be appended. The caller holds mu.
func (w *Writer) isPending(origin Origin) bool {
	_, pending := w.pending[origin]
	return pending
}

// isFailing reports whether appends have failed for failingAfter. The caller holds mu.
func (w *Writer) isFailing() bool {
	return !w.failingSince.IsZero() && boottime.Since(w.failingSince) >= failingAfter
}

// dropExcess drops the oldest origins above the bound. The caller holds mu.
func (w *Writer) dropExcess() {
	if excess := len(w.unrecorded) - maxUnrecorded; excess > 0 {
		w.removePending(w.unrecorded[:excess])
		w.dropped += excess
		w.unrecorded = w.unrecorded[excess:]
	}
}

// removePending removes origins from the pending ones, so that they may be added again. The caller holds mu.
func (w *Writer) removePending(origins []Origin) {
	for _, origin := range origins {
		delete(w.pending, origin)
	}
}

// Loop appends origins until ctx ends.
func (w *Writer) Loop(ctx context.Context) {
	pause := minFailurePause
	for ctx.Err() == nil {
		wake := w.wake.Chan()
		batch := w.takeBatch()
		began := boottime.Now()
		switch {
		case len(batch) == 0:
			waiting.ForOrSignal(ctx, markCheckInterval, wake)
			w.mark(ctx)
		case w.append(ctx, batch):
			pause = minFailurePause
			waiting.For(ctx, appendInterval-boottime.Since(began))
		default:
			waiting.For(ctx, pause)
			pause = min(2*pause, maxFailurePause)
		}
	}
}

// mark appends a record without origins if none has been appended for markInterval.
func (w *Writer) mark(ctx context.Context) {
	w.mu.Lock()
	isDue := len(w.unrecorded) == 0 && boottime.Since(w.triedAt) >= markInterval
	w.mu.Unlock()
	if isDue && w.cfg.IsMarker != nil && w.cfg.IsMarker() {
		w.append(ctx, nil)
	}
}

// takeBatch removes and returns the origins of the next record.
func (w *Writer) takeBatch() []Origin {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := min(len(w.unrecorded), maxPerRecord)
	batch := w.unrecorded[:count:count]
	w.unrecorded = w.unrecorded[count:]
	if len(w.unrecorded) == 0 {
		w.unrecorded = nil // frees the array, whose used part only moves forward
	}
	return batch
}

// append appends a record, and reports whether that succeeded. Origins whose append failed are appended again, which
// is idempotent.
func (w *Writer) append(ctx context.Context, batch []Origin) bool {
	value, err := encode(batch, boottime.TimeOfDay())
	if err == nil {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err = w.cfg.Log.Append(call, sharedlog.Origins, sharedlog.AnyEnd, sharedlog.Record{Value: value})
	}
	defer w.appended.Broadcast()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.triedAt = boottime.Now()
	if err == nil {
		w.failingSince = time.Time{}
		w.removePending(batch)
		return true
	}
	if w.failingSince.IsZero() {
		if len(batch) > 0 { // a mark is not tried again for a while, in which the log may be back
			w.failingSince = boottime.Now()
		}
		w.cfg.Logger.Warn().Int("origins", len(batch)).Str("error", err.Error()).Msg("stream_origins_not_recorded")
	}
	w.unrecorded = append(batch, w.unrecorded...)
	w.dropExcess()
	return false
}
