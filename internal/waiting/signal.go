package waiting

import (
	"context"
	"sync"
	"time"
)

// Signal wakes all goroutines that wait for it. The zero value is ready to use.
type Signal struct {
	mu   sync.Mutex
	wake chan struct{}
}

// Chan returns a channel that the next Broadcast closes.
func (s *Signal) Chan() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

// Broadcast wakes all goroutines that are waiting now.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

// ForOrSignal waits for a duration, until wake is closed or until ctx ends, whichever comes first. It
// does not wait if the duration is not positive: the race detector may crash when several goroutines
// of a synctest bubble receive from timers that have already expired.
func ForOrSignal(ctx context.Context, duration time.Duration, wake <-chan struct{}) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// WithSignal returns a context that ends when wake is closed. The caller calls cancel once it no longer
// needs the context.
func WithSignal(ctx context.Context, wake <-chan struct{}) (ending context.Context, cancel context.CancelFunc) {
	ending, cancel = context.WithCancel(ctx)
	go runCancel(ending, cancel, wake)
	return ending, cancel
}

// runCancel cancels a context when wake is closed.
func runCancel(ctx context.Context, cancel context.CancelFunc, wake <-chan struct{}) {
	select {
	case <-wake:
		cancel()
	case <-ctx.Done():
	}
}
