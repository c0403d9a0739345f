package zone

import (
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// MaxRunners is the maximum number of runners of a zone in the index. The planned size
// in two years is 82 runners a zone.
const MaxRunners = 128

// runnerSet is a set of runners with one bit for each.
type runnerSet [MaxRunners / 64]uint64

func (s *runnerSet) add(runner int)     { s[runner/64] |= 1 << (runner % 64) }
func (s *runnerSet) remove(runner int)  { s[runner/64] &^= 1 << (runner % 64) }
func (s runnerSet) has(runner int) bool { return s[runner/64]&(1<<(runner%64)) != 0 }
func (s runnerSet) empty() bool         { return s == runnerSet{} }

// Index is an approximate index of the blocks in the runners' prefix caches. It contains
// blocks at some depths only (see prefix.IsIndexedDepth): a context of 400 blocks takes
// 16 entries, and a context that shares a prefix with another one takes additional
// entries only for the rest.
//
// The index is a hint. An error in it leads to unnecessary prefill work but never to a
// wrong response.
type Index struct {
	blocks map[uint64]runnerSet
}

// NewIndex creates an empty index.
func NewIndex() *Index { return &Index{blocks: map[uint64]runnerSet{}} }

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

// ApplyEvent updates the index by one cache event of a runner.
func (x *Index) ApplyEvent(runner int, event engine.CacheEvent) {
	if !prefix.IsIndexedDepth(event.Depth) {
		return
	}
	switch event.Kind {
	case engine.BlockStored:
		x.add(runner, event.Key.Short())
	case engine.BlockRemoved:
		x.remove(runner, event.Key.Short())
	case engine.CacheCleared:
		x.Clear(runner)
	}
}

// AddExpected adds the blocks that a runner will have cached once it has prefilled a
// prompt, before the cache events for them arrive.
func (x *Index) AddExpected(runner int, chain prefix.Chain) {
	for i, key := range chain.Keys() {
		if prefix.IsIndexedDepth(i + 1) {
			x.add(runner, key.Short())
		}
	}
}

func (x *Index) add(runner int, block uint64) {
	set := x.blocks[block]
	set.add(runner)
	x.blocks[block] = set
}

func (x *Index) remove(runner int, block uint64) {
	set, ok := x.blocks[block]
	if !ok {
		return
	}
	set.remove(runner)
	if set.empty() {
		delete(x.blocks, block)
		return
	}
	x.blocks[block] = set
}

// Clear removes all blocks of a runner.
func (x *Index) Clear(runner int) {
	for block, set := range x.blocks {
		if !set.has(runner) {
			continue
		}
		set.remove(runner)
		if set.empty() {
			delete(x.blocks, block)
			continue
		}
		x.blocks[block] = set
	}
}

// WarmTokens sets tokens[i] to the number of tokens of the chain that runner i has in its
// cache according to the index. It looks up the deepest blocks first, since a runner
// that has a block also has all blocks before it.
func (x *Index) WarmTokens(chain prefix.Chain, tokens []int) {
	clear(tokens)
	keys := chain.Keys()
	missing := len(tokens)
	for depth := len(keys); depth > 0 && missing > 0; depth-- {
		if !prefix.IsIndexedDepth(depth) {
			continue
		}
		set, ok := x.blocks[keys[depth-1].Short()]
		if !ok {
			continue
		}
		for runner := range tokens {
			if tokens[runner] == 0 && set.has(runner) {
				tokens[runner] = depth * prefix.BlockTokens
				missing--
			}
		}
	}
}
