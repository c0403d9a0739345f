package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// When all servers of a service break off their calls together, each call takes a retry from the
// budget and then finds no server. The log line of such a call had "retries_saved":4 of 5 with one
// attempt made: the retry was lost, and calls that would have found a server later had none. A
// retry that is not made must cost nothing.
func TestAnUnusedRetryIsReturnedToTheBudget(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(abortConnection))
	c := resumableCatalog(g, 2)
	gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
	before := gateway.cfg.Budget("r").State().Balance
	serveStream(gateway)
	g.Expect(gateway.cfg.Budget("r").State().Balance).To(BeNumerically(">=", before))
}
