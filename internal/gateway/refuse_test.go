package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

// A route need not have an objective; a refusal must still include a time to retry after.
func TestARefusalWithoutAnObjectiveHasARetryDelay(t *testing.T) {
	g := NewWithT(t)
	gateway := newTestGateway(versions{{Version: 1}})
	x := &exchange{route: &catalog.Route{}, info: call.RequestInfo{Prompt: &call.Prompt{Model: "m"}}}
	g.Expect(gateway.busyBackoff(x)).To(BeNumerically(">", 0))
}
