package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// A new stream that is kept to the base version and finds no room must not stand for other calls of the service, which
// servers of any version may take: they were not placed while it waited.
func TestAStreamThatPrefersAVersionStandsForOtherCalls(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	route := catalog.Route{
		Name: "streams", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: 3,
		Objective: time.Second, Timeout: 10 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: true,
	}
	other := route
	other.Name, other.PathPrefix, other.Resumable = "others", "/others/", false
	c, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Routes:   []catalog.Route{route, other},
	})
	g.Expect(err).NotTo(HaveOccurred())
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	log := useOrigins(t, g, gateway, f, baseversion.Base{Version: "v1", Present: true})
	startVersion(t, f, "base", "v1", serveEvents("v1", 0))
	startVersion(t, f, "other", "v2", serveEvents("v2", 0))
	classOf := func(path string) uint64 {
		x := gateway.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com"+path, nil))
		g.Expect(gateway.accept(x) && gateway.authorise(x) && gateway.readBody(x)).To(BeTrue())
		return gateway.demand(x).Class
	}
	g.Expect(classOf("/")).To(Equal(classOf("/others/")))
	log.Underlying().SetFaults(fakelog.Faults{Down: true})
	g.Expect(gateway.cfg.Origins.AwaitRecord(t.Context(), streamorigin.KeyOf("", "a"), streamorigin.Origin{Service: "r", Software: "v2", Expires: time.Now().Add(time.Minute)})).To(BeFalse())
	_, _, isPreferred := gateway.cfg.Origins.PreferredVersion("r", 0)
	g.Expect(isPreferred).To(BeTrue())
	g.Expect(classOf("/")).NotTo(Equal(classOf("/others/")))
}
