package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

// A route need not name an objective; a refusal must still say when to come back.
func TestARefusalWithoutAnObjectiveSaysWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	gateway := newTestGateway(versions{{Version: 1}})
	x := &exchange{route: &catalog.Route{}, facts: call.Facts{Prompt: &call.Prompt{Model: "m"}}}
	g.Expect(gateway.comeBack(x)).To(BeNumerically(">", 0))
}
