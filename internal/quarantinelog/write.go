// Writing the difference between what is held and what the log has.

package quarantinelog

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// writeInterval is the shortest time between two calls of the log by the writer.
	writeInterval = 100 * time.Millisecond
	// appendTimeout bounds an append; the log takes 4 ms, and 200 ms when it is slow.
	appendTimeout = 700 * time.Millisecond
	// minWritePause and maxWritePause bound the pause after a call that failed, which doubles.
	minWritePause = 250 * time.Millisecond
	maxWritePause = 4 * time.Second
	// checkInterval is the longest time between two comparisons: records expire, and another box becomes the
	// writer.
	checkInterval = time.Second
	// readInterval is the time between two reads by the writer, which find what an earlier writer wrote late.
	// unknownReadDelay is the time after an append without response, which may take effect later.
	readInterval     = 10 * time.Minute
	unknownReadDelay = 10 * time.Second
	// maxRecorded is the number of keys above which keys are deleted before others are written.
	maxRecorded = 2048
	// deletedTTL is how long deletions are remembered: a log that came back from a copy, and another writer that
	// did not know of one, bring keys back.
	deletedTTL = 3 * readInterval
)

// LoopWrite writes while this box is the writer, until ctx ends.
func (k *Keeper) LoopWrite(ctx context.Context) {
	pause := minWritePause
	for ctx.Err() == nil {
		wake, eraChanged := k.wake.Chan(), k.cfg.Eras.Changed()
		if !k.cfg.IsWriter() {
			k.recorded = nil
			k.waitForChange(ctx, wake, eraChanged)
			continue
		}
		changed, err := k.step(ctx)
		switch {
		case err != nil:
			k.logFailure(ctx, err)
			waiting.For(ctx, pause)
			pause = min(2*pause, maxWritePause)
		case changed:
			pause, k.failed = minWritePause, false
			waiting.For(ctx, writeInterval)
		default:
			k.waitForChange(ctx, wake, eraChanged)
		}
	}
}

// waitForChange waits until what is held may have changed, and at least for writeInterval: each crash signals
// a change at all boxes.
func (k *Keeper) waitForChange(ctx context.Context, wake, eraChanged <-chan struct{}) {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-wake:
	case <-eraChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
	waiting.For(ctx, writeInterval)
}

func (k *Keeper) logFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && !k.failed {
		k.failed = true
		k.cfg.Logger.Warn().Str("error", err.Error()).Msg("quarantine_not_recorded")
	}
}

// step makes one call of the log if one is due, and reports whether it did.
func (k *Keeper) step(ctx context.Context) (called bool, err error) {
	era, _ := k.cfg.Eras.Newest()
	if k.recorded == nil || era != k.era || boottime.Since(k.readAt) > readInterval {
		return true, k.read(ctx, era)
	}
	key, record, found := k.nextDifference()
	if !found {
		return false, nil
	}
	return true, k.write(ctx, key, record)
}

// read reads what the log has. What this box does not know yet is merged first, so that nothing is deleted
// only because this box lacks it.
func (k *Keeper) read(ctx context.Context, era int64) error {
	page, err := sharedlog.Newest(ctx, k.cfg.Log, sharedlog.Quarantine)
	if err != nil {
		return err
	}
	recorded, unknown := map[string]uint64{}, []logged(nil)
	for _, each := range k.decodeAll(page.Records) {
		recorded[each.key] = signature(each.record)
		if deletedAt, deleted := k.deletedAt[each.key]; !deleted || boottime.Since(deletedAt) > deletedTTL {
			unknown = append(unknown, each)
		}
	}
	k.merge(unknown)
	k.recorded, k.era, k.readAt = recorded, era, boottime.Now()
	k.MarkLoaded()
	return nil
}

// nextDifference returns a key whose record differs from what is held; the record is nil if the key is to be
// deleted.
func (k *Keeper) nextDifference() (key string, record *quarantine.RequestRecord, found bool) {
	held := map[string]quarantine.RequestRecord{}
	for _, of := range kinds {
		for _, each := range k.set(of).Held() {
			held[keyOf(of, each.Request)] = each
		}
	}
	obsolete := ""
	for name := range k.recorded {
		if _, isHeld := held[name]; !isHeld {
			obsolete = name
			break
		}
	}
	if obsolete != "" && len(k.recorded) >= maxRecorded {
		return obsolete, nil, true
	}
	for name, each := range held {
		if recorded, there := k.recorded[name]; !there || recorded != signature(each) {
			return name, &each, true
		}
	}
	return obsolete, nil, obsolete != ""
}

// write writes a record, or deletes a key if the record is nil.
func (k *Keeper) write(ctx context.Context, key string, record *quarantine.RequestRecord) error {
	var value []byte
	if record != nil {
		var err error
		if value, err = encode(*record, boottime.TimeOfDay()); err != nil {
			return err
		}
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := k.cfg.Log.Append(call, sharedlog.Quarantine, sharedlog.AnyEnd, sharedlog.Record{Key: key, Value: value}); err != nil {
		if !errors.Is(err, sharedlog.ErrRefused) {
			k.readAt = boottime.Now().Add(unknownReadDelay - readInterval)
		}
		return err
	}
	if record != nil {
		k.recorded[key] = signature(*record)
		delete(k.deletedAt, key)
	} else {
		delete(k.recorded, key)
		k.noteDeleted(key)
	}
	k.cfg.Logger.Info().Str("key", key).Bool("deleted", record == nil).Int("records", len(k.recorded)).Msg("quarantine_recorded")
	return nil
}

// noteDeleted remembers that a key was deleted.
func (k *Keeper) noteDeleted(key string) {
	now := boottime.Now()
	for other, at := range k.deletedAt {
		if now.Sub(at) > deletedTTL {
			delete(k.deletedAt, other)
		}
	}
	k.deletedAt[key] = now
}
