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

// A box that was in touch a moment before its machine was suspended for ten seconds has missed
// that newer weights were named. The others have freed parts of the older ones since, and it
// would read such a part by a belief that is ten seconds older than its steady clock says.
func TestNothingOldIsFetchedAfterASuspensionUntilTheLogIsRead(t *testing.T) {
	playing(t, func(ctx context.Context, g *WithT, log *fakesharedlog.Log) {
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
