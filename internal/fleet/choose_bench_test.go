package fleet_test

import (
	"fmt"
	"testing"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

// BenchmarkChoose shows the time to place a call, which a box does under its fleet's lock, among
// servers whose loads other boxes report.
func BenchmarkChoose(b *testing.B) {
	tests := []struct {
		name    string
		servers int
		// brittle means that the servers are brittle and this box has no share of them left.
		brittle bool
		query   fleet.Query
	}{
		{"60 servers", 60, false, fleet.Query{Service: "s", Zone: "zone-0"}},
		{"60 servers, a prompt", 60, false, promptQuery()},
		{"60 brittle servers without room", 60, true, fleet.Query{Service: "s", Zone: "zone-0"}},
		{"2000 servers, a prompt", 2000, false, promptQuery()},
	}
	for _, test := range tests {
		b.Run(test.name, func(b *testing.B) {
			f := loadedFleet(test.servers, test.brittle)
			query := test.query
			b.ReportAllocs()
			for b.Loop() {
				query.Load.TieBreaker++
				if hold := f.Choose(query); hold != nil {
					hold.Done(fleet.OutcomeServed)
				}
			}
		})
	}
}

func promptQuery() fleet.Query {
	return fleet.Query{
		Service: "s", Zone: "zone-0", Model: "m", Load: placing.Query{PrefillLimit: 1000, Tokens: 100, Memory: 1_000_000},
		PrefillWork: func(int) int { return 100 }, VersionCost: func(int) (float64, bool) { return 0, true },
	}
}

// loadedFleet returns a fleet with servers in two zones, at which three other boxes have calls.
func loadedFleet(servers int, brittle bool) *fleet.Fleet {
	f := fleet.New(fleet.Config{LimitPosition: func(string, string) advisory.Position {
		return advisory.Position{Rank: 3, Present: 4, Listed: 4}
	}})
	var updates []fleet.Update
	var loads []fleet.Load
	for i := range servers {
		name := fmt.Sprint("server-", i)
		updates = append(updates, fleet.Update{Key: name, Offset: int64(i + 1), Server: &fleet.Server{
			Incarnation: name, Service: "s", Zone: fmt.Sprint("zone-", i%2), Slots: 3, Weights: map[string]int{"m": 1},
		}})
		loads = append(loads, fleet.Load{Incarnation: name, InFlight: 1, PendingTokens: 10, HeldTokens: 100})
	}
	f.Apply(updates)
	for box := range 3 {
		f.SetRemoteLoads(fmt.Sprint("box-", box), loads)
	}
	if brittle {
		for i := range servers {
			f.ApplyAdvisory(fmt.Sprint("server-", i), answerWith(advisory.Advisory{Brittle: advisory.LimitNamed, MaxRefusals: 4}))
		}
	}
	return f
}
