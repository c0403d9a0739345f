// Package fakelog stands in for the platform's append-only log.
//
// It keeps streams in memory, serves them in process or over HTTP, and fails on
// request in the ways the platform is known to fail: it is down, it is slow,
// its answer is lost after the write took effect, its records expire.
package fakelog

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Faults says how the log misbehaves from now on.
type Faults struct {
	// Down refuses every call before it has any effect.
	Down bool `json:"down"`
	// LoseResponses is how many coming appends take effect without an answer.
	LoseResponses int `json:"lose_answers"`
	// LateAppends is how many coming appends get no answer and take effect
	// only after Delay.
	LateAppends int `json:"late_appends"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
}

// Log is the stand-in; it implements logservice.Log.
type Log struct {
	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	appends int64
}

type stream struct {
	earliest int64
	records  []logservice.Record
	// grown is closed and replaced at every append.
	grown chan struct{}
}

// pageLimit is the number of records in an answer to a read without a limit.
const pageLimit = 1000

// New makes an empty log.
func New() *Log { return &Log{streams: map[string]*stream{}} }

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Appends counts the records taken so far.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops the records of a stream that lie before an offset.
func (l *Log) Expire(name string, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	drop := min(max(before-s.earliest, 0), int64(len(s.records)))
	s.records = s.records[drop:]
	s.earliest += drop
}

// ExpireOlder drops the records of all streams that are older than an age.
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
		s = &stream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// AnyEnd appends wherever the stream ends.
const AnyEnd = -1

// ErrEndMoved says that a stream does not end where an append expected.
var ErrEndMoved = merry.Sentinel("the stream does not end there")

// Append implements logservice.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (int64, error) {
	return l.AppendAt(ctx, name, AnyEnd, data)
}

// AppendAt adds a record only if the stream ends at an offset. An append that takes
// effect late does so only if that still holds then.
func (l *Log) AppendAt(ctx context.Context, name string, end int64, data []byte) (int64, error) {
	faults := l.takeFaults()
	if faults.Down {
		return 0, logservice.ErrNotAppended
	}
	if faults.LateAppends > 0 {
		copied := append([]byte(nil), data...)
		time.AfterFunc(faults.Delay, func() { _, _ = l.take(name, end, copied) }) // nobody waits for the answer
		return 0, logservice.ErrAmbiguous
	}
	if err := wait(ctx, faults.Delay); err != nil {
		return 0, logservice.ErrAmbiguous
	}
	offset, err := l.take(name, end, append([]byte(nil), data...))
	if err != nil {
		return 0, err
	}
	if faults.LoseResponses > 0 {
		return 0, logservice.ErrAmbiguous
	}
	return offset, nil
}

// takeFaults gives the faults for one append and counts it down.
func (l *Log) takeFaults() Faults {
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

func (l *Log) take(name string, end int64, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.earliest + int64(len(s.records))
	if end != AnyEnd && end != offset {
		return 0, ErrEndMoved
	}
	s.records = append(s.records, logservice.Record{Offset: offset, Time: time.Now(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	l.appends++
	return offset, nil
}

// Read implements logservice.Log.
func (l *Log) Read(ctx context.Context, name string, opts logservice.ReadOptions) (logservice.Page, error) {
	deadline := time.Now().Add(opts.Wait)
	for {
		page, grown, err := l.readNow(name, opts)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		left := time.Until(deadline)
		if left <= 0 {
			return page, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-grown:
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
	if opts.From < s.earliest {
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
		Next:     s.earliest + int64(len(s.records)),
	}
	return page, s.grown, nil
}

func wait(ctx context.Context, delay time.Duration) error {
	if !waiting.For(ctx, delay) {
		return ctx.Err()
	}
	return nil
}
