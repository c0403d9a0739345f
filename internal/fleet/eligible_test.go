package fleet

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/evacuation"
)

// A server may take a call if it is open and each of the shares that it is bounded by has one left, in
// whatever order that is checked.
func TestEligibleServersAreOpenAndHaveAShare(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	seen := map[bool]int{}
	for range 20_000 {
		position := advisory.Position{Rank: random.IntN(2), Present: 2, Listed: 2}
		f := New(Config{LimitPosition: func(string, string) advisory.Position { return position }})
		state := &State{Server: Server{Incarnation: "s", Service: "service", Zone: "a", Slots: 4}, inFlight: random.IntN(4)}
		query := &Query{Service: "service", Zone: "a", ConnectionLimit: random.IntN(4)}
		happens := func() bool { return random.IntN(4) == 0 }
		brittle, tried := random.IntN(2) == 0, happens()
		if brittle {
			state.ownStatements().Inherit(4, 0, now.Add(-time.Minute))
		}
		if tried {
			f.brittle["service"] = &brittleService{tried: "s", triedUntil: now.Add(time.Second)}
		}
		cold := happens()
		if cold {
			f.coldLimits = map[string]coldstart.Limit{"service": {ColdTime: time.Hour, PerSecond: 1}}
			state.coldUntil = now.Add(time.Second)
			f.cfg.OwnsColdServer = func(string, string) bool { return false }
		}
		evacuated := happens()
		f.evacuated.Apply(evacuation.Change{Zone: "a", Evacuate: evacuated, Offset: 1}, now)
		state.Leaving = happens()
		if happens() {
			state.pausedUntil = now.Add(time.Second)
		}
		query.UncappedOnly = happens()

		share := f.roomShare(state, now)
		if tried {
			share++
		}
		open := !state.Leaving && !now.Before(state.pausedUntil) && !evacuated
		want := open && !(brittle && state.inFlight >= share) && !cold && !(query.UncappedOnly && brittle) &&
			(query.ConnectionLimit == 0 || state.inFlight < query.ConnectionLimit)
		seen[want]++
		g.Expect(f.isEligible(state, query, now)).To(Equal(want), "brittle %v, tried %v, cold %v, %d calls, share %d, %+v", brittle, tried, cold, state.inFlight, share, query)
	}
	g.Expect(seen[true]).To(BeNumerically(">", 1000))
	g.Expect(seen[false]).To(BeNumerically(">", 1000))
}
