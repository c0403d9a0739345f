package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// What tells a crash from a planned end: the server said before that it leaves, or nothing.
func TestFatesOfServers(t *testing.T) {
	listed := func(key, incarnation, address string, leaving bool) *fleet.Server {
		return &fleet.Server{Incarnation: incarnation, Name: key, Service: "s", Address: address, Slots: 1, Leaving: leaving}
	}
	first := fleet.Update{Key: "a", Offset: 1, Server: listed("a", "a@1", "10.0.0.1:1", false)}
	tests := []struct {
		name  string
		after []fleet.Update
		fate  fleet.Fate
	}{
		{"it is there", nil, fleet.FateListed},
		{"it leaves", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}}, fleet.FateLeft},
		{"it left", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}, {Key: "a", Offset: 3}}, fleet.FateLeft},
		{"its entry goes", []fleet.Update{{Key: "a", Offset: 2}}, fleet.FateLeft},
		{"it starts again under its name", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@2", "10.0.0.1:1", false)}}, fleet.FateReplaced},
		{"it leaves and starts again", []fleet.Update{
			{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)},
			{Key: "a", Offset: 3, Server: listed("a", "a@2", "10.0.0.1:1", false)},
		}, fleet.FateLeft},
		{"another server is at its address, its own entry still there", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.FateReplaced},
		{"another server starts elsewhere", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.2:1", false)}}, fleet.FateListed},
		{"it came after another that is still listed at its address", []fleet.Update{{Key: "b", Offset: 0, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.FateListed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			f.Apply([]fleet.Update{first})
			f.Apply(test.after)
			g.Expect(f.Fate("a@1")).To(Equal(test.fate))
		})
	}
	g := NewWithT(t)
	g.Expect(fleet.New(fleet.Config{}).Fate("nobody")).To(Equal(fleet.FateLeft))
}
