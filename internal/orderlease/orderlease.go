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
// A record lists the runners to which it permits orders, so a box that takes over waits for the gap
// only with runners that records of others listed (Permit). It may order the rest as soon as it holds
// the lease. The argument is the one above, runner by runner: an order is sent only under the newest
// record of its box, within permitFor of the append, to a runner that this record lists. A record
// without a list, as a previous version of this package appends it, permits orders to all runners, and
// so do records that this box could not read.
//
// If the log comes back from a copy, records of the stream may be lost, and with them what the last holder
// was permitted. They were appended before the return, so a box sends no orders until permitFor and the
// gap have elapsed since it first saw the new era; it reads the stream from its beginning. An append of
// an earlier era that takes effect after the return permits nothing. Fencing tokens are positions, which
// are higher in each later era.
//
// The lease is not renewed while there is nothing to order, so the first order after an idle
// period waits for a single append.
package orderlease

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Lease.
type Config struct {
	Log sharedlog.Log
	// Eras knows the eras of the log that this box has seen. Nil means those of this package's reads.
	Eras   *sharedlog.Eras
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
	// A holder with orders left appends twice a second. It exceeds permitFor, gapMargin and
	// reportAge together (SettledAt).
	takeoverAfter = 1200 * time.Millisecond
	// gapMargin is added to the gap for orders in transit.
	gapMargin = 250 * time.Millisecond
	// reportAge is the greatest usual age of a runner's report.
	reportAge = 350 * time.Millisecond
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
	// Listed means that the record permits orders only to the runners with the hashes in Runners.
	Listed  bool     `msgpack:"l,omitempty"`
	Runners []uint32 `msgpack:"r,omitempty"`
	// Released means that the box sends no more orders, so that others need not wait to take over.
	Released bool `msgpack:"x,omitempty"`
}

// Lease is this box's view of which box may send orders.
type Lease struct {
	cfg Config

	// appending holds one element while a goroutine appends. It is no mutex, so that those who wait for it
	// heed their contexts.
	appending chan struct{}

	mu sync.Mutex
	// next is the position after the last observed record; caughtUp reports that the stream has been
	// read to its end once.
	next     int64
	caughtUp bool
	// last is the holder of the last record, and lastAt the time at which this box observed it.
	last   string
	lastAt time.Time
	// released reports that the last record releases the lease.
	released bool
	// otherAt is when this box last observed a record of another box, unlistedAt one that permits
	// orders to all runners, and listedAt those that list a runner, by the runner's hashes.
	otherAt, unlistedAt time.Time
	listedAt            map[uint32]time.Time
	// fence is the position of the first record of this box since then.
	fence int64
	// failedAt is when an append of this box last failed. Those who waited for it do not try again, so
	// that they do not wait one after the other.
	failedAt time.Time
	// permittedUntil is until when this box may send orders under its newest record, which permits
	// them to the runners in permitted, or to all if permitsAll is set.
	permittedUntil time.Time
	permitted      map[uint32]bool
	permitsAll     bool
}

// New returns a lease that this box does not hold.
func New(cfg Config) *Lease {
	if cfg.Eras == nil {
		cfg.Eras = &sharedlog.Eras{}
	}
	return &Lease{cfg: cfg, next: sharedlog.FromStart, appending: make(chan struct{}, 1), listedAt: map[uint32]time.Time{}}
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

// Held reports whether the last record of the stream is this box's.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last == l.cfg.Holder
}

// MayBeLost reports whether this box has not renewed the lease for so long that another may have taken it.
func (l *Lease) MayBeLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last != l.cfg.Holder || boottime.Since(l.permittedUntil) > takeoverAfter-permitFor
}

// ClosedUntil returns the time before which this box may not order a runner, because another box may
// have done so. It is in the past if there is none.
func (l *Lease) ClosedUntil(runner Runner) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closedUntil(runner)
}

// closedUntil is ClosedUntil. The caller holds mu.
func (l *Lease) closedUntil(runner Runner) time.Time {
	latest := l.unlistedAt
	if lostAt := l.recordsLostAt(); lostAt.After(latest) {
		latest = lostAt
	}
	for _, hash := range runner.hashes() {
		if at := l.listedAt[hash]; at.After(latest) {
			latest = at
		}
	}
	if latest.IsZero() {
		return latest
	}
	return latest.Add(gapAfterRecord(l.cfg.Gap))
}

