package zone

import (
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// MaxRunners is how many runners of one zone the index tells apart. The
// two-year size has 82 a zone.
const MaxRunners = 128

// runnerSet holds one bit a runner.
type runnerSet [MaxRunners / 64]uint64

func (s *runnerSet) add(runner int)     { s[runner/64] |= 1 << (runner % 64) }
func (s *runnerSet) remove(runner int)  { s[runner/64] &^= 1 << (runner % 64) }
func (s runnerSet) has(runner int) bool { return s[runner/64]&(1<<(runner%64)) != 0 }
func (s runnerSet) empty() bool         { return s == runnerSet{} }

// Index knows which runner is thought to hold which kept context. It keeps only
// landmark blocks (see prefix.Landmark): a context of 400 blocks costs 16
// entries, and one that shares most of its prompt with another costs the few
// that differ.
//
// What it says is a hint. A wrong one costs prefill work, never a wrong answer.
type Index struct {
	blocks map[uint64]runnerSet
}

// NewIndex makes an empty index.
func NewIndex() *Index { return &Index{blocks: map[uint64]runnerSet{}} }

// Len is the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

// ApplyEvent takes over one cache event of a runner.
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

// AddExpected records what a runner will hold once it has prefilled a chain, ahead
// of its events.
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

// Clear forgets all that a runner holds.
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

// WarmTokens writes into tokens, for each runner, how many tokens of the chain it is
// thought to hold. It looks at the deepest landmarks first, since a runner that
// holds a block holds all before it.
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
