// When the lease is free, and how a box gives it up.

package orderlease

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Free reports whether this box may try to take the lease.
func (l *Lease) Free() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.caughtUp && l.isFree(boottime.Now())
}

// isFree reports whether this box may append the next record. The caller holds mu.
func (l *Lease) isFree(now time.Time) bool {
	return l.last == l.cfg.Holder || l.last == "" || l.released || now.Sub(l.lastAt) >= takeoverAfter
}

// Release lets other boxes take the lease at once. This box sends no orders until it takes the lease
// again.
func (l *Lease) Release(ctx context.Context) {
	select {
	case l.appending <- struct{}{}:
		defer func() { <-l.appending }()
	case <-ctx.Done():
		return
	}
	l.mu.Lock()
	if l.last != l.cfg.Holder || l.released || boottime.Since(l.lastAt) >= takeoverAfter {
		l.mu.Unlock()
		return
	}
	l.permittedUntil = time.Time{}
	end := l.next
	l.mu.Unlock()
	l.append(ctx, end, record{Listed: true, Released: true})
}

// Quiet returns for how long no box has appended a record.
func (l *Lease) Quiet() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return boottime.Since(l.lastAt)
}

// SettledAt returns the time from which the report of a runner includes all orders of other boxes that
// sent some before this box took the lease.
func (l *Lease) SettledAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.otherAt
	if lostAt := l.recordsLostAt(); lostAt.After(latest) {
		latest = lostAt
	}
	return latest.Add(gapMargin + reportAge)
}
