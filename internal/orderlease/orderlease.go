// Package orderlease lets one entry box at a time give orders to runners.
//
// Runners do not check who orders them, so the orders of two boxes must lie apart
// by a given gap. The platform's log decides. A box that has orders to give
// appends a record to a stream of their own, on the condition that the stream ends
// where the box believes; of several that try, one succeeds. Each record permits
// its box to order for a short time, counted by the box's own steady clock from
// before the append was sent. While it has orders left it appends the next record;
// a box that sees no record for a while may try to take over.
//
// Why two boxes never order within the gap: a box that takes over saw the last
// record of the one before, at a moment after it was appended. Permission by that
// record ended within permitFor of its append. The box waits for permitFor and the
// gap from that moment on, and its own append proves that no other record came in
// between. A box that starts does not know when the records it finds were
// appended, and counts them as new.
//
// Nothing is renewed while there is nothing to order, so the first order after a
// quiet time waits for one append only.
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

// Config sets up a Lease.
type Config struct {
	Log    sharedlog.Log
	Logger zerolog.Logger
	// Holder tells this life of this box from all others.
	Holder string
	// Gap is how far the orders of two boxes must lie apart.
	Gap time.Duration
	// Idle reports that another box reads for this one, so that it need not follow the
	// stream unless it holds the lease: each record ends a held read of every box that
	// follows. Nil means that it always follows.
	Idle func() bool
}

const (
	// permitFor is how long a record permits orders: a few times an append's answer
	// (4 ms), and short, since whoever takes over waits for it.
	permitFor = 500 * time.Millisecond
	// takeoverAfter is how long a holder may be silent before another tries. A
	// holder with orders left appends twice a second.
	takeoverAfter = 1200 * time.Millisecond
	// gapMargin is added to the gap for orders that are on their way.
	gapMargin = 250 * time.Millisecond
	// callLimit bounds an append, readHold how long a read waits for a record, and
	// failurePause lies after a call that failed.
	callLimit    = 700 * time.Millisecond
	readHold     = 5 * time.Second
	failurePause = 250 * time.Millisecond
	// idlePause lies between two looks whether the stream is to be followed.
	idlePause = 250 * time.Millisecond
)

// record is what the stream holds.
type record struct {
	Holder string `msgpack:"h"`
}

// Lease is this box's view of who may order.
type Lease struct {
	cfg Config

	// asking lets one goroutine append at a time.
	asking sync.Mutex

	mu sync.Mutex
	// next is the offset after the last record seen; known says that it was read.
	next  int64
	known bool
	// last is the holder of the last record, lastAt when this box saw it.
	last   string
	lastAt time.Time
	// othersAt is when the last record of another box was seen.
	othersAt time.Time
	// fence is the offset of the first of this box's records since then.
	fence int64
	// permitted is until when this box may order.
	permitted time.Time
}

// New makes a lease that nobody holds.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

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

// Idle reports whether this box leaves the orders to others.
func (l *Lease) Idle() bool { return l.cfg.Idle != nil && l.cfg.Idle() && !l.Held() }

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readHold+callLimit)
	defer cancel()
	l.mu.Lock()
	from, hold := l.next, readHold
	if !l.known {
		hold = 0
	}
	l.mu.Unlock()
	page, err := l.cfg.Log.Read(ctx, sharedlog.Orders, from, hold)
	if gone, ok := errors.AsType[*sharedlog.RecordsExpiredError](err); ok {
		l.skip(gone.First)
		return nil
	}
	if err != nil {
		return err
	}
	l.take(page)
	return nil
}

// skip goes on after records that are no longer kept. They were another's as far
// as this box can tell.
func (l *Lease) skip(first int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first > l.next {
		l.next, l.othersAt, l.last = first, boottime.Now(), ""
	}
}

func (l *Lease) take(page sharedlog.Page) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range page.Records {
		var decoded record
		if err := safepack.Unmarshal(r.Value, &decoded); err != nil {
			l.cfg.Logger.Error().Int64("offset", r.Offset).Str("error", err.Error()).Msg("order_lease_not_understood")
		}
		l.note(decoded.Holder, r.Offset)
	}
	l.known = l.known || page.Next >= page.End
}

// note takes in the record at an offset, once. The caller holds mu.
func (l *Lease) note(holder string, offset int64) {
	if offset < l.next {
		return
	}
	now := boottime.Now()
	if holder != l.cfg.Holder {
		l.othersAt = now
		l.permitted = time.Time{}
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

// Permit asks to give orders now. It gives the fence that the orders carry, and
// false when another box may be giving orders or the log did not agree.
func (l *Lease) Permit(ctx context.Context) (fence int64, ok bool) {
	if l.Idle() {
		return 0, false
	}
	l.asking.Lock()
	defer l.asking.Unlock()
	l.mu.Lock()
	now := boottime.Now()
	if l.last == l.cfg.Holder && now.Before(l.permitted) && l.apart(now) {
		defer l.mu.Unlock()
		return l.fence, true
	}
	if !l.known || (l.last != l.cfg.Holder && l.last != "" && now.Sub(l.lastAt) < takeoverAfter) {
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
	return l.fence, l.last == l.cfg.Holder && now.Before(l.permitted) && l.apart(now)
}

// apart reports whether orders of this box now lie apart from all of others. The
// caller holds mu.
func (l *Lease) apart(now time.Time) bool {
	return l.othersAt.IsZero() || now.Sub(l.othersAt) > permitFor+l.cfg.Gap+gapMargin
}

// append adds a record of this box at an end.
func (l *Lease) append(ctx context.Context, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	value, err := msgpack.Marshal(record{Holder: l.cfg.Holder})
	if err != nil {
		l.cfg.Logger.Error().Str("error", err.Error()).Msg("order_lease_not_encoded")
		return false
	}
	sent := boottime.Now()
	offset, err := l.cfg.Log.Append(ctx, sharedlog.Orders, end, sharedlog.Record{Value: value})
	if err != nil {
		l.cfg.Logger.Info().Int64("end", end).Str("error", err.Error()).Msg("order_lease_not_taken")
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(l.cfg.Holder, offset)
	if l.next == offset+1 {
		l.permitted = sent.Add(permitFor)
	}
	return true
}
