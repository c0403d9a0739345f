package silence_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/silence"
)

func TestWhenACallLooksForAnotherServer(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name  string
		seen  silence.Seen
		looks bool
		again time.Duration
	}{
		{"nothing yet, soon", silence.Seen{Objective: time.Second, Silent: 500 * ms}, false, 1500 * ms},
		{"nothing for two objectives", silence.Seen{Objective: time.Second, Silent: 2 * time.Second}, true, 0},
		{"no objective", silence.Seen{Silent: 399 * ms}, false, ms},
		{"no objective, and nothing for long", silence.Seen{Silent: 400 * ms}, true, 0},
		{"a prompt at a server that others hear of", silence.Seen{Objective: time.Second, Prompt: true, Speaks: true, Silent: 2 * time.Second}, false, 500 * ms},
		{"the same for five objectives", silence.Seen{Objective: time.Second, Prompt: true, Speaks: true, Silent: 5 * time.Second}, true, 0},
		{"a prompt at a server that nobody hears of", silence.Seen{Objective: time.Second, Prompt: true, Silent: 2 * time.Second}, true, 0},
		{"a stream that pauses", silence.Seen{Objective: time.Second, Begun: true, Silent: 1100 * ms}, false, 100 * ms},
		{"a stream that pauses for long", silence.Seen{Objective: time.Second, Begun: true, Prompt: true, Speaks: true, Silent: 1200 * ms}, true, 0},
		{"the box itself was held up", silence.Seen{Objective: time.Second, Begun: true, Silent: 3 * time.Second, Late: 101 * ms}, false, 100 * ms},
		{"a look that comes a little late", silence.Seen{Objective: time.Second, Begun: true, Silent: 1250 * ms, Late: 50 * ms}, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			looks, again := test.seen.Judge()
			g.Expect(looks).To(Equal(test.looks))
			g.Expect(again).To(Equal(test.again))
		})
	}
}
