// Announcing to which software versions a call is sent, so that its first event need not wait for a record.
//
// Most servers take longer to their first event than a record takes. So a box records the version when it sends the
// call, under a key of its own (announcedKey). If all servers that a call was sent to are of one version, that record
// is the origin; otherwise the origin itself is recorded as soon as it is known.

package streamorigin

import (
	"context"
	"sync"
)

// Announcement has the software versions that one call was sent to. The zero value has none.
type Announcement struct {
	mu sync.Mutex
	// batches has the record of each version.
	batches map[string]*awaitedBatch
	// base is a version that the call was sent to and that needs no record; nil if there is none.
	base *Origin
	// isClosed is set when the stream begins.
	isClosed bool
	// recorded is the batch that has recorded the origin; nil if none has.
	recorded *awaitedBatch
}

// close ends the announcement of versions. It returns the batch of a version; isOnly is true if no other one was
// announced, and isOnlyBesideBase if none was that needs a record.
func (a *Announcement) close(software string) (batch *awaitedBatch, isOnly, isOnlyBesideBase bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
	batch = a.batches[software]
	others := len(a.batches)
	if batch != nil {
		others--
	}
	hasBase := a.base != nil && a.base.Software != software && a.batches[a.base.Software] != nil
	return batch, others == 0, others == 1 && hasBase && batch != nil
}

// Contradicting returns a version whose announcement is in the log while that of another one is not: without a record of
// its origin, a stream of the other one would count as one of the returned version.
func (a *Announcement) Contradicting(software string) (other string, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if batch := a.batches[software]; batch != nil && batch.isRecorded() {
		return "", false
	}
	for version, batch := range a.batches {
		if version != software && batch.isRecorded() {
			return version, true
		}
	}
	return "", false
}

// announcedKey returns the key for the versions that a call is sent to.
func announcedKey(key Key) Key {
	for i := range key {
		key[i] = ^key[i]
	}
	return key
}

// announced returns the origin as it is announced.
func (o Origin) announced() Origin {
	if o.Alias != (Key{}) {
		o.Alias = announcedKey(o.Alias)
	}
	return o
}

// Announce records that a call is being sent to a server, whose first event would have to wait for a record. If a call
// is sent to a server of another version as well, that of the base version is announced, too: without a record of the
// origin itself, the stream may then be of either.
func (o *Origins) Announce(ctx context.Context, announcement *Announcement, key Key, origin Origin) {
	if o.cfg.Bases == nil {
		return
	}
	needsRecord := o.needsRecord(origin)
	announcement.mu.Lock()
	defer announcement.mu.Unlock()
	if announcement.isClosed {
		return
	}
	var announced []Origin
	if needsRecord {
		announced = append(announced, origin)
	} else {
		announcement.base = &origin
	}
	if announcement.base != nil && (needsRecord || len(announcement.batches) > 0) {
		announced = append(announced, *announcement.base)
	}
	if announcement.batches == nil {
		announcement.batches = map[string]*awaitedBatch{}
	}
	for _, each := range announced {
		if announcement.batches[each.Software] == nil {
			announcement.batches[each.Software] = o.joinBatch(ctx, announcedKey(key), each.announced())
		}
	}
}

// AwaitAnnounced is AwaitRecord for a call whose servers' versions have been announced.
func (o *Origins) AwaitAnnounced(ctx context.Context, announcement *Announcement, key Key, origin Origin) bool {
	call := ctx
	ctx, cancel := context.WithTimeout(call, awaitTimeout)
	defer cancel()
	batch, isOnly, isOnlyBesideBase := announcement.close(origin.Software)
	switch {
	case batch == nil && isOnly && (o.cfg.Bases == nil || !o.needsRecord(origin)):
		return true
	case isOnly && batch != nil && batch.isRecent(ctx):
		o.noteAwaited(announcement, key, batch)
		return true
	case isOnlyBesideBase && batch.isRecent(ctx):
		return true // it is not taken for the base version's, and its origin is recorded as it goes on
	case ctx.Err() != nil:
		o.noteWaitFailed(call, batch)
		return false // the announcement will still be recorded
	case isOnly && batch != nil:
		// If the stream begins anew at another version, this record does not contradict that one's origin.
		batch = o.joinBatch(ctx, announcedKey(key), origin.announced())
	default:
		batch = o.joinBatch(ctx, key, origin)
	}
	if !batch.wait(ctx) {
		o.noteWaitFailed(call, batch)
		return false
	}
	o.noteAwaited(announcement, key, batch)
	return true
}

// noteAwaited records that a batch has recorded the origin of a stream that is about to begin.
func (o *Origins) noteAwaited(announcement *Announcement, key Key, batch *awaitedBatch) {
	announcement.mu.Lock()
	announcement.recorded = batch
	announcement.mu.Unlock()
	o.noteRecorded([]Key{key}, batch.recorder, batch.recordedAt)
}

// Begin is Note for a stream whose first event has waited (AwaitAnnounced). Until then the stream may begin at another
// version, so that no box may hold its origin.
func (o *Origins) Begin(announcement *Announcement, key Key, origin Origin) {
	o.Note(key, origin)
	announcement.mu.Lock()
	recorded := announcement.recorded
	announcement.mu.Unlock()
	if recorded != nil {
		o.noteRecorded([]Key{key}, recorded.recorder, recorded.recordedAt)
	}
}
