// Announcing to which software versions a call is sent, so that its first event need not wait for a record.
//
// Most servers take longer to their first event than a record takes. So a box records the version when it sends the
// call, under a key of its own (announcedKey). If all servers that a call was sent to are of one version, that record
// is the origin; otherwise the origin itself is recorded as soon as it is known.

package streamorigin

import (
	"context"
	"sync"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Announcement has the software versions that one call was sent to. The zero value has none.
type Announcement struct {
	mu sync.Mutex
	// batches has the record of each version.
	batches map[string]*awaitedBatch
	// isClosed is set when the stream begins.
	isClosed bool
}

// close ends the announcement of versions. It returns the batch of a version if no other one was announced;
// isSole is false if another one was.
func (a *Announcement) close(software string) (batch *awaitedBatch, isSole bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
	batch = a.batches[software]
	return batch, len(a.batches) == 0 || len(a.batches) == 1 && batch != nil
}

// announcedKey returns the key for the versions that a call is sent to.
func announcedKey(key Key) Key {
	for i := range key {
		key[i] = ^key[i]
	}
	return key
}

// Announce records that a call is being sent to a server, whose first event would have to wait for a record.
func (o *Origins) Announce(ctx context.Context, announcement *Announcement, key Key, origin Origin) {
	if o.cfg.Bases == nil || !o.needsRecord(origin.Service, origin.Software) {
		return
	}
	announcement.mu.Lock()
	defer announcement.mu.Unlock()
	if announcement.isClosed || announcement.batches[origin.Software] != nil {
		return
	}
	if announcement.batches == nil {
		announcement.batches = map[string]*awaitedBatch{}
	}
	announcement.batches[origin.Software] = o.joinBatch(ctx, announcedKey(key), origin)
}

// AwaitAnnounced is AwaitRecord for a call whose servers' versions have been announced.
func (o *Origins) AwaitAnnounced(ctx context.Context, announcement *Announcement, key Key, origin Origin) bool {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	batch, isSole := announcement.close(origin.Software)
	switch {
	case batch == nil && isSole:
		return o.AwaitRecord(ctx, key, origin)
	case isSole && batch.wait(ctx) && boottime.Since(batch.recordedAt) < rerecordInterval:
		o.noteRecorded([]Key{key}, batch.recorder, batch.recordedAt)
		return true
	default:
		return o.joinBatch(ctx, key, origin).wait(ctx)
	}
}
