// Boxes with listeners of their own, each with its own view of the versions.

package streamorigin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/originlog"
	"github.com/cometlock/cometlock/internal/reservedport"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// testBox is a box with its own view of the versions.
type testBox struct {
	*Origins
	others   func() []Box
	port     *reservedport.Port
	listener net.Listener
	// log is nil for a box that records nothing, and era its newest era that the box knows of.
	log  sharedlog.Log
	era  atomic.Int64
	stop context.CancelFunc

	mu       sync.Mutex
	box      Box
	versions []string
}

func (b *testBox) setVersions(versions ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions = versions
}

// startBoxes starts boxes in zones that know of two versions and record nothing.
func startBoxes(t *testing.T, g *WithT, zones ...string) []*testBox {
	t.Helper()
	return startBoxesWith(t, g, nil, zones...)
}

// startBoxesWith starts boxes in zones that know of two versions. Unless it is nil, logOf returns the log that
// a box records in.
func startBoxesWith(t *testing.T, g *WithT, logOf func(box int) sharedlog.Log, zones ...string) []*testBox {
	t.Helper()
	boxes := make([]*testBox, len(zones))
	for i, zone := range zones {
		port, err := reservedport.New()
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(port.Close)
		boxes[i] = &testBox{port: port, box: Box{Name: fmt.Sprint("box-", i), Zone: zone, Address: port.Address(), Process: "first"}, versions: []string{"v1", "v2"}}
		boxes[i].listen(g)
		if logOf != nil {
			boxes[i].log = sharedlog.NewMeasured(logOf(i), tally.NoopScope)
		}
	}
	for _, b := range boxes {
		b.others = func() (others []Box) {
			for _, other := range boxes {
				if other != b {
					others = append(others, other.current())
				}
			}
			return others
		}
		b.start()
		t.Cleanup(func() { b.stop() })
	}
	return boxes
}

// start starts a process of the box with empty memory.
func (b *testBox) start() {
	cfg := Config{Logger: zerolog.Nop(), Self: b.current(), Others: b.others, Versions: func(string) []string {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.versions
	}}
	ctx, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	if b.log != nil {
		cfg.Writer, cfg.Reader = originlog.NewWriter(originlog.WriterConfig{Log: b.log}), originlog.NewReader(originlog.ReaderConfig{Log: b.log})
		cfg.LogEra = b.era.Load
		cfg.Bases = baseversion.New(baseversion.Config{Log: b.log, Logger: zerolog.Nop()})
		loops.Go(func() { cfg.Writer.Loop(ctx) })
	}
	started, listener := New(cfg), b.listener
	b.Origins = started
	if b.log != nil {
		loops.Go(func() { started.LoopRecord(ctx) })
	}
	loops.Go(func() { started.Loop(ctx) })
	loops.Go(func() { started.LoopAccept(ctx, listener) })
	b.stop = func() {
		stop()
		loops.Wait()
		started.Wait()
	}
}

// listen opens a listener at the box's address.
func (b *testBox) listen(g *WithT) {
	listener, err := b.port.Listen()
	g.Expect(err).NotTo(HaveOccurred())
	b.listener = listener
}

// restart ends the box's process and starts another one, which the other boxes notice.
func (b *testBox) restart(g *WithT) {
	b.stop()
	b.listen(g)
	b.mu.Lock()
	b.box.Process += " and next"
	b.mu.Unlock()
	b.start()
}

// current returns the box as others see it.
func (b *testBox) current() Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.box
}
