// Counting calls of the log: each has a price, also one that is refused.

package sharedlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/telemetry"
)

// Measured is a Log that counts its calls by kind, stream and end, and measures how
// long those that are not held take.
type Measured struct {
	log   Log
	scope tally.Scope

	mu     sync.Mutex
	counts map[string]int
}

// NewMeasured wraps a log.
func NewMeasured(log Log, scope tally.Scope) *Measured {
	return &Measured{log: log, scope: scope, counts: map[string]int{}}
}

// TakeCounts gives the calls since the last time by stream, kind and end, such as
// "servers/read/done", and begins anew.
func (m *Measured) TakeCounts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	m.counts = map[string]int{}
	return counts
}

// Newest implements Log.
func (m *Measured) Newest(ctx context.Context, stream Stream) (Page, error) {
	began := boottime.Now()
	page, err := m.log.Newest(ctx, stream)
	m.note("newest", stream, began, err)
	return page, err
}

// Read implements Log.
func (m *Measured) Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error) {
	began := boottime.Now()
	page, err := m.log.Read(ctx, stream, from, wait)
	kind := "read"
	if wait > 0 {
		kind = "held_read"
	}
	m.note(kind, stream, began, err)
	return page, err
}

// Append implements Log.
func (m *Measured) Append(ctx context.Context, stream Stream, end int64, record Record) (int64, error) {
	began := boottime.Now()
	offset, err := m.log.Append(ctx, stream, end, record)
	m.note("append", stream, began, err)
	return offset, err
}

func (m *Measured) note(kind string, stream Stream, began time.Time, err error) {
	end := endOf(err)
	m.mu.Lock()
	m.counts[stream.String()+"/"+kind+"/"+end]++
	m.mu.Unlock()
	scope := m.scope.Tagged(map[string]string{"kind": kind, "stream": stream.String(), "end": end})
	scope.Counter("log_calls").Inc(1)
	if kind != "held_read" {
		scope.Histogram("log_call_seconds", telemetry.LatencyBuckets()).RecordDuration(boottime.Since(began))
	}
}

// endOf names what became of a call.
func endOf(err error) string {
	if _, gone := errors.AsType[*RecordsExpiredError](err); gone {
		return "expired"
	}
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "unknown"
	}
}
