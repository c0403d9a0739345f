package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

func server(name string) *fleet.Server {
	return &fleet.Server{Incarnation: name, Service: "runners", Address: "10.0.0.1:1", Zone: "a", Slots: 16, Weights: map[string]int{"m": 1}}
}

func newFleet(names ...string) *fleet.Fleet {
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	for i, name := range names {
		f.Apply([]fleet.Update{{Key: name, Offset: int64(i + 1), Server: server(name)}})
	}
	return f
}

// choose places a call and returns its server's name, empty if there is none.
func choose(f *fleet.Fleet, exclude ...string) (string, *fleet.Hold) {
	hold := f.Choose(fleet.Query{Service: "runners", Zone: "a", Exclude: exclude})
	if hold == nil {
		return "", nil
	}
	return hold.Server().Incarnation, hold
}

func TestOutdatedRecordsAreIgnored(t *testing.T) {
	leaving := server("s")
	leaving.Leaving = true
	tests := []struct {
		name    string
		updates []fleet.Update
		serves  bool
	}{
		{"known", []fleet.Update{{Key: "s", Offset: 1, Server: server("s")}}, true},
		{"leaving", []fleet.Update{{Key: "s", Offset: 1, Server: server("s")}, {Key: "s", Offset: 2, Server: leaving}}, false},
		{"an outdated record after leaving", []fleet.Update{
			{Key: "s", Offset: 1, Server: server("s")}, {Key: "s", Offset: 3, Server: leaving}, {Key: "s", Offset: 2, Server: server("s")},
		}, false},
		{"gone", []fleet.Update{{Key: "s", Offset: 1, Server: server("s")}, {Key: "s", Offset: 2}}, false},
		{"an outdated record after the removal", []fleet.Update{
			{Key: "s", Offset: 1, Server: server("s")}, {Key: "s", Offset: 3}, {Key: "s", Offset: 2, Server: server("s")},
		}, false},
		{"back", []fleet.Update{
			{Key: "s", Offset: 1, Server: server("s")}, {Key: "s", Offset: 2}, {Key: "s", Offset: 3, Server: server("s")},
		}, true},
		{"removed without having been listed", []fleet.Update{{Key: "s", Offset: 2}}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
			for _, update := range test.updates {
				f.Apply([]fleet.Update{update})
			}
			name, _ := choose(f)
			g.Expect(name != "").To(Equal(test.serves))
		})
	}
}

func TestReplaceDelistsMissingServers(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("old", "stays")
	f.Replace([]fleet.Update{{Key: "stays", Offset: 2, Server: server("stays")}, {Key: "new", Offset: 7, Server: server("new")}})
	g.Expect(f.CountListed()).To(Equal(2))
	for range 20 {
		name, _ := choose(f)
		g.Expect(name).NotTo(Equal("old"))
	}
}

// During an outage of the registry, entries lapse although their servers are running. Servers that
// don't register again soon after the recovery have stopped.
func TestLapsedServerIsUsableForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("s")
		outage(f, 20*time.Second)
		f.Apply([]fleet.Update{{Key: "s", Offset: 9}})
		name, hold := choose(f)
		g.Expect(name).To(Equal("s"))
		hold.Done(fleet.OutcomeServed)
		time.Sleep(fleet.DefaultReregisterGrace + time.Millisecond)
		name, _ = choose(f)
		g.Expect(name).To(BeEmpty())
		f.Apply([]fleet.Update{{Key: "s", Offset: 10, Server: server("s")}})
		name, _ = choose(f)
		g.Expect(name).To(Equal("s"))
	})
}
