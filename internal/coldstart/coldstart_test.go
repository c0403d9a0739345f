package coldstart_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/coldstart"
)

// A window admits its share of what all boxes may send in a second, at any arrival rate.
func TestWindowAdmitsItsShare(t *testing.T) {
	tests := []struct {
		name  string
		limit coldstart.Limit
		// pause is the time between two calls, and most is the maximum that may be admitted in any
		// second.
		pause time.Duration
		most  int
		// least is the minimum that must be admitted in ten seconds.
		least int
	}{
		{"all at once", coldstart.Limit{PerSecond: 14, Overage: 1.5, Slack: 5}, time.Millisecond, 13, 90},
		{"evenly spread", coldstart.Limit{PerSecond: 14, Overage: 1.5, Slack: 5}, 90 * time.Millisecond, 13, 90},
		{"below the limit", coldstart.Limit{PerSecond: 14, Overage: 1.5, Slack: 5}, 250 * time.Millisecond, 4, 40},
		{"no more than it can handle permanently", coldstart.Limit{PerSecond: 4, Overage: 3, Slack: 20}, time.Millisecond, 5, 35},
		{"a limit of one", coldstart.Limit{PerSecond: 1, Overage: 1}, time.Millisecond, 1, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var window coldstart.Window
			var admitted []time.Time
			begin := time.Now()
			for now := begin; now.Sub(begin) < 10*time.Second; now = now.Add(test.pause) {
				if window.HasRoom(test.limit, now) {
					window.Admit(now)
					admitted = append(admitted, now)
				}
			}
			most, first := 0, 0
			for i, at := range admitted {
				for at.Sub(admitted[first]) >= time.Second {
					first++
				}
				most = max(most, i-first+1)
			}
			g.Expect(most).To(BeNumerically("<=", test.most))
			g.Expect(len(admitted)).To(BeNumerically(">=", test.least))
		})
	}
}

func TestLimitWithoutRateIsUnbounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(coldstart.Limit{ColdTime: time.Second, Overage: 1}.Bounded()).To(BeFalse())
	g.Expect(coldstart.Limit{PerSecond: 1}.Bounded()).To(BeTrue())
}
