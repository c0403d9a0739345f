package kept

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// Exports: contexts on their way from a runner into a store box, and the room
// that is made for them.

// Loop exports contexts until ctx ends.
func (o *Offloader) Loop(ctx context.Context) {
	for {
		next, err := o.exports.Pop(ctx)
		if err != nil {
			return
		}
		o.export(ctx, next)
	}
}

// export has a runner put a context into the store box of its home. Blocks that
// are there already, such as a beginning that several contexts share, are kept
// once: they have the same names.
func (o *Offloader) export(ctx context.Context, job exportJob) {
	to := o.storeFor(job.keys[len(job.keys)-1])
	if to == nil || !to.waitForBudget(ctx, job.bytes) {
		o.countDropped()
		return
	}
	answer, err := o.cfg.Engines.Export(ctx, job.server.Address, engine.Transfer{Store: to.server.Address, Keys: job.keys})
	whole := err == nil && answer.Blocks == len(job.keys)
	if answer.Full {
		o.makeRoom(ctx, to)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Exports++
	if !whole {
		o.counts.ExportsDropped++
		return
	}
	for len(o.contexts) >= o.cfg.MaxContexts {
		if oldest, ok := o.lru.Back().Value.(storedContext); ok {
			o.removeContext(oldest.last)
		}
	}
	stored := storedContext{last: job.keys[len(job.keys)-1], keys: job.keys, store: to.server.Name}
	o.contexts[stored.last] = o.lru.PushFront(stored)
}

// maxExportWait is how long an export may wait for its link. Meanwhile others
// queue up behind it, and those that find no room are dropped.
const maxExportWait = 5 * time.Second

// awaitBudget waits until the link has room for an export.
func (s *storeBox) waitForBudget(ctx context.Context, size int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxExportWait)
	defer cancel()
	return s.exports.WaitN(ctx, int(size)) == nil
}

// home gives the store box of a context, by rendezvous hashing.
func (o *Offloader) storeFor(last prefix.Key) *storeBox {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	var best *storeBox
	var highest uint64
	for name, candidate := range o.stores {
		if !candidate.usable(now) {
			continue
		}
		if rank := rendezvousRank(name, last); best == nil || rank > highest {
			best, highest = candidate, rank
		}
	}
	return best
}

// rankOf ranks a store box for a context.
func rendezvousRank(name string, last prefix.Key) uint64 {
	return xxhash.Sum64String(name + last.String())
}

// maxFreed is how many blocks make room at once, about one long context.
const maxFreedBlocks = 64

// makeRoom frees what was looked up least lately in a full store box. The box
// itself tells what that is: blocks of contexts that this entry box never knew,
// because another one had them put there and was replaced, must go too.
func (o *Offloader) makeRoom(ctx context.Context, in *storeBox) {
	keys, err := o.cfg.Stores.LeastRecent(ctx, in.server.Address, maxFreedBlocks)
	if err != nil {
		return
	}
	for _, key := range keys {
		if err := o.cfg.Stores.Free(ctx, in.server.Address, key); err != nil {
			return
		}
		o.mu.Lock()
		o.removeContext(key)
		o.mu.Unlock()
	}
}
