package zonereader_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// maxFullReaders is the number of boxes that may read a stream in full when the log comes back: a tenth.
const maxFullReaders = startingZones * boxesPerZone / 10

// When the log came back from a copy, each box read three streams in full, and boxes whose reader was lost
// at the same moment went by positions of the lost history.
func TestAllZonesReadOnWhenTheLogCameBackFromACopy(t *testing.T) {
	tests := []struct {
		name string
		away time.Duration
		fail func(f *startingFleet, root *testBox)
	}{
		{"away for a moment", 100 * time.Millisecond, nil},
		{"away for a second", time.Second, nil},
		{"away for 2.5 s", 2500 * time.Millisecond, nil},
		{"the root crashes", 100 * time.Millisecond, func(f *startingFleet, root *testBox) { f.crash(root) }},
		{"the root is cut off from the log", 100 * time.Millisecond, func(_ *startingFleet, root *testBox) { root.log.cut.Store(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inZones(t, func(g *WithT, f *startingFleet) {
				write := func(version int) { f.log.Put(sharedlog.Operator, "config", []byte(strings.Repeat("v", version))) }
				copied := f.log.Copy()
				for version := 2; version <= 4; version++ {
					write(version)
				}
				f.log.Put(sharedlog.Servers, "server-1", []byte("leaving"))
				time.Sleep(2 * time.Second)
				root, before, fullBefore := f.reader(), f.calls(), f.fullReads()
				f.log.Underlying().SetFaults(fakelog.Faults{Down: true})
				time.Sleep(test.away)
				f.log.Restore(copied)
				f.log.Underlying().SetFaults(fakelog.Faults{})
				if test.fail != nil {
					test.fail(f, root)
				}
				time.Sleep(500 * time.Millisecond)
				write(4)
				write(5)
				f.log.Put(sharedlog.Servers, "server-2", nil)
				time.Sleep(2 * time.Second)
				for _, b := range f.list {
					if b == root && test.fail != nil {
						continue
					}
					g.Expect(b.registry.Catalog().Version()).To(BeEquivalentTo(5), b.self.Name)
					g.Expect(b.fleet.CountListed()).To(Equal(399), b.self.Name)
					g.Expect(logposition.Era(b.registry.Position(sharedlog.Servers))).To(BeEquivalentTo(1), b.self.Name)
				}
				time.Sleep(3*time.Second - test.away)
				t.Logf("%d calls of the log and %d full reads of the servers by %d boxes", f.calls()-before, f.fullReads()-fullBefore, len(f.list))
				g.Expect(f.fullReads()-fullBefore).To(BeNumerically("<=", maxFullReaders), "the others get the view of their reader")
			})
		})
	}
}

// A box that started after the return and read the log for the others went by the copy.
func TestABoxThatReadsTheLogStartsWithWhatOthersHold(t *testing.T) {
	for _, role := range []string{"the root", "the reader of a zone"} {
		t.Run(role, func(t *testing.T) {
			inZones(t, func(g *WithT, f *startingFleet) {
				copied := f.log.Copy()
				f.log.Put(sharedlog.Operator, "config", []byte("vvv"))
				f.log.Put(sharedlog.Servers, "server-1", []byte("leaving"))
				time.Sleep(2 * time.Second)
				f.log.Restore(copied)
				time.Sleep(3 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				old := f.reader()
				if role != "the root" {
					old = f.zoneReader()
				}
				started := f.restart(ctx, old)
				for range 500 {
					time.Sleep(10 * time.Millisecond)
					if c := started.registry.Catalog(); c != nil {
						g.Expect(c.Version()).To(BeEquivalentTo(3), "the lost configuration")
					}
				}
				g.Expect(started.registry.Catalog()).NotTo(BeNil())
				for _, b := range f.list {
					g.Expect(b.registry.Catalog().Version()).To(BeEquivalentTo(3), b.self.Name)
				}
			})
		})
	}
}

// When the log had come back from a copy and all boxes restarted, those that were to read it followed one
// another for 1.8 s first, and no box knew a server.
func TestBoxesThatAllRestartAfterTheLogCameBackReadItAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// kept is the number of boxes that do not restart.
		kept     int
		expected int64
	}{
		{"all", 0, 1},
		{"all but one of each zone", startingZones, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inZones(t, func(g *WithT, f *startingFleet) {
				copied := f.log.Copy()
				f.log.Put(sharedlog.Operator, "config", []byte("vvv"))
				time.Sleep(2 * time.Second)
				f.log.Restore(copied)
				time.Sleep(3 * time.Second)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				restarted := f.all()[test.kept:]
				for _, b := range restarted {
					f.crash(b)
				}
				for _, b := range restarted {
					f.restart(ctx, b)
				}
				time.Sleep(time.Second)
				for _, b := range f.all() {
					g.Expect(b.registry.Catalog()).NotTo(BeNil(), b.self.Name)
					g.Expect(b.registry.Catalog().Version()).To(Equal(test.expected), b.self.Name)
					g.Expect(b.fleet.CountListed()).To(Equal(400), b.self.Name)
				}
			})
		})
	}
}

// Boxes that all restart while the log is away ask each other for views that none has, again and again.
func TestBoxesWithoutAViewAskEachOtherSeldomWhileTheLogIsAway(t *testing.T) {
	inZones(t, func(g *WithT, f *startingFleet) {
		f.log.Restore(f.log.Copy())
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		restarted := f.all()
		for _, b := range restarted {
			f.crash(b)
		}
		for _, b := range restarted {
			f.restart(ctx, b)
		}
		time.Sleep(20 * time.Millisecond) // they have seen the era and the list of boxes
		for _, b := range f.all() {
			b.log.cut.Store(true)
		}
		time.Sleep(2 * time.Second)
		before := f.dials.Load()
		const length = 10 // seconds
		time.Sleep(length * time.Second)
		g.Expect(f.dials.Load()-before).To(BeNumerically("<=", int64(2*length*len(restarted))), "connections")
	})
}

// zoneReader returns the reader of a zone that follows the root.
func (f *startingFleet) zoneReader() *testBox {
	for _, b := range f.list {
		if b.member.IsReader() && b.member.Following() != "" {
			return b
		}
	}
	return nil
}
