package fakeengine

import (
	"container/list"
	"sync"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
)

// maxReplayedEvents is how many cache events the engine keeps for replay at least.
// A reader that is further behind gets a snapshot.
const maxReplayedEvents = 8192

// cache is a prefix cache with LRU eviction. Of the blocks of one chain the last
// one is evicted first, since a block is useless without the blocks before it.
type cache struct {
	mu       sync.Mutex
	capacity int
	blocks   map[prefix.Key]*list.Element
	recent   *list.List // elements of type block, most recently used first
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

// lookUp returns how many blocks from the beginning of the chain are cached, and
// marks them as used.
func (c *cache) lookUp(keys []prefix.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	for cached < len(keys) && c.blocks[keys[cached]] != nil {
		cached++
	}
	c.touch(keys[:cached])
	return cached
}

// touch marks blocks as used. It begins with the last block of the chain, so that
// the first one becomes the most recently used.
func (c *cache) touch(keys []prefix.Key) {
	for i := len(keys) - 1; i >= 0; i-- {
		if element := c.blocks[keys[i]]; element != nil {
			c.recent.MoveToFront(element)
		}
	}
}

// store adds the blocks of a chain, up to the capacity of the cache.
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
	evicted, ok := c.recent.Remove(element).(block)
	if !ok {
		return
	}
	delete(c.blocks, evicted.key)
	c.emit(engine.BlockRemoved, evicted.key, evicted.depth)
}

func (c *cache) emit(kind engine.EventKind, key prefix.Key, depth int) {
	c.sequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.sequence, Kind: kind, Key: key, Depth: depth})
	if len(c.events) > 2*maxReplayedEvents {
		c.events = append([]engine.CacheEvent(nil), c.events[maxReplayedEvents:]...)
	}
}

// eventsAfter returns the events after a sequence number, or a snapshot when some
// of them have been dropped.
func (c *cache) eventsAfter(sequence int64) engine.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.sequence - int64(len(c.events)) + 1
	if sequence >= first-1 && sequence <= c.sequence {
		events := append([]engine.CacheEvent(nil), c.events[sequence-first+1:]...)
		return engine.CacheEvents{Events: events, Last: c.sequence}
	}
	answer := engine.CacheEvents{Snapshot: true, Last: c.sequence}
	for element := c.recent.Back(); element != nil; element = element.Prev() {
		if cachedBlock, ok := element.Value.(block); ok {
			answer.Events = append(answer.Events, engine.CacheEvent{Kind: engine.BlockStored, Key: cachedBlock.key, Depth: cachedBlock.depth})
		}
	}
	return answer
}

func (c *cache) lastSequence() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sequence
}

// cachedKeys returns those of the keys that are cached.
func (c *cache) cachedKeys(keys []prefix.Key) []prefix.Key {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cached []prefix.Key
	for _, key := range keys {
		if c.blocks[key] != nil {
			cached = append(cached, key)
		}
	}
	return cached
}
