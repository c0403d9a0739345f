// Package orderlease implements a lease that lets one entry box at a time send orders to runners.
//
// Runners do not check which box an order comes from, so orders of two boxes must be separated by
// a given gap. The platform's log arbitrates. A box that has orders to send appends a record to a
// dedicated stream, on the condition that the stream ends where the box expects; of several
// concurrent appends one succeeds. Each record permits its box to send orders for a short time,
// measured with the box's own clock (package boottime) from before the append was sent. While the
// box has orders left it appends further records; a box that sees no record for a while may try
// to take over.
//
// Two boxes never send orders within the gap of each other, for this reason. A box that takes
// over observed the last record of the previous holder after it was appended, and the permission
// of that record ended within permitFor of its append. The new box waits for permitFor plus the
// gap from that observation, and its own conditional append proves that no other record came in
// between. A box that starts does not know when the records that it finds were appended, and
// treats them as new.
//
// The lease is not renewed while there is nothing to order, so the first order after an idle
// period waits for a single append.
package orderlease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Lease.
type Config struct {
	Log    sharedlog.Log
	Logger zerolog.Logger
	// Holder identifies this incarnation of this box.
	Holder string
	// Gap is the minimum time between orders of two boxes.
	Gap time.Duration
	// Idle reports that another box reads for this one, so that it need not follow the stream
	// unless it holds the lease: each record ends the long-poll read of every box that follows it.
	// Nil means that it always follows.
	Idle func() bool
}

const (
	// permitFor is how long a record permits orders. It is much longer than the answer to an append
	// takes (4 ms), and short because a box that takes over waits for it.
	permitFor = 500 * time.Millisecond
	// takeoverAfter is how long a holder may append nothing before another box tries to take over.
	// A holder with orders left appends twice a second.
	takeoverAfter = 1200 * time.Millisecond
	// gapMargin is added to the gap for orders in transit.
	gapMargin = 250 * time.Millisecond
	// callTimeout bounds an append, readHold is how long a read waits for a record, and
	// failurePause is the pause after a failed call.
	callTimeout  = 700 * time.Millisecond
	readHold     = 5 * time.Second
	failurePause = 250 * time.Millisecond
	// idlePause is the time between two checks whether the stream must be followed.
	idlePause = 250 * time.Millisecond
)

// record is the value of a record in the stream.
type record struct {
	Holder string `msgpack:"h"`
}

// Lease is this box's view of which box may send orders.
type Lease struct {
	cfg Config

	// appending holds one element while a goroutine appends. It is no mutex, so that those who wait for it
	// heed their contexts.
	appending chan struct{}

	mu sync.Mutex
	// next is the offset after the last observed record; caughtUp reports that the stream has been
	// read to its end once.
	next     int64
	caughtUp bool
	// last is the holder of the last record, and lastAt the time at which this box observed it.
	last   string
	lastAt time.Time
	// otherAt is when this box last observed a record of another box.
	otherAt time.Time
	// fence is the offset of the first record of this box since then.
	fence int64
	// failedAt is when an append of this box last failed. Those who waited for it do not try again, so
	// that they do not wait one after the other.
	failedAt time.Time
	// permittedUntil is until when this box may send orders.
	permittedUntil time.Time
}

// New returns a lease that this box does not hold.
func New(cfg Config) *Lease {
	return &Lease{cfg: cfg, appending: make(chan struct{}, 1)}
}

// Loop follows the stream until ctx ends.
func (l *Lease) Loop(ctx context.Context) {
	for ctx.Err() == nil {
		if l.Idle() {
			waiting.For(ctx, idlePause)
			continue
		}
		if err := l.read(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Debug().Str("error", err.Error()).Msg("order_lease_not_read")
			waiting.For(ctx, failurePause)
		}
	}
}

