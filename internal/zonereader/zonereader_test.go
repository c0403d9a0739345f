package zonereader_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// decoder takes the length of a value for the version of the configuration.
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	made, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
	return &registry.Declaration{Catalog: made}, err
}

func (decoder) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (decoder) Server(record sharedlog.Record) (fleet.Update, error) {
	update := fleet.Update{Key: record.Key, Offset: record.Offset}
	if len(record.Value) > 0 {
		update.Server = &fleet.Server{Incarnation: record.Key, Service: "s", Leaving: string(record.Value) == "leaving"}
	}
	return update, nil
}

// countingLog counts the calls of one box, and can be cut from it.
type countingLog struct {
	sharedlog.Log
	calls atomic.Int64
	cut   atomic.Bool
	// silent streams are those whose resting connection takes a call and never answers; the
	// call after it is made on a new one.
	silent sync.Map
}

// silence has all connections that rest go silent.
func (l *countingLog) silence() {
	for _, stream := range registry.ForwardedStreams() {
		l.silent.Store(stream, true)
	}
}

func (l *countingLog) Newest(ctx context.Context, stream sharedlog.Stream) (sharedlog.Page, error) {
	if err := l.call(ctx, stream); err != nil {
		return sharedlog.Page{}, err
	}
	return l.Log.Newest(ctx, stream)
}

