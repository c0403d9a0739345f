// Package ring provides the bounded queue between two stages of a pipeline.
//
// Every queue between stages is bounded, because an unbounded queue turns overload into unbounded
// latency. A full ring is an expected condition: the caller of TryPush then rejects the request and
// reports that it was not run.
package ring

import (
	"context"
	"sync/atomic"
)

// Config configures a Ring.
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

// New creates an empty ring.
func New[T any](cfg Config) *Ring[T] {
	return &Ring[T]{name: cfg.Name, items: make(chan T, max(cfg.Capacity, 1))}
}

// TryPush adds an item without waiting. It returns false if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Push adds an item, and waits for space until ctx ends.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes and returns the oldest item, and waits for one until ctx ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Items returns the channel of items, for a loop that selects over several rings.
func (r *Ring[T]) Items() <-chan T { return r.items }

// State is the part of a state dump that describes one ring.
type State struct {
	Name     string `json:"name"`
	Depth    int    `json:"depth"`
	Capacity int    `json:"capacity"`
	Rejected uint64 `json:"rejected"`
}

// State returns the current state of the ring.
func (r *Ring[T]) State() State {
	return State{Name: r.name, Depth: len(r.items), Capacity: cap(r.items), Rejected: r.rejected.Load()}
}
