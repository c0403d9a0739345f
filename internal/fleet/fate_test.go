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
		fate  fleet.RegistryStatus
	}{
		{"it is there", nil, fleet.StatusListed},
		{"it leaves", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}}, fleet.StatusLeft},
		{"it left", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}, {Key: "a", Offset: 3}}, fleet.StatusLeft},
		{"its entry goes", []fleet.Update{{Key: "a", Offset: 2}}, fleet.StatusLeft},
		{"it starts again under its name", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@2", "10.0.0.1:1", false)}}, fleet.StatusReplaced},
		{"it leaves and starts again", []fleet.Update{
			{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)},
			{Key: "a", Offset: 3, Server: listed("a", "a@2", "10.0.0.1:1", false)},
		}, fleet.StatusLeft},
		{"another server is at its address, its own entry still there", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.StatusReplaced},
		{"another server starts elsewhere", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.2:1", false)}}, fleet.StatusListed},
		{"it came after another that is still listed at its address", []fleet.Update{{Key: "b", Offset: 0, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.StatusListed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			f.Apply([]fleet.Update{first})
			f.Apply(test.after)
			g.Expect(f.RegistryStatus("a@1")).To(Equal(test.fate))
		})
	}
	g := NewWithT(t)
	g.Expect(fleet.New(fleet.Config{}).RegistryStatus("nobody")).To(Equal(fleet.StatusLeft))
}
