package fakeengine

import (
	"container/heap"
	"context"
	"sync"
)

// prioritySemaphore limits the number of concurrent runs. It admits waiting runs
// by priority, and those of the same priority first in, first out.
type prioritySemaphore struct {
	mu       sync.Mutex
	free     int
	sequence int
	waiters  waiters
}

type waiter struct {
	priority, sequence int
	index              int
	acquired           chan struct{}
}

func newPrioritySemaphore(capacity int) *prioritySemaphore { return &prioritySemaphore{free: capacity} }

func (g *prioritySemaphore) acquire(ctx context.Context, priority int) bool {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return true
	}
	g.sequence++
	w := &waiter{priority: priority, sequence: g.sequence, acquired: make(chan struct{})}
	heap.Push(&g.waiters, w)
	g.mu.Unlock()
	select {
	case <-w.acquired:
		return true
	case <-ctx.Done():
		g.cancelWait(w)
		return false
	}
}

// cancelWait removes a waiter from the queue. If the waiter was admitted at the
// same moment, its place is released.
func (g *prioritySemaphore) cancelWait(w *waiter) {
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

func (g *prioritySemaphore) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.waiters) == 0 {
		g.free++
		return
	}
	if w, ok := heap.Pop(&g.waiters).(*waiter); ok {
		close(w.acquired)
	}
}

func (g *prioritySemaphore) waiting() int {
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
