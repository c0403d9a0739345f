package fleet_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// A stop is planned if the server announced it before; otherwise it may be a crash.
func TestRegistryStatus(t *testing.T) {
	listed := func(key, incarnation, address string, leaving bool) *fleet.Server {
		return &fleet.Server{Incarnation: incarnation, Name: key, Service: "s", Address: address, Slots: 1, Leaving: leaving}
	}
	first := fleet.Update{Key: "a", Offset: 1, Server: listed("a", "a@1", "10.0.0.1:1", false)}
	tests := []struct {
		name  string
		after []fleet.Update
		want  fleet.RegistryStatus
	}{
		{"listed in the registry", nil, fleet.StatusListed},
		{"leaving by its entry", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}}, fleet.StatusLeft},
		{"left after announcing it", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)}, {Key: "a", Offset: 3}}, fleet.StatusLeft},
		{"entry removed", []fleet.Update{{Key: "a", Offset: 2}}, fleet.StatusLeft},
		{"restarted under the same name", []fleet.Update{{Key: "a", Offset: 2, Server: listed("a", "a@2", "10.0.0.1:1", false)}}, fleet.StatusReplaced},
		{"restarted after announcing that it leaves", []fleet.Update{
			{Key: "a", Offset: 2, Server: listed("a", "a@1", "10.0.0.1:1", true)},
			{Key: "a", Offset: 3, Server: listed("a", "a@2", "10.0.0.1:1", false)},
		}, fleet.StatusLeft},
		{"another server at its address, its own entry still listed", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.StatusReplaced},
		{"another server at another address", []fleet.Update{{Key: "b", Offset: 2, Server: listed("b", "b", "10.0.0.2:1", false)}}, fleet.StatusListed},
		{"listed later than another server at its address", []fleet.Update{{Key: "b", Offset: 0, Server: listed("b", "b", "10.0.0.1:1", false)}}, fleet.StatusListed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			f.Apply([]fleet.Update{first})
			f.Apply(test.after)
			g.Expect(f.RegistryStatus("a@1")).To(Equal(test.want))
		})
	}
	g := NewWithT(t)
	g.Expect(fleet.New(fleet.Config{}).RegistryStatus("nobody")).To(Equal(fleet.StatusLeft))
}
