// Metrics of the calls of the log: each call has a price, even if it is refused.

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

// Measured is a Log that counts its calls by kind, stream and outcome, and measures the latency of
// those that are not long polls.
type Measured struct {
	log   Log
	scope tally.Scope
	eras  Eras
	// outages records the outcome of each call.
	outages Outages

	mu     sync.Mutex
	counts map[string]int
}

// NewMeasured wraps a log.
func NewMeasured(log Log, scope tally.Scope) *Measured {
	return &Measured{log: log, scope: scope, counts: map[string]int{}}
}

// Eras returns the eras of the responses.
func (m *Measured) Eras() *Eras { return &m.eras }

// Outages returns the outages that the calls have shown.
func (m *Measured) Outages() *Outages { return &m.outages }

// TakeCounts returns the calls since its last call by stream, kind and outcome, such as
// "servers/read/done", and resets the counts.
func (m *Measured) TakeCounts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	m.counts = map[string]int{}
	return counts
}

// NewestPage implements Log.
func (m *Measured) NewestPage(ctx context.Context, stream Stream, after string) (Page, error) {
	began := boottime.Now()
	page, err := m.log.NewestPage(ctx, stream, after)
	m.noteEra(page.End, err)
	m.recordCall(ctx, "newest", stream, began, err)
	return page, err
}

// Read implements Log.
func (m *Measured) Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Page, error) {
	began := boottime.Now()
	page, err := m.log.Read(ctx, stream, from, wait)
	m.noteEra(page.End, err)
	kind := "read"
	if wait > 0 {
		kind = "held_read"
	}
	m.recordCall(ctx, kind, stream, began, err)
	return page, err
}

// Bounds implements Log.
func (m *Measured) Bounds(ctx context.Context, stream Stream) (first, end int64, err error) {
	began := boottime.Now()
	first, end, err = m.log.Bounds(ctx, stream)
	m.noteEra(end, err)
	m.recordCall(ctx, "bounds", stream, began, err)
	return first, end, err
}

// Append implements Log.
func (m *Measured) Append(ctx context.Context, stream Stream, end int64, record Record) (int64, error) {
	began := boottime.Now()
	offset, err := m.log.Append(ctx, stream, end, record)
	m.noteEra(offset, err)
	m.recordCall(ctx, "append", stream, began, err)
	return offset, err
}

// noteEra records the era of a response.
func (m *Measured) noteEra(position int64, err error) {
	if restored, ok := errors.AsType[*HistoryChangedError](err); ok {
		position = restored.Start
	} else if err != nil {
		return
	}
	m.eras.Note(position)
}

func (m *Measured) recordCall(ctx context.Context, kind string, stream Stream, began time.Time, err error) {
	outcome := outcomeOf(err)
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) { // a call that this box ends says nothing about the log
		m.outages.record(outcome)
	}
	m.mu.Lock()
	m.counts[stream.String()+"/"+kind+"/"+outcome]++
	m.mu.Unlock()
	scope := m.scope.Tagged(map[string]string{"kind": kind, "stream": stream.String(), "end": outcome})
	scope.Counter("log_calls").Inc(1)
	if kind != "held_read" {
		scope.Histogram("log_call_seconds", telemetry.LatencyBuckets()).RecordDuration(boottime.Since(began))
	}
}

// Outcomes of failed calls: the log refused the call, or may or may not have performed it.
const (
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
)

// outcomeOf returns the metrics' name for the outcome of a call.
func outcomeOf(err error) string {
	if _, expired := errors.AsType[*RecordsExpiredError](err); expired {
		return "expired"
	}
	if _, restored := errors.AsType[*HistoryChangedError](err); restored {
		return "restored"
	}
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrRefused):
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}