// recordsLostAt returns when this box first saw the present era, before which records of other boxes may
// have been lost; it is zero in era 0, in which none were.
func (l *Lease) recordsLostAt() time.Time {
	_, seenAt := l.cfg.Eras.Newest()
	return seenAt
}

// gapAfterRecord returns how long after a record of another box this box sends no orders that the record
// permits.
func gapAfterRecord(gap time.Duration) time.Duration { return permitFor + gap + gapMargin }

// Hold takes or renews the lease if that is necessary, and reports whether this box holds it. planned
// returns the runners that it is about to order.
func (l *Lease) Hold(ctx context.Context, planned func() []Runner) bool {
	always := func(time.Time) bool { return true }
	_, ok := l.request(ctx, func() record { return listing(planned()) }, always, always)
	return ok
}

// Permit requests permission to send an order to a runner now. It returns the fencing token for the
// order, and false if another box may have ordered the runner recently or if an append failed. The
// record that it appends, if one is necessary, lists all the runners that planned returns.
func (l *Lease) Permit(ctx context.Context, runner Runner, planned func() []Runner) (fence int64, ok bool) {
	if boottime.Now().Before(l.ClosedUntil(runner)) {
		return 0, false
	}
	return l.request(
		ctx, func() record { return listing(append(planned(), runner)) },
		func(time.Time) bool { return l.lists(runner) },
		func(now time.Time) bool { return now.After(l.closedUntil(runner)) },
	)
}

// PermitAll requests permission to send orders to all runners now, like Permit.
func (l *Lease) PermitAll(ctx context.Context) (fence int64, ok bool) {
	return l.request(
		ctx, func() record { return record{} },
		func(time.Time) bool { return l.permitsAll },
		func(now time.Time) bool {
			return isOver(l.otherAt, now, l.cfg.Gap) && isOver(l.recordsLostAt(), now, l.cfg.Gap)
		},
	)
}

// isOver reports whether the gap since a moment has elapsed; a zero moment never was.
func isOver(since, now time.Time, gap time.Duration) bool {
	return since.IsZero() || now.Sub(since) > gapAfterRecord(gap)
}

// request returns whether the newest record permits what is asked for, after it has appended another
// one if necessary. covers reports whether the record does, and open whether the gap to the orders of
// other boxes has elapsed. Both are called with mu held.
func (l *Lease) request(ctx context.Context, next func() record, covers, open func(time.Time) bool) (fence int64, ok bool) {
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
	if l.last == l.cfg.Holder && now.Before(l.permittedUntil) && covers(now) {
		defer l.mu.Unlock()
		return l.fence, open(now)
	}
	if !l.caughtUp || l.failedAt.After(asked) || !l.isFree(now) {
		l.mu.Unlock()
		return 0, false
	}
	end := l.next
	l.mu.Unlock()
	if !l.append(ctx, end, next()) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now = boottime.Now()
	return l.fence, l.last == l.cfg.Holder && now.Before(l.permittedUntil) && covers(now) && open(now)
}

// lists reports whether the newest record of this box permits orders to a runner. The caller holds mu.
func (l *Lease) lists(runner Runner) bool {
	if l.permitsAll {
		return true
	}
	for _, hash := range runner.hashes() {
		if !l.permitted[hash] {
			return false
		}
	}
	return true
}

// append appends a record of this box if the stream ends at the given offset.
func (l *Lease) append(ctx context.Context, end int64, r record) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.Holder = l.cfg.Holder
	value, err := msgpack.Marshal(r)
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
		l.cfg.Logger.Info().Int64("end", logposition.Offset(end)).Str("error", err.Error()).Msg("order_lease_not_taken")
		return false
	}
	l.observe(r, offset)
	newest, _ := l.cfg.Eras.Newest()
	if l.next == offset+1 && newest == logposition.Era(offset) && !r.Released {
		l.permittedUntil, l.permitsAll, l.permitted = sent.Add(permitFor), !r.Listed, map[uint32]bool{}
		for _, hash := range r.Runners {
			l.permitted[hash] = true
		}
	}
	return true
}
