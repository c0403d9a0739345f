package zonereader_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// boxList is one box's view of the list of boxes, as package loadshare keeps it.
type boxList struct {
	mu     sync.Mutex
	loaded bool
	boxes  map[string]zonereader.Box
}

func (l *boxList) apply(records []sharedlog.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = true
	for _, record := range records {
		var box zonereader.Box
		if err := msgpack.Unmarshal(record.Value, &box); err == nil {
			l.boxes[record.Key] = box
		}
	}
}

func (l *boxList) others(self string) []zonereader.Box {
	l.mu.Lock()
	defer l.mu.Unlock()
	var others []zonereader.Box
	for name, box := range l.boxes {
		if name != self {
			others = append(others, box)
		}
	}
	return others
}

func (l *boxList) isLoaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// startingFleet is a system whose boxes find each other only by the log.
type startingFleet struct {
	testFleet
	lists map[string]*boxList
	first bool
}

const (
	startingZones  = 3
	boxesPerZone   = 30
	startingLength = 6 * time.Second
)

func newStartingFleet(first bool) *startingFleet {
	f := &startingFleet{testFleet: testFleet{log: fakesharedlog.New()}, lists: map[string]*boxList{}, first: first}
	f.log.SetPageRecords(20)
	f.log.Put(sharedlog.Operator, "config", []byte("v"))
	for i := range 400 {
		f.log.Put(sharedlog.Servers, fmt.Sprint("server-", i), []byte("ready"))
	}
	for i := range startingZones * boxesPerZone {
		cores := 0.2
		if i < startingZones*2 {
			cores = 1.6
		}
		self := zonereader.Box{Box: delegate.Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%startingZones), Cores: cores}, Address: fmt.Sprint(i)}
		f.list = append(f.list, newBox(self))
	}
	return f
}

// enter writes a box into the list of boxes.
func (f *startingFleet) enter(b *testBox) {
	value, err := msgpack.Marshal(b.self)
	if err != nil {
		panic(err) // a plain struct can always be encoded
	}
	f.log.Put(sharedlog.Boxes, b.self.Name, value)
}

// startAll starts all boxes at once, with nothing known.
func (f *startingFleet) startAll(ctx context.Context) {
	for _, b := range f.list {
		f.assembleStarting(b)
	}
	for _, b := range f.list {
		f.startOne(ctx, b)
	}
}

func (f *startingFleet) startOne(ctx context.Context, b *testBox) {
	f.run(ctx, b)
	f.wait.Go(func() { b.registry.LoopBoxes(ctx) })
	f.wait.Go(func() { b.member.LoopAdvertise(ctx) })
	if f.first {
		f.wait.Go(func() { f.enterLater(ctx, b) })
	}
}

// restart replaces a box by one that starts.
func (f *startingFleet) restart(ctx context.Context, b *testBox) *testBox {
	f.crash(b)
	next := newBox(b.self)
	f.assembleStarting(next)
	f.mu.Lock()
	f.list[slices.Index(f.list, b)] = next
	f.mu.Unlock()
	f.startOne(ctx, next)
	return next
}

// enterLater writes a box into the list once it has read it, as package loadshare does.
func (f *startingFleet) enterLater(ctx context.Context, b *testBox) {
	for !f.lists[b.self.Name].isLoaded() {
		if !waiting.For(ctx, 10*time.Millisecond) {
			return
		}
	}
	f.enter(b)
}

func (f *startingFleet) assembleStarting(b *testBox) {
	list := &boxList{boxes: map[string]zonereader.Box{}}
	f.lists[b.self.Name] = list
	changed := &waiting.Signal{}
	b.log = &countingLog{Log: f.log}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop()})
	b.registry = registry.New(registry.Config{
		Log: b.log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop(), StreamsChanged: changed, FirstReadDelay: 4 * time.Second,
		ServersDeadline: 5 * time.Second, OperatorDeadline: 5 * time.Second,
		OnBoxes: list.apply, Eras: &b.eras, HasReader: func() bool { return b.member.Following() != "" }, ExpectsReader: func() bool { return b.member.ExpectsReader() },
	})
	b.member = zonereader.New(zonereader.Config{
		Registry: b.registry, Parts: partindex.New(partindex.Config{}), Logger: zerolog.Nop(), Self: b.self, StreamsChanged: changed,
		Others: func() []zonereader.Box { return list.others(b.self.Name) }, BoxesKnown: list.isLoaded, Dial: f.dial,
		Log: b.log, Eras: &b.eras, FirstSystemStart: f.first,
	})
}

func (f *startingFleet) countReaders() (readers int) {
	for _, b := range f.list {
		if b.member.Following() == "" {
			readers++
		}
	}
	return readers
}

// When all boxes of a large fleet start together, each read the list of boxes, and everything else
// too, since with a list that was still empty each took itself for its zone's reader: 24 calls of
// the log a box. A box must need one call to find its reader, and the calls of the readers must not
// grow with the boxes.
func TestBoxesThatStartTogetherReadTheLogOnce(t *testing.T) {
	tests := []struct {
		name  string
		first bool
	}{
		{"the whole system for the first time", true},
		{"after a power failure of all boxes", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newStartingFleet(test.first)
				ctx, cancel := context.WithCancel(context.Background())
				defer f.wait.Wait()
				defer cancel()
				if !test.first {
					f.enterAllAndReaders()
				}
				f.startAll(ctx)
				time.Sleep(startingLength)
				for _, b := range f.list {
					g.Expect(b.registry.Catalog()).NotTo(BeNil(), b.self.Name)
					g.Expect(b.fleet.CountListed()).To(Equal(400), b.self.Name)
				}
				g.Expect(f.countReaders()).To(Equal(1), "one box reads for all zones")
				// A call for each box, and 60 for each of a few readers a zone: the pages of the first
				// reads, and six seconds of polling.
				g.Expect(f.calls()).To(BeNumerically("<=", startingZones*boxesPerZone+6*startingZones*60/2))
			})
		})
	}
}

// enterAllAndReaders leaves the log as it is after a while of operation.
func (f *startingFleet) enterAllAndReaders() {
	for i, b := range f.list {
		f.enter(b)
		if i < startingZones {
			value, err := msgpack.Marshal(map[string]string{"b": b.self.Name, "a": b.self.Address})
			if err != nil {
				panic(err) // a map of strings can always be encoded
			}
			f.log.Put(sharedlog.Readers, b.self.Zone, value)
		}
	}
}

// The reader that the directory names may be gone. The box must read the list itself and start.
func TestABoxStartsWithoutTheReaderOfTheDirectory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newStartingFleet(false)
		ctx, cancel := context.WithCancel(context.Background())
		defer f.wait.Wait()
		defer cancel()
		f.enterAllAndReaders()
		value, err := msgpack.Marshal(map[string]string{"b": "gone", "a": "gone"})
		g.Expect(err).NotTo(HaveOccurred())
		for i := range startingZones {
			f.log.Put(sharedlog.Readers, fmt.Sprint("zone-", i), value)
		}
		f.startAll(ctx)
		time.Sleep(startingLength)
		for _, b := range f.list {
			g.Expect(b.registry.Catalog()).NotTo(BeNil(), b.self.Name)
			g.Expect(b.fleet.CountListed()).To(Equal(400), b.self.Name)
		}
		g.Expect(f.countReaders()).To(Equal(1), "one box reads for all zones")
	})
}

// crash makes a box unreachable at once.
func (f *startingFleet) crash(b *testBox) {
	b.log.cut.Store(true)
	b.silent.Store(true)
	b.crashed.Store(true)
}
