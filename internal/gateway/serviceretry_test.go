package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// Guards against calls that add to, or take from, the retry budget of another service.
func TestACallUsesTheRetryBudgetOfItsService(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	for _, name := range []string{"first", "second"} {
		startRunner(t, f, name, http.HandlerFunc(abortConnection))
	}
	c := resumableCatalog(g, 2)
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	set := retrybudget.NewSet(retrybudget.Config{PerRequest: 0.5, Burst: 2, Initial: 1, Window: 10 * promptTimeout})
	gateway.cfg.Budget = set.Budget
	for range 3 {
		serveStream(gateway)
	}
	g.Expect(set.States()).To(And(HaveLen(1), HaveKey("r")))
	g.Expect(set.States()["r"].Balance).To(BeNumerically("~", 0.5, 0.1), "three calls and two retries")
	g.Expect(set.States()["r"].Denied).To(BeEquivalentTo(1))
}
