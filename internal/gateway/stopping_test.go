package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/peerpath"
)

// A box that stops refuses the calls that it has not sent to a server. That shows no lack of capacity, and the
// box that has forwarded them must look for another one.
func TestARefusalByAStoppingBoxEndsNoSearch(t *testing.T) {
	g := NewWithT(t)
	refusal := forwardResult{outcome: outcomeRefused, reason: reasonStopping, stated: true}
	g.Expect(refusal.isFinal()).To(BeFalse())
	g.Expect(refusal.pathOutcome()).To(Equal(peerpath.Failed))
}
