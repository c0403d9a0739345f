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

// A machine that was suspended for five seconds wakes with a steady clock that did not move, so
// the permission that it had looked as fresh as before. Another box has long taken over by
// then, and runners do not check who orders them. The box must ask the log first, which here
// does not answer.
func TestAPermissionIsOverAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		machine := suspendtest.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		log := fakesharedlog.New()
		lease := start(ctx, log, "a")
		g.Expect(permitted(ctx, lease)).To(BeTrue())
		log.Faults().SetFaults(fakelog.Faults{Down: true})
		g.Expect(permitted(ctx, lease)).To(BeTrue(), "by what it has")
		machine.Suspend(5 * time.Second)
		g.Expect(permitted(ctx, lease)).To(BeFalse())
	})
}
