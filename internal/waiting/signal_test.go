package waiting_test

import (
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cometlock/cometlock/internal/waiting"
)

// A goroutine that receives from an expired timer runs the timer itself. In a synctest bubble all
// timers share one context of the race detector, which crashes when two goroutines use it at a time.
func TestWaitsWithoutATimeDoNotCrashTheRaceDetector(t *testing.T) {
	const (
		goroutines = 64
		waits      = 3000
	)
	synctest.Test(t, func(t *testing.T) {
		var running sync.WaitGroup
		for range goroutines {
			running.Go(func() {
				for range waits {
					waiting.ForOrSignal(t.Context(), 0, nil)
				}
			})
		}
		running.Wait()
	})
}

func TestAContextWithSignalEndsWithEither(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var signal waiting.Signal
		signalled, cancelSignalled := waiting.WithSignal(t.Context(), signal.Chan())
		defer cancelSignalled()
		cancelled, cancel := waiting.WithSignal(t.Context(), signal.Chan())
		cancel()
		synctest.Wait()
		if signalled.Err() != nil || cancelled.Err() == nil {
			t.Errorf("before the signal: %v, cancelled: %v", signalled.Err(), cancelled.Err())
		}
		signal.Broadcast()
		synctest.Wait()
		if signalled.Err() == nil {
			t.Error("the context did not end with the signal")
		}
	})
}
