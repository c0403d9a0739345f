// Package simulated runs boxes that send each other load reports over an in-memory network, for tests in
// simulated time (testing/synctest). Several test packages use it, since a package of tests has a time limit.
package simulated

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadshare"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Fleet has the boxes of a test and the network between them.
type Fleet struct {
	T       *testing.T
	Network *Network
	Boxes   []*Box
}

// NewFleet returns a fleet of boxes in zones, each with the given number of boxes, which are not started.
func NewFleet(t *testing.T, zones []int) *Fleet {
	t.Helper()
	f := &Fleet{T: t, Network: newNetwork()}
	f.addBoxes(zones)
	return f
}

// addBoxes adds boxes, two large ones in each zone.
func (f *Fleet) addBoxes(zones []int) {
	for zone, boxes := range zones {
		for i := range boxes {
			cores := 0.2
			if i < 2 {
				cores = 0.8
			}
			f.Boxes = append(f.Boxes, &Box{Name: fmt.Sprint("box-", zone, "-", i), Zone: fmt.Sprint("zone-", zone), Cores: cores})
		}
	}
}

// BoxNamed returns the box of a name; nil if there is none.
func (f *Fleet) BoxNamed(name string) *Box {
	for _, b := range f.Boxes {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// Start starts an incarnation of a box with the given fleet, which knows a version of the weights.
func (f *Fleet) Start(ctx context.Context, b *Box, boxFleet *fleet.Fleet, version int) {
	b.begin(version)
	f.runLoops(ctx, b, boxFleet)
}

// runLoops starts the loops of a box.
func (f *Fleet) runLoops(ctx context.Context, b *Box, boxFleet *fleet.Fleet) {
	// Each incarnation has its own Share, through which the changes of its quarantine are sent.
	var share *loadshare.Share
	shareChange := func(change quarantine.Change) {
		if !change.FromPeer {
			share.SendNow()
		}
	}
	b.Suspects = quarantine.New(quarantine.Config{OnChange: shareChange})
	b.SuspectParts = quarantine.New(quarantine.Config{Threshold: quarantine.PartThreshold, OnChange: shareChange})
	b.QuarantineLoaded.Store(false)
	share = loadshare.New(loadshare.Config{
		QuarantineLoaded: b.QuarantineLoaded.Load, OnQuarantineLoaded: b.NoteQuarantineLoaded,
		Quarantine: b.Suspects, PartQuarantine: b.SuspectParts, Parts: b.Parts,
		Fleet: boxFleet, Logger: zerolog.Nop(), Box: b.Name, Incarnation: fmt.Sprint(b.Name, "/", b.incarnation), Zone: b.Zone, Cores: b.Cores, Address: b.Name, ReaderAddress: b.Name,
		NamedVersions: b.namedVersions, MergeNamedVersions: func(versions map[string][]registry.PeerWeights, _ time.Time) { b.mergeVersions(versions) },
		NeedsSnapshot: func() bool { return false }, Snapshot: func(string) *registry.Snapshot { return nil }, Dial: f.Network.DialFrom(b.Name),
		Uses: b.usesIfHub, MergeUses: b.mergeUses,
	})
	b.Share = share
	b.Share.ApplyBoxRecords(f.boxRecords())
	ctx, b.Stop = context.WithCancel(ctx)
	listener := f.Network.Listen(b.Name)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){b.Share.LoopMaintainLinks, b.Share.LoopExpireReports} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Go(func() { share.LoopAccept(ctx, listener) })
	// The loops start goroutines that Share.Wait waits for, so they end first, as in an entry box.
	b.Stopped.Go(func() {
		loops.Wait()
		share.Wait()
	})
}

// boxRecords is the list of boxes as the log holds it.
func (f *Fleet) boxRecords() []sharedlog.Record {
	records := make([]sharedlog.Record, len(f.Boxes))
	for i, b := range f.Boxes {
		value, err := msgpack.Marshal(map[string]any{"a": b.Name, "l": b.Name, "z": b.Zone, "v": b.Name, "c": b.Cores})
		if err != nil {
			f.T.Fatal(err)
		}
		records[i] = sharedlog.Record{Key: b.Name, Value: value, Offset: int64(i)}
	}
	return records
}

// Stop stops all boxes. Messages in transit are lost.
func (f *Fleet) Stop(cancel context.CancelFunc) {
	cancel()
	f.Network.Heal()
	for _, b := range f.Boxes {
		b.Stopped.Wait()
	}
	time.Sleep(time.Second)
	synctest.Wait()
}
