package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fleet"
)

// While records failed, new streams were refused that may not run where the servers of the base version are, although
// servers of another version could take them.
func TestNewStreamsAreKeptToAVersionThatMayNotServeThem(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	c, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: 3, Regions: []string{"here"},
			Objective: time.Second, Timeout: 10 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	gateway.cfg.Regions = map[string]string{"a": "here", "b": "there"}
	log := useOrigins(t, g, gateway, f, baseversion.Base{Version: "v1", Present: true})
	for _, server := range []struct{ name, version, zone string }{{"first", "v1", "b"}, {"second", "v1", "b"}, {"other", "v2", "a"}} {
		startVersion(t, f, server.name, server.version, serveEvents(server.version, 0))
		entry := hostedServer(f, server.name)
		entry.Zone = server.zone
		f.Apply([]fleet.Update{{Key: server.name, Offset: 3, Server: &entry}})
	}
	log.Underlying().SetFaults(fakelog.Faults{Down: true})
	for range 3 {
		g.Expect(serveStream(gateway)).To(Equal(fullStream("v2", false)))
	}
}
