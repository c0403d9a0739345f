package orderlease_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A monotonic clock stops while the machine is suspended, so after a suspension of five seconds a
// permission looked as valid as before. Another box has taken over long before, and runners do
// not check which box an order comes from. The box must append to the log again, which does not
// answer here.
func TestAPermissionExpiresDuringASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		lease := start(ctx, log, "a")
		g.Expect(permitted(ctx, lease)).To(BeTrue())
		log.Underlying().SetFaults(fakelog.Faults{Down: true})
		g.Expect(permitted(ctx, lease)).To(BeTrue(), "within the permission that it has")
		machine.Suspend(5 * time.Second)
		g.Expect(permitted(ctx, lease)).To(BeFalse())
	})
}
