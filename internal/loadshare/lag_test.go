package loadshare

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// In a large fleet a box cannot send to all others often. Boxes of its own zone take precedence,
// since their calls go to the same runners.
func TestTheOwnZoneIsSentReportsMoreOften(t *testing.T) {
	tests := []struct {
		name              string
		own, others       int
		lag, lagElsewhere time.Duration
	}{
		{"a small fleet", 2, 6, minDirectInterval, minDirectInterval},
		{"a large fleet", 20, 61, time.Second / 6, 61 * time.Second / 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := New(Config{Box: "a", Zone: "z"})
			for i := range test.own {
				s.peers[fmt.Sprint("own-", i)] = &peer{zone: "z"}
			}
			for i := range test.others {
				s.peers[fmt.Sprint("other-", i)] = &peer{zone: "y"}
			}
			g.Expect(s.Lag(true)).To(BeNumerically("~", test.lag, time.Millisecond))
			g.Expect(s.Lag(false)).To(BeNumerically("~", test.lagElsewhere, time.Millisecond))
		})
	}
}
