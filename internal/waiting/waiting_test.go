package waiting_test

import (
	"context"
	"testing"
	"time"

	"github.com/cometlock/cometlock/internal/waiting"
)

func TestForWaitsForTheTime(t *testing.T) {
	const length = 20 * time.Millisecond
	began := time.Now()
	if !waiting.For(t.Context(), length) {
		t.Error("For returned false although the context has not ended")
	}
	if took := time.Since(began); took < length {
		t.Errorf("waited for %v, want at least %v", took, length)
	}
}

func TestForEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	if waiting.For(ctx, time.Hour) {
		t.Error("For returned true before the hour passed")
	}
}

func TestForWithoutATime(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	if !waiting.For(ctx, 0) {
		t.Error("For returned false before the context ended")
	}
	cancel()
	if waiting.For(ctx, 0) {
		t.Error("For returned true after the context ended")
	}
}
