package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
)

// A stream that must continue at its software version waited at the owner of its box's zone, which may have
// no server of that version.
func TestCallsWaitInAZoneWithServersOfTheirVersion(t *testing.T) {
	tests := []struct {
		name     string
		software string
		excluded string
		want     string
	}{
		{"the own zone has one", "v1", "", "a"},
		{"the zone with most", "v2", "", "c"},
		{"only another zone", "v3", "", "b"},
		{"no server", "v4", "", "a"},
		{"the zone with most may not be used", "v2", "c", "b"},
	}
	f := fleet.New(fleet.Config{Logger: zerolog.Nop()})
	for i, server := range []struct{ zone, software string }{{"a", "v1"}, {"b", "v2"}, {"c", "v2"}, {"c", "v2"}, {"b", "v3"}, {"c", "v1"}, {"c", "v1"}} {
		name := string(rune('1' + i))
		f.Apply([]fleet.Update{{Key: name, Offset: int64(i + 1), Server: &fleet.Server{Incarnation: name, Service: "runners", Zone: server.zone, Software: server.software}}})
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			query := fleet.Query{Service: "runners", Zone: "a", Software: &test.software, ZoneAllowed: func(zone string) bool { return zone != test.excluded }}
			NewWithT(t).Expect(f.ZoneWithServers(query)).To(Equal(test.want))
		})
	}
}
