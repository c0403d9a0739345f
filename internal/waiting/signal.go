package waiting

import (
	"context"
	"sync"
	"time"
)

// Signal wakes all that wait for it. The zero value is ready to use.
type Signal struct {
	mu   sync.Mutex
	wake chan struct{}
}

// Chan gives a channel that is closed by the next Broadcast.
func (s *Signal) Chan() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return s.wake
}

// Broadcast wakes all that wait now.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

// ForOrSignal waits for a time, or until wake is closed or ctx ends when that comes first.
func ForOrSignal(ctx context.Context, length time.Duration, wake <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-ctx.Done():
	}
}
