package kept

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// This file exports contexts from runners to store boxes, and evicts blocks from full
// store boxes.

// Loop exports contexts until ctx is cancelled.
func (o *Offloader) Loop(ctx context.Context) {
	for {
		next, err := o.exports.Pop(ctx)
		if err != nil {
			return
		}
		o.export(ctx, next)
	}
}

// export has a runner write a context to its store box. Blocks that the store box already
// has, such as a prefix that several contexts share, have the same keys and are stored
// once.
func (o *Offloader) export(ctx context.Context, job exportJob) {
	box := o.storeFor(job.keys[len(job.keys)-1])
	if box == nil || !box.waitForBudget(ctx, job.bytes) {
		o.countDropped()
		return
	}
	result, err := o.cfg.Engines.Export(ctx, job.server.Address, engine.Transfer{Store: box.server.Address, Keys: job.keys})
	complete := err == nil && result.Blocks == len(job.keys)
	if result.Full {
		o.makeRoom(ctx, box)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Exports++
	if !complete {
		o.counts.ExportsDropped++
		return
	}
	for len(o.contexts) >= o.cfg.MaxContexts {
		if oldest, ok := o.lru.Back().Value.(storedContext); ok {
			o.removeContext(oldest.last)
		}
	}
	stored := storedContext{last: job.keys[len(job.keys)-1], keys: job.keys, store: box.server.Name}
	o.contexts[stored.last] = o.lru.PushFront(stored)
}

// maxExportWait is how long an export may wait for its link. Other exports queue behind
// it, and are dropped when the queue is full.
const maxExportWait = 5 * time.Second

// waitForBudget waits until the link's budget for exports covers the given size, and
// reports whether it does within maxExportWait.
func (s *storeBox) waitForBudget(ctx context.Context, size int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxExportWait)
	defer cancel()
	return s.exportLimiter.WaitN(ctx, int(size)) == nil
}

// storeFor returns the store box of a context by rendezvous hashing.
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

// rendezvousRank returns the rank of a store box for a context; the highest wins.
func rendezvousRank(name string, last prefix.Key) uint64 {
	return xxhash.Sum64String(name + last.String())
}

// maxFreedBlocks is the maximum number of blocks to evict at once, about the size of one
// long context.
const maxFreedBlocks = 64

// makeRoom evicts the least recently used blocks of a full store box. It requests their
// keys from the store box: this entry box has no record of blocks that were stored by
// an entry box that has since been replaced, and they must be evicted too.
func (o *Offloader) makeRoom(ctx context.Context, box *storeBox) {
	keys, err := o.cfg.Stores.LeastRecent(ctx, box.server.Address, maxFreedBlocks)
	if err != nil {
		return
	}
	for _, key := range keys {
		if err := o.cfg.Stores.Free(ctx, box.server.Address, key); err != nil {
			return
		}
		o.mu.Lock()
		o.removeContext(key)
		o.mu.Unlock()
	}
}
