package gateway

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A box that ended under a forwarded call counted as a server that the request had crashed.
func TestTheEndOfABoxIsNoCrashOfAServer(t *testing.T) {
	g := NewWithT(t)
	checked := false
	gateway := New(Config{ConfirmCrash: func(context.Context, crash.BrokenCall) bool {
		checked = true
		return true
	}})
	a := &attempt{gateway: gateway, x: &exchange{}, ctx: t.Context(), chosen: placement{hold: &peerHold{}}}
	a.watch = newWatch(a)
	g.Expect(a.isRepeatedCrash(fleet.OutcomeUnreachable)).To(BeFalse())
	g.Expect(checked).To(BeFalse())
}
