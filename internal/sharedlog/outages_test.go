package sharedlog

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
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
