package fleet

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/coldstart"
)

// Owners place most prompts, but grant no places at cold servers with a limit, since a single box
// counts the calls there. Cold servers of a platform without a limit must be granted: when they
// were excluded too, they got no prompts until they were warm.
func TestGrantExcludesOnlyBoundedColdServers(t *testing.T) {
	tests := []struct {
		name    string
		limit   coldstart.Limit
		granted bool
	}{
		{"no limit", coldstart.Limit{ColdTime: time.Second}, true},
		{"a limit", coldstart.Limit{ColdTime: time.Second, PerSecond: 14, Overage: 1}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := New(Config{})
			f.SetColdLimits(map[string]coldstart.Limit{"s": test.limit})
			f.Apply([]Update{{Key: "r", Offset: 1, Server: &Server{
				Incarnation: "r", Service: "s", Slots: 4, ColdFor: time.Minute, Weights: map[string]int{"m": 1},
			}}})
			granted := f.Grant(grantQuery())
			g.Expect(granted != nil).To(Equal(test.granted))
			if granted != nil {
				granted.Release() // the runner's memory fits one prompt
			}
			g.Expect(f.Choose(grantQuery())).NotTo(BeNil(), "the box that may call the cold server")
		})
	}
}
