package fakeengine

import (
	"container/heap"
	"context"
	"sync"
)

// gate lets a limited number of runs pass at once, the most urgent first and
// those of the same priority in the order they came.
type gate struct {
	mu       sync.Mutex
	free     int
	sequence int
	waiters  waiters
}

type waiter struct {
	priority, sequence int
	index              int
	open               chan struct{}
}

func newGate(capacity int) *gate { return &gate{free: capacity} }

func (g *gate) acquire(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return true
	}
	g.sequence++
	w := &waiter{priority: priority, sequence: g.sequence, open: make(chan struct{})}
	heap.Push(&g.waiters, w)
	g.mu.Unlock()
	select {
	case <-w.open:
		return true
	case <-ctx.Done():
		g.leave(w)
		return false
	}
}

// leave takes a waiter out. One that was let in at the same moment gives its
// place on.
func (g *gate) leave(w *waiter) {
	g.mu.Lock()
	waiting := w.index >= 0
	if waiting {
		heap.Remove(&g.waiters, w.index)
	}
	g.mu.Unlock()
	if !waiting {
		g.release()
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiters) == 0 {
		g.free++
		return
	}
	if w, ok := heap.Pop(&g.waiters).(*waiter); ok {
		close(w.open)
	}
}

func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiters)
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].sequence < w[j].sequence
}

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

func (w *waiters) Push(x any) {
	item, ok := x.(*waiter)
	if !ok {
		return
	}
	item.index = len(*w)
	*w = append(*w, item)
}

func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	old[len(old)-1] = nil
	item.index = -1
	*w = old[:len(old)-1]
	return item
}
