package retire_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/suspendtest"
)

// A box was in touch just before its machine was suspended for ten seconds, and misses that newer
// weights are declared meanwhile. The other boxes have freed parts of the older weights since. By
// its monotonic clock, which stops during a suspension, its information looks ten seconds newer
// than it is, and it would fetch such a part.
func TestNoOldPartIsFetchedAfterASuspensionUntilTheLogIsRead(t *testing.T) {
	simulate(t, func(ctx context.Context, g *WithT, log *fakesharedlog.Log) {
		machine := suspendtest.New(t)
		b := startBox(ctx, log)
		time.Sleep(time.Second)
		synctest.Wait()
		g.Expect(b.policy.MayFetch("m", 1, "part")).To(BeTrue())
		b.link.set(true)
		machine.Suspend(10 * time.Second)
		g.Expect(b.policy.MayFetch("m", 1, "part")).To(BeFalse())
		b.link.set(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		g.Expect(b.policy.MayFetch("m", 1, "part")).To(BeTrue())
	})
}