func (l *countingLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	if err := l.call(ctx, stream); err != nil {
		return sharedlog.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if l.cut.Load() {
		<-ctx.Done() // the answer is lost
		return sharedlog.Page{}, ctx.Err()
	}
	return page, err
}

func (l *countingLog) call(ctx context.Context, stream sharedlog.Stream) error {
	l.calls.Add(1)
	if _, silent := l.silent.LoadAndDelete(stream); silent || l.cut.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// box is one of several boxes in paused time.
type box struct {
	self     zonereader.Box
	log      *countingLog
	fleet    *fleet.Fleet
	registry *registry.Registry
	zone     *zonereader.Member
	accepts  chan net.Conn
	closed   chan struct{}
	// silent boxes neither take questions nor answer any.
	silent atomic.Bool
}

func newBox(self zonereader.Box) *box {
	return &box{self: self, accepts: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *box) Accept() (net.Conn, error) {
	select {
	case connection := <-b.accepts:
		return connection, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (b *box) Close() error { close(b.closed); return nil }

// Addr implements net.Listener.
func (b *box) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn drops what a silent box writes, as a cut link does.
type silentConn struct {
	net.Conn
	box *box
}

func (c silentConn) Write(data []byte) (int, error) {
	if c.box.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// boxes are boxes that share a log and hear each other.
type boxes struct {
	log  *fakesharedlog.Log
	wait sync.WaitGroup

	mu   sync.Mutex
	list []*box
}

// all lists the boxes that there are now.
func (bs *boxes) all() []*box {
	bs.mu.Lock()
	defer bs.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(bs.list), func(b *box) bool { return b == nil })
}

func start(ctx context.Context, count int) *boxes {
	bs := &boxes{log: fakesharedlog.New()}
	bs.log.Put(sharedlog.Operator, "config", []byte("v"))
	bs.log.Put(sharedlog.Servers, "server", []byte("ready"))
	for i := range count {
		bs.list = append(bs.list, newBox(zonereader.Box{Box: delegate.Box{Name: fmt.Sprint("box-", i), Zone: "z"}, Address: fmt.Sprint(i)}))
	}
	for _, b := range bs.list {
		bs.assemble(b)
	}
	for _, b := range bs.list {
		bs.run(ctx, b)
	}
	return bs
}

// assemble makes the parts of a box.
func (bs *boxes) assemble(b *box) {
	news := &waiting.Signal{}
	b.log = &countingLog{Log: bs.log}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop()})
	b.registry = registry.New(registry.Config{Log: b.log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop(), StreamsChanged: news})
	b.zone = zonereader.New(zonereader.Config{
		Registry: b.registry, Parts: partindex.New(partindex.Config{News: news}), Logger: zerolog.Nop(), Self: b.self, StreamsChanged: news, PartsChanged: news,
		Others: func() []zonereader.Box { return bs.others(b) }, Dial: bs.dial,
	})
}

// run starts a box.
func (bs *boxes) run(ctx context.Context, b *box) {
	for _, loop := range []func(context.Context){b.registry.LoopOperator, b.registry.LoopServers, b.zone.LoopFollow} {
		bs.wait.Go(func() { loop(ctx) })
	}
	bs.wait.Go(func() { b.zone.LoopAccept(ctx, b); b.zone.Wait() })
}

func (bs *boxes) others(but *box) []zonereader.Box {
	var others []zonereader.Box
	for _, b := range bs.all() {
		if b != but {
			others = append(others, b.self)
		}
	}
	return others
}

func (bs *boxes) dial(ctx context.Context, address string) (net.Conn, error) {
	for _, b := range bs.all() {
		if b.self.Address != address {
			continue
		}
		near, far := net.Pipe()
		select {
		case b.accepts <- silentConn{far, b}:
			return near, nil
		case <-b.closed:
			return nil, errors.New("connection refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.New("no such box")
}

// reader gives the box that the others follow.
func (bs *boxes) reader() *box {
	for _, b := range bs.list {
		if b.zone.Following() == "" {
			return b
		}
	}
	return nil
}

// calls gives how many calls of the log all boxes made.
func (bs *boxes) calls() (total int64) {
	for _, b := range bs.list {
		total += b.log.calls.Load()
	}
	return total
}

// knowing counts the boxes with a version of the configuration, and draining those that
// have seen the server leave.
func (bs *boxes) knowing(version int64) (count int) {
	for _, b := range bs.list {
		if c := b.registry.Catalog(); c != nil && c.Version() == version {
			count++
		}
	}
	return count
}

func (bs *boxes) draining() (count int) {
	for _, b := range bs.list {
		if b.fleet.Choose(fleet.Query{Service: "s"}) == nil {
			count++
		}
	}
	return count
}

func bubble(t *testing.T, count int, test func(g *WithT, bs *boxes)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		bs := start(ctx, count)
		defer bs.wait.Wait()
		defer cancel()
		time.Sleep(5 * time.Second)
		test(NewWithT(t), bs)
	})
}

// Boxes once read all for themselves: with 82 boxes that was 3.3 calls of the log a second
// for each, the largest price of a day.
func TestTheLogIsReadByOneBoxForAll(t *testing.T) {
	bubble(t, 12, func(g *WithT, bs *boxes) {
		before := bs.calls()
		for i := range 10 {
			bs.log.Put(sharedlog.Servers, "server", []byte("ready")) // a heartbeat
			bs.log.Put(sharedlog.Operator, "config", fmt.Appendf(nil, "%0*d", i+2, 0))
			time.Sleep(time.Second)
			g.Expect(bs.knowing(int64(i + 2))).To(Equal(12))
		}
		// The servers' stream each 0.7 s, the operators' in reads of 0.5 s or more of which
		// each record ends one; twelve boxes would make 60.
		const aSecond = 7
		g.Expect(bs.calls() - before).To(BeNumerically("<=", 10*aSecond))
		bs.log.Put(sharedlog.Servers, "server", []byte("leaving"))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(bs.draining()).To(Equal(12))
	})
}

// What the platform asks for in time (two seconds here) must not rest on the reader.
func TestWhatMustBeKnownInTimeIsKnownWhateverBecomesOfTheReader(t *testing.T) {
	tests := []struct {
		name    string
		breakIt func(reader *box)
		alone   bool
	}{
		{"it stands still", func(reader *box) { reader.silent.Store(true); reader.log.cut.Store(true) }, true},
		{"it is cut off from the other boxes", func(reader *box) { reader.silent.Store(true) }, false},
		{"it is cut off from the log", func(reader *box) { reader.log.cut.Store(true) }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for _, moment := range []time.Duration{0, 130, 260, 390, 520, 650, 780, 910} {
				bubble(t, 8, func(g *WithT, bs *boxes) {
					time.Sleep(moment * time.Millisecond)
					test.breakIt(bs.reader())
					bs.log.Put(sharedlog.Operator, "config", []byte("vv"))
					bs.log.Put(sharedlog.Servers, "server", []byte("leaving"))
					time.Sleep(1900 * time.Millisecond)
					informed := 8
					if test.alone {
						informed-- // the reader itself cannot know
					}
					g.Expect(bs.knowing(2)).To(BeNumerically(">=", informed))
					g.Expect(bs.draining()).To(BeNumerically(">=", informed))
				})
			}
		})
	}
}

// Boxes that are told by another one do not read the log for long, and connections that rest
// meanwhile may go silent without a reset. When such a box has to read itself, its first call
// then brings nothing. A word counted for 1.5 s, that call took 1 s, or 2 s if the read was
// to be held, and the platform gives 2 s in all.
func TestWhatMustBeKnownInTimeIsKnownThoughConnectionsHaveGoneSilent(t *testing.T) {
	for _, moment := range []time.Duration{0, 130, 260, 390, 520, 650, 780, 910} {
		bubble(t, 8, func(g *WithT, bs *boxes) {
			time.Sleep(moment * time.Millisecond)
			reader := bs.reader()
			for _, b := range bs.list {
				if b != reader {
					b.log.silence()
				}
			}
			reader.silent.Store(true)
			reader.log.cut.Store(true)
			bs.log.Put(sharedlog.Operator, "config", []byte("vv"))
			bs.log.Put(sharedlog.Servers, "server", []byte("leaving"))
			time.Sleep(1900 * time.Millisecond)
			g.Expect(bs.knowing(2)).To(BeNumerically(">=", 7), "moment %d", moment)
			g.Expect(bs.draining()).To(BeNumerically(">=", 7), "moment %d", moment)
		})
	}
}

// A box must not believe a word for longer because it was long on its way.
func TestAWordIsAsOldAsWhatItSays(t *testing.T) {
	bubble(t, 4, func(g *WithT, bs *boxes) {
		reader := bs.reader()
		reader.log.cut.Store(true)
		cutAt := time.Now()
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, b := range bs.list {
				if b.zone.Following() != reader.self.Name || !b.registry.UsesReader() {
					continue // it has left the reader, and is told by one that reads
				}
				g.Expect(b.registry.OperatorReadAt()).To(BeTemporally("<=", cutAt))
				g.Expect(time.Since(cutAt)).To(BeNumerically("<=", 1600*time.Millisecond))
			}
		}
	})
}

// A reader that cannot read the log is left, so that its zone does not read for itself.
func TestAReaderThatIsCutOffFromTheLogIsLeft(t *testing.T) {
	bubble(t, 12, func(g *WithT, bs *boxes) {
		reader := bs.reader()
		reader.log.cut.Store(true)
		time.Sleep(6 * time.Second)
		for _, b := range bs.list {
			g.Expect(b.zone.Following()).NotTo(Equal(reader.self.Name))
		}
		before := bs.calls() - reader.log.calls.Load()
		time.Sleep(10 * time.Second)
		const aSecond = 12 // two boxes may read at times: some followers look whether the old one is back
		g.Expect(bs.calls() - reader.log.calls.Load() - before).To(BeNumerically("<=", 10*aSecond))
		bs.log.Put(sharedlog.Operator, "config", []byte("vv"))
		time.Sleep(1500 * time.Millisecond)
		g.Expect(bs.knowing(2)).To(BeNumerically(">=", 11))
	})
}

// The log's outage is no reason to leave the reader, nor to take anything back.
func TestAnOutageOfTheLogChangesNothing(t *testing.T) {
	bubble(t, 5, func(g *WithT, bs *boxes) {
		bs.log.Faults().SetFaults(fakelog.Faults{Down: true})
		time.Sleep(20 * time.Second)
		g.Expect(bs.knowing(1)).To(Equal(5))
		bs.log.Put(sharedlog.Operator, "config", []byte("vv")) // and the log is back
		time.Sleep(2 * time.Second)
		g.Expect(bs.knowing(2)).To(Equal(5))
		before := bs.calls()
		time.Sleep(10 * time.Second)
		g.Expect(bs.calls() - before).To(BeNumerically("<=", 40))
	})
}
