// Versions of the configuration, each of which applies as a whole or not at all.

package routed_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/config"
)

func TestANewConfigurationAppliesAsAWholeToTheNextCall(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	s.configure(g, func(file *config.File) {
		for i := range file.Routes {
			if file.Routes[i].Name == "pages" {
				file.Routes[i].Splits = []config.Split{{Service: "shop-next", Weight: 1}}
			}
		}
	})
	for range 5 {
		g.Expect(s.send("GET", "shop.example", "/page", "").body).To(HavePrefix("shop-new "))
	}
	s.configure(g, func(file *config.File) { file.Routes[0].Splits[0].Service = "none" })
	g.Expect(s.send("GET", "shop.example", "/page", "").body).To(HavePrefix("shop-new "), "an invalid version changes nothing")
	s.configure(g, func(file *config.File) { file.Routes = nil })
	g.Expect(s.send("GET", "shop.example", "/page", "").status).To(Equal(404))
}

func TestServersOfAnEvacuatedZoneGetNoRoutedCalls(t *testing.T) {
	g := NewWithT(t)
	s := startDeployment(t, g)
	inZones := func(evacuated ...string) {
		s.configure(g, func(file *config.File) {
			file.Zones = []config.Zone{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}}
			for i := range file.Zones {
				file.Zones[i].Evacuated = slices.Contains(evacuated, file.Zones[i].Name)
			}
			for i := range file.BackendServers {
				if file.BackendServers[i].Name == "shop-1" {
					file.BackendServers[i].Zone = "b"
				}
			}
		})
	}
	tests := []struct {
		name      string
		evacuated []string
		status    int
		prefix    string
	}{
		{"the other zone", []string{"b"}, 200, "shop-2 "},
		{"the box's own zone", []string{"a"}, 200, "shop-1 "},
		{"both", []string{"a", "b"}, 503, ""},
		{"none", nil, 200, "shop-2 "},
	}
	for _, test := range tests {
		inZones(test.evacuated...)
		for range 5 {
			got := s.send("GET", "shop.example", "/page", "")
			g.Expect(got.status).To(Equal(test.status), test.name)
			if test.status == 200 {
				g.Expect(got.body).To(HavePrefix(test.prefix), test.name)
			}
		}
		g.Expect(s.router.EvacuatedZones()).To(Equal(test.evacuated), test.name)
	}
}
