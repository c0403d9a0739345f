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
func (k *Offloader) Loop(ctx context.Context) {
	for {
		next, err := k.exports.Pop(ctx)
		if err != nil {
			return
		}
		k.export(ctx, next)
	}
}

// export has a runner put a context into the store box of its home. Blocks that
// are there already, such as a beginning that several contexts share, are kept
// once: they have the same names.
func (k *Offloader) export(ctx context.Context, offered export) {
	to := k.home(offered.keys[len(offered.keys)-1])
	if to == nil || !to.awaitBudget(ctx, offered.bytes) {
		k.drop()
		return
	}
	answer, err := k.cfg.Engines.Export(ctx, offered.server.Address, engine.Transfer{Store: to.server.Address, Keys: offered.keys})
	whole := err == nil && answer.Blocks == len(offered.keys)
	if answer.Full {
		k.makeRoom(ctx, to)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Exports++
	if !whole {
		k.counts.ExportsDropped++
		return
	}
	for len(k.held) >= k.cfg.MaxContexts {
		if oldest, ok := k.recent.Back().Value.(keptContext); ok {
			k.forget(oldest.last)
		}
	}
	kept := keptContext{last: offered.keys[len(offered.keys)-1], keys: offered.keys, store: to.server.Name}
	k.held[kept.last] = k.recent.PushFront(kept)
}

// maxExportWait is how long an export may wait for its link. Meanwhile others
// queue up behind it, and those that find no room are dropped.
const maxExportWait = 5 * time.Second

// awaitBudget waits until the link has room for an export.
func (s *store) awaitBudget(ctx context.Context, size int64) bool {
	ctx, cancel := context.WithTimeout(ctx, maxExportWait)
	defer cancel()
	return s.exports.WaitN(ctx, int(size)) == nil
}

// home gives the store box of a context, by rendezvous hashing.
func (k *Offloader) home(last prefix.Key) *store {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var best *store
	var highest uint64
	for name, candidate := range k.stores {
		if !candidate.usable(now) {
			continue
		}
		if rank := rankOf(name, last); best == nil || rank > highest {
			best, highest = candidate, rank
		}
	}
	return best
}

// rankOf ranks a store box for a context.
func rankOf(name string, last prefix.Key) uint64 {
	return xxhash.Sum64String(name + last.String())
}

// maxFreed is how many blocks make room at once, about one long context.
const maxFreed = 64

// makeRoom frees what was looked up least lately in a full store box. The box
// itself tells what that is: blocks of contexts that this entry box never knew,
// because another one had them put there and was replaced, must go too.
func (k *Offloader) makeRoom(ctx context.Context, in *store) {
	keys, err := k.cfg.Stores.LeastRecent(ctx, in.server.Address, maxFreed)
	if err != nil {
		return
	}
	for _, key := range keys {
		if err := k.cfg.Stores.Free(ctx, in.server.Address, key); err != nil {
			return
		}
		k.mu.Lock()
		k.forget(key)
		k.mu.Unlock()
	}
}
