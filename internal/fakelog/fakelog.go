// Package fakelog simulates the platform's append-only log.
//
// It stores streams in memory and serves them in process or over HTTP. On request
// it injects the known failures of the platform: it is down, it is slow, the
// response is lost after the write took effect, or records expire.
package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Faults are the faults that the log injects.
type Faults struct {
	// Down rejects every call before it has any effect.
	Down bool `json:"down"`
	// LoseResponses is the number of next appends that take effect but whose
	// response is lost.
	LoseResponses int `json:"lose_answers"`
	// LateAppends is the number of next appends whose response is lost and that
	// take effect only after Delay.
	LateAppends int `json:"late_appends"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
}

// Log is a simulated log. It implements logservice.Log.
type Log struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int64
	// restores is how often the log was restored from a copy.
	restores int64
}

type stream struct {
	earliest int64
	records  []logservice.Record
	// changed is closed and replaced at every append.
	changed chan struct{}
}

// pageLimit is the maximum number of records in the response to a read without a
// limit.
const pageLimit = 1000

// New returns an empty log.
func New() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Appends returns the number of records appended so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops the records of a stream before an offset.
func (l *Log) Expire(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	count := min(max(before-s.earliest, 0), int64(len(s.records)))
	s.records = s.records[count:]
	s.earliest += count
}

// ExpireOlder drops the records of all streams that are older than age.
func (l *Log) ExpireOlder(age time.Duration) {
	limit := time.Now().Add(-age)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.streams {
		for len(s.records) > 0 && s.records[0].Time.Before(limit) {
			s.records = s.records[1:]
			s.earliest++
		}
	}
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// AnyEnd makes AppendAt append unconditionally.
const AnyEnd = -1

// ErrEndMoved is returned when a stream does not end at the offset that an append
// expects.
var ErrEndMoved = merry.Sentinel("the stream does not end there")

// Append implements logservice.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	return l.AppendAt(ctx, name, AnyEnd, data)
}

// Insert appends a record in spite of all faults.
func (l *Log) Insert(name string, data []byte) {
	_, _ = l.appendNow(name, AnyEnd, data) // fails only at another end than AnyEnd
}

// AppendAt appends a record only if the stream ends at the offset end. A late append
// checks this when it takes effect.
func (l *Log) AppendAt(ctx context.Context, name string, end int64, data []byte) (int64, error) {
	faults := l.consumeFaults()
	if faults.Down {
		return 0, logservice.ErrNotAppended
	}
	if faults.LateAppends > 0 {
		copied := append([]byte(nil), data...)
		time.AfterFunc(faults.Delay, func() { _, _ = l.appendNow(name, end, copied) }) // the caller has already got an ambiguous result
		return 0, logservice.ErrAmbiguous
	}
	if err := wait(ctx, faults.Delay); err != nil {
		return 0, logservice.ErrAmbiguous
	}
	offset, err := l.appendNow(name, end, append([]byte(nil), data...))
	if err != nil {
		return 0, err
	}
	if faults.LoseResponses > 0 {
		return 0, logservice.ErrAmbiguous
	}
	return offset, nil
}

// consumeFaults returns the faults for one append and decrements the counter of the
// fault that applies.
func (l *Log) consumeFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults := l.faults
	if l.faults.LateAppends > 0 {
		l.faults.LateAppends--
		return faults
	}
	if l.faults.LoseResponses > 0 {
		l.faults.LoseResponses--
	}
	return faults
}

func (l *Log) appendNow(name string, end int64, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.earliest + int64(len(s.records))
	if end != AnyEnd && end != offset {
		return 0, ErrEndMoved
	}
	s.records = append(s.records, logservice.Record{Offset: offset, Time: time.Now(), Data: data})
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	return offset, nil
}

// Read implements logservice.Log.
func (l *Log) Read(ctx context.Context, name string, opts logservice.ReadOptions) (logservice.Page, error) {
	deadline := time.Now().Add(opts.Wait)
	restores := l.Restores()
	for {
		page, changed, err := l.readNow(name, opts)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		if l.Restores() != restores {
			return logservice.Page{}, logservice.ErrUnavailable
		}
		left := time.Until(deadline)
		if left <= 0 {
			return page, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return logservice.Page{}, logservice.ErrUnavailable
		}
	}
}

func (l *Log) readNow(name string, opts logservice.ReadOptions) (logservice.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return logservice.Page{}, nil, logservice.ErrUnavailable
	}
	s := l.stream(name)
	end := s.earliest + int64(len(s.records))
	if opts.From < s.earliest || opts.From > end && l.restores > 0 {
		return logservice.Page{}, nil, &logservice.ExpiredError{Earliest: s.earliest}
	}
	limit := opts.Limit
	if limit <= 0 {
		limit = pageLimit
	}
	first := min(opts.From-s.earliest, int64(len(s.records)))
	last := min(first+int64(limit), int64(len(s.records)))
	page := logservice.Page{
		Records:  append([]logservice.Record(nil), s.records[first:last]...),
		Earliest: s.earliest,
		Next:     end,
	}
	return page, s.changed, nil
}

func wait(ctx context.Context, delay time.Duration) error {
	if !waiting.For(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
