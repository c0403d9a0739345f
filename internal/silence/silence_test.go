package silence_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/silence"
)

func TestShouldTryAnother(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name     string
		observed silence.Observation
		another  bool
		next     time.Duration
	}{
		{"no response yet, within the limit", silence.Observation{Objective: time.Second, Idle: 500 * ms}, false, 1500 * ms},
		{"no response for two objectives", silence.Observation{Objective: time.Second, Idle: 2 * time.Second}, true, 0},
		{"no objective", silence.Observation{Idle: 399 * ms}, false, ms},
		{"no objective, and no response for long", silence.Observation{Idle: 400 * ms}, true, 0},
		{"a prompt at a server that responds to other calls", silence.Observation{Objective: time.Second, HasPrompt: true, Responsive: true, Idle: 2 * time.Second}, false, 500 * ms},
		{"the same for five objectives", silence.Observation{Objective: time.Second, HasPrompt: true, Responsive: true, Idle: 5 * time.Second}, true, 0},
		{"a prompt at a server that responds to no call", silence.Observation{Objective: time.Second, HasPrompt: true, Idle: 2 * time.Second}, true, 0},
		{"a stream that pauses", silence.Observation{Objective: time.Second, Started: true, Idle: 1100 * ms}, false, 100 * ms},
		{"a stream that pauses for long", silence.Observation{Objective: time.Second, Started: true, HasPrompt: true, Responsive: true, Idle: 1200 * ms}, true, 0},
		{"the check itself was delayed", silence.Observation{Objective: time.Second, Started: true, Idle: 3 * time.Second, Delay: 101 * ms}, false, 100 * ms},
		{"a check that runs a little late", silence.Observation{Objective: time.Second, Started: true, Idle: 1250 * ms, Delay: 50 * ms}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			another, next := test.observed.ShouldTryAnother()
			g.Expect(another).To(Equal(test.another))
			g.Expect(next).To(Equal(test.next))
		})
	}
}
