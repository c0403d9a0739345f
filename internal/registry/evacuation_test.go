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

// put writes an operator's record on a zone and lets it be read.
func (w *world) putZone(zone, value string) {
	w.log.Put(sharedlog.Operator, "evacuate/"+zone, []byte(value))
	time.Sleep(10 * time.Millisecond)
}

func TestZonesAreEvacuatedAndTakenBack(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.putZone("a", "{}")
		w.putZone("b", "{}")
		g.Expect(w.fleet.Evacuated()).To(Equal([]string{"a", "b"}))
		w.putZone("a", "")
		g.Expect(w.fleet.Evacuated()).To(Equal([]string{"b"}))
	})
}

// The log keeps records for a while only, and the newest of a key that has no value not at all. A
// box that was cut off for longer learns by a whole reading which zones were taken back.
func TestAZoneIsTakenBackByAWholeReadingThatDoesNotNameIt(t *testing.T) {
	bubble(t, func(g *WithT, w *world) {
		w.putZone("a", "{}")
		w.putZone("b", "{}")
		w.log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(5 * time.Second)
		w.log.Put(sharedlog.Operator, "evacuate/a", nil)
		w.log.Faults().ExpireOlder(0)
		time.Sleep(2 * time.Second)
		g.Expect(w.fleet.Evacuated()).To(Equal([]string{"b"}))
	})
}

// A box is told by the one that reads for it, also of what is no more; words may come late.
func TestABoxIsToldOfEvacuatedZones(t *testing.T) {
	record := func(zone, value string, offset int64) sharedlog.Record {
		return sharedlog.Record{Key: "evacuate/" + zone, Value: []byte(value), Offset: offset}
	}
	words := []struct {
		name  string
		word  registry.StreamUpdate
		zones []string
	}{
		{"all", registry.StreamUpdate{Full: true, Records: []sharedlog.Record{record("a", "{}", 2), record("b", "{}", 3)}, Next: 4}, []string{"a", "b"}},
		{"one is taken back", registry.StreamUpdate{Records: []sharedlog.Record{record("a", "", 5)}, Next: 6}, []string{"b"}},
		{"an older word", registry.StreamUpdate{Records: []sharedlog.Record{record("a", "{}", 2)}, Next: 4}, []string{"b"}},
		{"all, without the other", registry.StreamUpdate{Full: true, Next: 9}, nil},
	}
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx := t.Context()
		w := start(ctx, down)
		for _, next := range words {
			next.word.Stream = sharedlog.Operator
			w.registry.ApplyUpdate(next.word, time.Now())
			g.Expect(w.fleet.Evacuated()).To(Equal(next.zones), next.name)
		}
	})
}
