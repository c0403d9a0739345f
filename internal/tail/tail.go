// Package tail follows one stream of the platform's log from its beginning.
package tail

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Sink takes what is read, from one goroutine.
type Sink interface {
	// ApplyRecord is given each record, in order.
	ApplyRecord(record logservice.Record)
	// Reset says that records which were not read have expired, and that
	// reading begins again at the earliest held one. Began is when the read
	// that found out was sent.
	Reset(earliest int64, began time.Time)
	// CaughtUp says that all records up to the present end have been taken.
	CaughtUp()
}

// Config sets up a Tail.
type Config struct {
	Log    logservice.Log
	Stream string
	Sink   Sink
	// PollWait is how long a read may wait at the log for a new record.
	PollWait time.Duration
	// RetryDelay is the pause after the log failed.
	RetryDelay time.Duration
}

// Defaults of Config.
const (
	DefaultPollWait   = 10 * time.Second
	DefaultRetryDelay = 200 * time.Millisecond
)

// Tail follows a stream.
type Tail struct {
	cfg   Config
	next  int64
	atEnd bool
}

// New makes a tail that begins at the first record.
func New(cfg Config) *Tail {
	if cfg.PollWait == 0 {
		cfg.PollWait = DefaultPollWait
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	return &Tail{cfg: cfg}
}

// Loop follows the stream until ctx ends.
func (t *Tail) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := t.page(ctx); err != nil {
			waiting.For(ctx, t.cfg.RetryDelay)
		}
	}
}

// page reads one page. Until the end was reached once, reads do not wait there.
func (t *Tail) page(ctx context.Context) error {
	wait := t.cfg.PollWait
	if !t.atEnd {
		wait = 0
	}
	began := time.Now()
	page, err := t.cfg.Log.Read(ctx, t.cfg.Stream, logservice.ReadOptions{From: t.next, Wait: wait})
	if expired, ok := errors.AsType[*logservice.ExpiredError](err); ok {
		t.next, t.atEnd = expired.Earliest, false
		t.cfg.Sink.Reset(expired.Earliest, began)
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range page.Records {
		t.next = record.Offset + 1
		t.cfg.Sink.ApplyRecord(record)
	}
	if t.next >= page.Next {
		t.atEnd = true
		t.cfg.Sink.CaughtUp()
	}
	return nil
}
