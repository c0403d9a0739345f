package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// unreachableAddress is an address where nothing listens.
const unreachableAddress = "127.0.0.1:1"

// When a zone is partitioned, its servers refuse connections until the failure detector excludes
// them. Such a server has not received the call, so another one may be tried, whatever the route
// allows and even with an empty retry budget. Before, 124 of some 5,000 calls were refused on a day
// with a partitioned zone.
func TestAnUnreachableServerDoesNotCountAsAttempted(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	for _, name := range []string{"gone-1", "gone-2", "gone-3"} {
		f.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{
			Incarnation: name, Service: "r", Address: unreachableAddress, Slots: 4, Weights: map[string]int{"m": 1},
		}}})
	}
	startRunner(t, f, "r", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	c := promptCatalog(g)
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	gateway.cfg.Budget = oneBudget(retrybudget.New(retrybudget.Config{PerRequest: 1e-9, Burst: 1e-9}))
	for range 12 {
		recorder := httptest.NewRecorder()
		gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(recorder.Code).To(Equal(http.StatusOK))
	}
}
