// Package tail reads one stream of the platform's log from its beginning and follows it.
package tail

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/logservice"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Sink processes the records. Its methods are called from one goroutine.
type Sink interface {
	// ApplyRecord is called with each record, in order.
	ApplyRecord(record logservice.Record)
	// Reset is called if records that were not read have expired. Reading continues at the earliest
	// record that the log still holds. Began is when the read that detected this was sent.
	Reset(earliest int64, began time.Time)
	// CaughtUp is called when all records up to the current end of the stream have been applied.
	CaughtUp()
}

// Config is the configuration of a Tail.
type Config struct {
	Log    logservice.Log
	Stream string
	Sink   Sink
	// PollWait is how long the log may hold a read until a new record arrives (long polling).
	PollWait time.Duration
	// RetryDelay is the delay after a failed read.
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

// New creates a tail that starts at the first record.
func New(cfg Config) *Tail {
	if cfg.PollWait == 0 {
		cfg.PollWait = DefaultPollWait
	}
	if cfg.RetryDelay == 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	return &Tail{cfg: cfg}
}

// Loop follows the stream until ctx is done.
func (t *Tail) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := t.readPage(ctx); err != nil {
			waiting.For(ctx, t.cfg.RetryDelay)
		}
	}
}

// readPage reads one page. Reads do not wait for new records until the end has been reached once.
func (t *Tail) readPage(ctx context.Context) error {
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
