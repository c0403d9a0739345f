package registry_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// putZone writes an operator's record for a zone and waits until it has been read.
func (b *testBox) putZone(zone, value string) {
	b.log.Put(sharedlog.Operator, "evacuate/"+zone, []byte(value))
	time.Sleep(10 * time.Millisecond)
}

func TestZonesAreEvacuatedAndRestored(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.putZone("a", "{}")
		b.putZone("b", "{}")
		g.Expect(b.fleet.EvacuatedZones()).To(Equal([]string{"a", "b"}))
		b.putZone("a", "")
		g.Expect(b.fleet.EvacuatedZones()).To(Equal([]string{"b"}))
	})
}

// The log retains records for a limited time, and a record without a value not even as the newest
// one of its key. A box that was cut off for longer learns from a full read which evacuations have
// ended.
func TestFullReadEndsEvacuationOfUnlistedZone(t *testing.T) {
	inBubble(t, func(g *WithT, b *testBox) {
		b.putZone("a", "{}")
		b.putZone("b", "{}")
		b.log.Underlying().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(5 * time.Second)
		b.log.Put(sharedlog.Operator, "evacuate/a", nil)
		b.log.Underlying().ExpireOlder(0)
		time.Sleep(2 * time.Second)
		g.Expect(b.fleet.EvacuatedZones()).To(Equal([]string{"b"}))
	})
}

// A reader forwards evacuations and their end; updates may arrive late.
func TestEvacuationsAreForwarded(t *testing.T) {
	record := func(zone, value string, offset int64) sharedlog.Record {
		return sharedlog.Record{Key: "evacuate/" + zone, Value: []byte(value), Offset: offset}
	}
	updates := []struct {
		name   string
		update registry.StreamUpdate
		zones  []string
	}{
		{"all", registry.StreamUpdate{Full: true, Records: []sharedlog.Record{record("a", "{}", 2), record("b", "{}", 3)}, Next: 4}, []string{"a", "b"}},
		{"one evacuation ends", registry.StreamUpdate{Records: []sharedlog.Record{record("a", "", 5)}, Next: 6}, []string{"b"}},
		{"an older update", registry.StreamUpdate{Records: []sharedlog.Record{record("a", "{}", 2)}, Next: 4}, []string{"b"}},
		{"full view without the other zone", registry.StreamUpdate{Full: true, Next: 9}, nil},
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		b := start(ctx, logDown)
		for _, next := range updates {
			next.update.Stream = sharedlog.Operator
			b.registry.ApplyUpdate(next.update, time.Now())
			g.Expect(b.fleet.EvacuatedZones()).To(Equal(next.zones), next.name)
		}
	})
}
