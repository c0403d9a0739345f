package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// The log line of a refused call depends on this count.
func TestShortage(t *testing.T) {
	limit := 100 * time.Millisecond // 6,000 tokens at the initial rate
	cases := []struct {
		name   string
		oldest int
		load   fleet.Load
		want   fleet.Shortage
	}{
		{name: "other weights", oldest: 2, want: fleet.Shortage{Listed: 1}},
		{name: "time", oldest: 1, load: fleet.Load{PendingTokens: 6000}, want: fleet.Shortage{Listed: 1, Usable: 1, WithoutTime: 1, InFlight: 1}},
		{name: "memory", oldest: 1, load: fleet.Load{HeldTokens: 70_000}, want: fleet.Shortage{Listed: 1, Usable: 1, WithoutMemory: 1, InFlight: 1, HeldTokens: 70_000}},
		{name: "both", oldest: 1, load: fleet.Load{PendingTokens: 6000, HeldTokens: 70_000}, want: fleet.Shortage{Listed: 1, Usable: 1, WithoutTime: 1, WithoutMemory: 1, InFlight: 1, HeldTokens: 70_000}},
		{name: "nothing", oldest: 1, want: fleet.Shortage{Listed: 1, Usable: 1, InFlight: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet("s")
			c.load.Incarnation, c.load.InFlight = "s", 1
			f.SetRemoteLoads("other", []fleet.Load{c.load})
			query := prompt(c.oldest, 2000, limit)
			query.Load.Tokens, query.Load.Memory = 15_000, 100_000
			g.Expect(f.Shortage(query)).To(Equal(c.want))
			g.Expect(f.Choose(query) == nil).To(Equal(c.name != "nothing"), "Shortage agrees with Choose")
		})
	}
}
