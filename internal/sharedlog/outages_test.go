package sharedlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// Single calls that fail while the log is busy must not count as an outage, and calls that all fail for a second must.
func TestABusyLogCountsAsAway(t *testing.T) {
	tests := []struct {
		name string
		// outcomes are those of calls that are 400 ms apart.
		outcomes []string
		want     bool
	}{
		{"calls succeed", []string{"done", "done", "done", "done"}, false},
		{"some calls fail", []string{"done", "refused", "done", "unknown", "done"}, false},
		{"calls fail for 800 ms", []string{"unknown", "refused", "done"}, false},
		{"calls fail for 1.2 s", []string{"unknown", "refused", "unknown", "done"}, true},
		{"calls are answered with a condition that failed", []string{"conflict", "conflict", "expired", "done"}, false},
		{"calls still fail", []string{"done", "unknown", "unknown", "unknown", "unknown"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var outages Outages
				for _, outcome := range test.outcomes {
					time.Sleep(400 * time.Millisecond)
					outages.record(outcome)
				}
				time.Sleep(time.Second)
				elapsed, seen := outages.SinceLast()
				g.Expect(seen).To(Equal(test.want))
				if seen {
					g.Expect(elapsed).To(Equal(time.Second))
				}
			})
		})
	}
}

// blockedLog is a log whose reads end with their context while it is blocked.
type blockedLog struct {
	Log
	blocked bool
}

// Read implements Log.
func (l *blockedLog) Read(ctx context.Context, _ Stream, _ int64, _ time.Duration) (Page, error) {
	if l.blocked {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	return Page{}, nil
}

// A long poll that this box ends, as it follows another box from now on, counted as an outage if the next call came a
// second later. Streams without a record were refused after it.
func TestALongPollThatThisBoxEndsCountsAsAnOutage(t *testing.T) {
	tests := []struct {
		name string
		// end ends the poll.
		end  func(ctx context.Context) (context.Context, context.CancelFunc)
		want bool
	}{
		{"the box ends it", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			return ctx, cancel
		}, false},
		{"the log does not answer", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				underlying := &blockedLog{blocked: true}
				log := NewMeasured(underlying, tally.NoopScope)
				ctx, cancel := test.end(t.Context())
				defer cancel()
				_, err := log.Read(ctx, Servers, 0, time.Minute)
				g.Expect(err).To(HaveOccurred())
				time.Sleep(2 * time.Second)
				underlying.blocked = false
				_, err = log.Read(t.Context(), Servers, 0, 0)
				g.Expect(err).NotTo(HaveOccurred())
				_, seen := log.Outages().SinceLast()
				g.Expect(seen).To(Equal(test.want))
			})
		})
	}
}
