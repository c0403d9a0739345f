// Package ring holds the bounded ring that joins two stages.
//
// Every queue between two duties of cometlock is bounded, because an unbounded
// queue turns overload into latency that nobody chose. A full ring is a normal
// answer: the caller of TryPush turns it into a refusal that says "not run".
package ring

import (
	"context"
	"sync/atomic"
)

// Config sets up a Ring.
type Config struct {
	// Name identifies the ring in metrics and state dumps.
	Name string
	// Capacity is the number of items the ring holds; values below 1 mean 1.
	Capacity int
}

// Ring is a bounded first-in first-out queue that is safe for any number of
// producers and consumers.
type Ring[T any] struct {
	name     string
	items    chan T
	rejected atomic.Uint64
}

// New makes an empty ring.
func New[T any](cfg Config) *Ring[T] {
	return &Ring[T]{name: cfg.Name, items: make(chan T, max(cfg.Capacity, 1))}
}

// TryPush adds an item and reports whether there was room for it.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Push adds an item, waiting for room until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop takes the oldest item, waiting for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items gives the receiving end, for a loop that selects over several rings.
func (r *Ring[T]) Items() <-chan T { return r.items }

// State is the part of a state dump that describes one ring.
type State struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Rejected uint64 `json:"rejected"`
}

// State describes the ring as it is now.
func (r *Ring[T]) State() State {
	return State{Name: r.name, Depth: len(r.items), Capacity: cap(r.items), Rejected: r.rejected.Load()}
}
