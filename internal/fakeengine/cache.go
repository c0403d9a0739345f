package fakeengine

import (
	"container/list"
	"sync"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// keptEvents is how many cache events the engine can repeat; a reader that is
// further behind gets a snapshot.
const keptEvents = 8192

// cache is a prefix cache of limited size. The least recently used block goes
// first, and of one chain the last block, since a block without those before
// it serves nobody.
type cache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[prefix.Key]*list.Element
	recent   *list.List // of block, most recently used first
	events   []engine.CacheEvent
	sequence int64
}

type block struct {
	key   prefix.Key
	depth int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, blocks: map[prefix.Key]*list.Element{}, recent: list.New()}
}

// use gives how many blocks from the beginning of the chain are cached, and
// marks them as just used.
func (c *cache) use(keys []prefix.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	warm := 0
	for warm < len(keys) && c.blocks[keys[warm]] != nil {
		warm++
	}
	c.touch(keys[:warm])
	return warm
}

// touch marks blocks as used, the first of the chain last, so that the first
// is the most recent one.
func (c *cache) touch(keys []prefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if element := c.blocks[keys[i]]; element != nil {
			c.recent.MoveToFront(element)
		}
	}
}

// store adds the blocks of a chain, as far as they fit.
func (c *cache) store(keys []prefix.Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	keys = keys[:min(len(keys), c.capacity)]
	for i, key := range keys {
		if c.blocks[key] != nil {
			continue
		}
		c.blocks[key] = c.recent.PushFront(block{key: key, depth: i + 1})
		c.emit(engine.BlockStored, key, i+1)
	}
	c.touch(keys)
	for c.recent.Len() > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	element := c.recent.Back()
	old, ok := c.recent.Remove(element).(block)
	if !ok {
		return
	}
	delete(c.blocks, old.key)
	c.emit(engine.BlockRemoved, old.key, old.depth)
}

func (c *cache) emit(kind engine.EventKind, key prefix.Key, depth int) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Kind: kind, Key: key, Depth: depth})
	if len(c.events) > 2*keptEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[keptEvents:]...)
	}
}

// after gives the events after a sequence number, or a snapshot when some of
// them are no longer held.
func (c *cache) after(sequence int64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.sequence - int64(len(c.events)) + 1
	if sequence >= first-1 && sequence <= c.sequence {
		events := append([]engine.CacheEvent(nil), c.events[sequence-first+1:]...)
		return engine.CacheEvents{Events: events, Last: c.sequence}
	}
	answer := engine.CacheEvents{Snapshot: true, Last: c.sequence}
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		if held, ok := element.Value.(block); ok {
			answer.Events = append(answer.Events, engine.CacheEvent{Kind: engine.BlockStored, Key: held.key, Depth: held.depth})
		}
	}
	return answer
}

func (c *cache) last() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// holds reports which of the keys are cached.
func (c *cache) holds(keys []prefix.Key) []prefix.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []prefix.Key
	for _, key := range keys {
		if c.blocks[key] != nil {
			held = append(held, key)
		}
	}
	return held
}
