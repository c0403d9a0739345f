package gateway

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// When all servers of a service break off their calls together, each call takes a retry from the
// budget and then finds no server. A call's line had "retries_saved":4 of 5 with one try made: the
// retry was gone, and calls that would have found a server later had none. A retry that is not
// made costs nothing.
func TestARetryThatFindsNoServerIsGivenBack(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startRunner(t, f, "r", http.HandlerFunc(breakOff))
	c := silentCatalog(g, 2)
	gateway := promptGateway(newPlanProtocol(), f, emptyStore(c), c)
	before := gateway.cfg.Budget.State().Balance
	serveStream(gateway)
	g.Expect(gateway.cfg.Budget.State().Balance).To(BeNumerically(">=", before))
}
