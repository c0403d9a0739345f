package loadshare_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// following runs a test on a box that only follows the list of boxes, with paused time.
func following(t *testing.T, prepare func(*fakesharedlog.Log), test func(g *WithT, log *fakesharedlog.Log, roll func() int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		log := fakesharedlog.New()
		prepare(log)
		share := loadshare.New(loadshare.Config{
			Log: log, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), Box: "a", Life: "a/2", Address: "127.0.0.1:1",
			Lacks: func() bool { return true }, Snapshot: func() *registry.Snapshot { return nil }, Adopt: func(registry.Snapshot) {},
		})
		list := registry.New(registry.Config{Log: log, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), Boxes: share.TakeBoxes})
		go share.LoopAnnounce(ctx)
		go list.LoopBoxes(ctx)
		test(NewWithT(t), log, share.Roll)
	})
}

// While the list has not been read nobody knows what more than half of the boxes are.
func TestWithoutTheLogTheRollIsUnknown(t *testing.T) {
	down := func(log *fakesharedlog.Log) { log.Faults().SetFaults(fakelog.Faults{Down: true}) }
	following(t, down, func(g *WithT, log *fakesharedlog.Log, roll func() int) {
		time.Sleep(time.Minute)
		g.Expect(roll()).To(BeZero())
		log.Faults().SetFaults(fakelog.Faults{})
		time.Sleep(time.Minute)
		g.Expect(roll()).To(Equal(1))
		log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(time.Minute)
		g.Expect(roll()).To(Equal(1))
	})
}

// The stop of an earlier life may be carried out when the next one is listed already.
func TestABoxThatWasTakenOffTheListEntersItselfAgain(t *testing.T) {
	following(t, func(*fakesharedlog.Log) {}, func(g *WithT, log *fakesharedlog.Log, _ func() int) {
		listed := func() int {
			page, err := log.Newest(context.Background(), sharedlog.Boxes)
			g.Expect(err).NotTo(HaveOccurred())
			return len(page.Records)
		}
		time.Sleep(time.Minute)
		g.Expect(listed()).To(Equal(1))
		log.Put(sharedlog.Boxes, "a", nil)
		time.Sleep(time.Second)
		g.Expect(listed()).To(Equal(1))
	})
}