// Idle reports whether this box leaves sending orders to others.
func (l *Lease) Idle() bool { return l.cfg.Idle != nil && l.cfg.Idle() && !l.Held() }

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readHold+callTimeout)
	defer cancel()
	l.mu.Lock()
	from, hold := l.next, readHold
	if !l.caughtUp {
		hold = 0
	}
	l.mu.Unlock()
	page, err := l.cfg.Log.Read(ctx, sharedlog.Orders, from, hold)
	if trimmed, ok := errors.AsType[*sharedlog.RecordsExpiredError](err); ok {
		l.skip(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	l.apply(page)
	return nil
}

// skip continues after records that the log no longer retains. This box has to assume that they
// were another box's.
func (l *Lease) skip(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first > l.next {
		l.next, l.otherAt, l.last = first, boottime.Now(), ""
	}
}

func (l *Lease) apply(page sharedlog.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range page.Records {
		var decoded record
		if err := safepack.Unmarshal(r.Value, &decoded); err != nil {
			l.cfg.Logger.Error().Int64("offset", r.Offset).Str("error", err.Error()).Msg("order_lease_not_decoded")
		}
		l.observe(decoded.Holder, r.Offset)
	}
	l.caughtUp = l.caughtUp || page.Next >= page.End
}

// observe processes the record at an offset, once. The caller holds mu.
func (l *Lease) observe(holder string, offset int64) {
	if offset < l.next {
		return
	}
	now := boottime.Now()
	if holder != l.cfg.Holder {
		l.otherAt = now
		l.permittedUntil = time.Time{}
	} else if l.last != l.cfg.Holder {
		l.fence = offset
	}
	if holder != l.last {
		l.cfg.Logger.Info().Str("holder", holder).Int64("offset", offset).Msg("order_lease_taken")
	}
	l.next, l.last, l.lastAt = offset+1, holder, now
}

// Held reports whether the last record of the stream is this box's.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last == l.cfg.Holder
}

// Permit requests permission to send orders now. It returns the fencing token for the orders, and
// false if another box may be sending orders or the append failed.
func (l *Lease) Permit(ctx context.Context) (fence int64, ok bool) {
	if l.Idle() {
		return 0, false
	}
	asked := boottime.Now()
	select {
	case l.appending <- struct{}{}:
		defer func() { <-l.appending }()
	case <-ctx.Done():
		return 0, false
	}
	l.mu.Lock()
	now := boottime.Now()
	if l.last == l.cfg.Holder && now.Before(l.permittedUntil) && l.gapElapsed(now) {
		defer l.mu.Unlock()
		return l.fence, true
	}
	if !l.caughtUp || l.failedAt.After(asked) || (l.last != l.cfg.Holder && l.last != "" && now.Sub(l.lastAt) < takeoverAfter) {
		l.mu.Unlock()
		return 0, false
	}
	end := l.next
	l.mu.Unlock()
	if !l.append(ctx, end) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = boottime.Now()
	return l.fence, l.last == l.cfg.Holder && now.Before(l.permittedUntil) && l.gapElapsed(now)
}

// gapElapsed reports whether the gap to the orders of all other boxes has elapsed. The caller
// holds mu.
func (l *Lease) gapElapsed(now time.Time) bool {
	return l.otherAt.IsZero() || now.Sub(l.otherAt) > permitFor+l.cfg.Gap+gapMargin
}

// append appends a record of this box if the stream ends at the given offset.
func (l *Lease) append(ctx context.Context, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := msgpack.Marshal(record{Holder: l.cfg.Holder})
	if err != nil {
		l.cfg.Logger.Error().Str("error", err.Error()).Msg("order_lease_not_encoded")
		return false
	}
	sent := boottime.Now()
	offset, err := l.cfg.Log.Append(ctx, sharedlog.Orders, end, sharedlog.Record{Value: value})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failedAt = boottime.Now()
		l.cfg.Logger.Info().Int64("end", end).Str("error", err.Error()).Msg("order_lease_not_taken")
		return false
	}
	l.observe(l.cfg.Holder, offset)
	if l.next == offset+1 {
		l.permittedUntil = sent.Add(permitFor)
	}
	return true
}
