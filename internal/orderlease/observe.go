// Following the stream of records: what this box knows of the holders, also across eras of the log.

package orderlease

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

func (l *Lease) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readHold+callTimeout)
	defer cancel()
	ctx, cancelOnEra := waiting.WithSignal(ctx, l.cfg.Eras.Changed())
	defer cancelOnEra()
	l.mu.Lock()
	from, hold := l.next, readHold
	if newest, _ := l.cfg.Eras.Newest(); !l.caughtUp || newest > logposition.Era(from) {
		hold = 0
	}
	l.mu.Unlock()
	page, err := l.cfg.Log.Read(ctx, sharedlog.Orders, from, hold)
	if restored, ok := errors.AsType[*sharedlog.HistoryChangedError](err); ok {
		l.restart(restored.Start)
		return nil
	}
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
		now := boottime.Now()
		l.next, l.otherAt, l.unlistedAt, l.last = first, now, now, ""
	}
}

// restart continues at the beginning of the stream, in a later era of the log.
func (l *Lease) restart(start int64) {
	l.cfg.Eras.Note(start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Logger.Info().Int64("era", logposition.Era(start)).Str("holder", l.last).Msg("order_lease_restored")
	l.next, l.caughtUp = start, false
	l.last, l.released, l.permittedUntil = "", false, time.Time{}
}

func (l *Lease) apply(page sharedlog.Page) {
	l.cfg.Eras.Note(page.Next)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range page.Records {
		var decoded record
		if err := safepack.Unmarshal(r.Value, &decoded); err != nil {
			l.cfg.Logger.Error().EmbedObject(logposition.Logged(r.Offset)).Str("error", err.Error()).Msg("order_lease_not_decoded")
		}
		l.observe(decoded, r.Offset)
	}
	l.next = max(l.next, page.Next)
	l.caughtUp = l.caughtUp || page.Next >= page.End
}

// observe processes the record at an offset, once. The caller holds mu.
func (l *Lease) observe(r record, offset int64) {
	if offset < l.next {
		return
	}
	now := boottime.Now()
	if r.Holder != l.cfg.Holder {
		l.otherAt = now
		l.permittedUntil = time.Time{}
		l.observeRunners(r, now)
	} else if l.last != l.cfg.Holder {
		l.fence = offset
	}
	if r.Holder != l.last {
		l.cfg.Logger.Info().Str("holder", r.Holder).EmbedObject(logposition.Logged(offset)).Msg("order_lease_taken")
	}
	l.next, l.last, l.lastAt, l.released = offset+1, r.Holder, now, r.Released
}

// observeRunners records which runners another box may order. The caller holds mu.
func (l *Lease) observeRunners(r record, now time.Time) {
	if !r.Listed {
		l.unlistedAt = now
		return
	}
	maps.DeleteFunc(l.listedAt, func(_ uint32, at time.Time) bool { return now.Sub(at) > gapAfterRecord(l.cfg.Gap) })
	for _, runner := range r.Runners {
		l.listedAt[runner] = now
	}
}
