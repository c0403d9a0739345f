// Boxes that share a log and follow each other, in simulated time.

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
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
	"github.com/cometlock/cometlock/internal/zonereader"
)

// decoder decodes the length of a value as the version of the configuration.
type decoder struct{}

func (decoder) Declaration(record sharedlog.Record) (*registry.Declaration, error) {
	c, err := catalog.New(catalog.Config{Version: int64(len(record.Value))})
	return &registry.Declaration{Catalog: c}, err
}

// Rank returns the version of a configuration.
func (decoder) Rank(stream sharedlog.Stream, record sharedlog.Record) (registry.Rank, bool) {
	return registry.Rank{Major: int64(len(record.Value))}, stream == sharedlog.Operator
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

// countingLog counts one box's calls, and can be cut off from that box.
type countingLog struct {
	sharedlog.Log
	calls atomic.Int64
	// fullReads counts the full reads of the servers' stream that were begun.
	fullReads atomic.Int64
	cut       atomic.Bool
	// silent holds the streams whose idle connection accepts a call and never responds; the next
	// call uses a new connection.
	silent sync.Map
}

// silence makes all idle connections silent.
func (l *countingLog) silence() {
	for _, stream := range registry.ForwardedStreams() {
		l.silent.Store(stream, true)
	}
}

func (l *countingLog) NewestPage(ctx context.Context, stream sharedlog.Stream, after string) (sharedlog.Page, error) {
	if err := l.call(ctx, stream); err != nil {
		return sharedlog.Page{}, err
	}
	if stream == sharedlog.Servers && after == "" {
		l.fullReads.Add(1)
	}
	return l.Log.NewestPage(ctx, stream, after)
}

func (l *countingLog) Read(ctx context.Context, stream sharedlog.Stream, from int64, wait time.Duration) (sharedlog.Page, error) {
	if err := l.call(ctx, stream); err != nil {
		return sharedlog.Page{}, err
	}
	page, err := l.Log.Read(ctx, stream, from, wait)
	if l.cut.Load() {
		<-ctx.Done() // the response is lost
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

// testBox is one of several boxes with fake time.
type testBox struct {
	self     zonereader.Box
	log      *countingLog
	fleet    *fleet.Fleet
	registry *registry.Registry
	member   *zonereader.Member
	eras     sharedlog.Eras
	accepts  chan net.Conn
	closed   chan struct{}
	// silent boxes neither receive requests nor send responses.
	silent atomic.Bool
	// crashed boxes refuse connections.
	crashed atomic.Bool
}

func newBox(self zonereader.Box) *testBox {
	return &testBox{self: self, accepts: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *testBox) Accept() (net.Conn, error) {
	select {
	case connection := <-b.accepts:
		return connection, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (b *testBox) Close() error { close(b.closed); return nil }

// Addr implements net.Listener.
func (b *testBox) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn drops what a silent box writes, as a broken link does.
type silentConn struct {
	net.Conn
	box *testBox
}

func (c silentConn) Write(data []byte) (int, error) {
	if c.box.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// testFleet is some boxes that share a log and can connect to each other.
type testFleet struct {
	log  *fakesharedlog.Log
	wait sync.WaitGroup
	// dials counts the connections between boxes that were begun.
	dials atomic.Int64

	mu   sync.Mutex
	list []*testBox
}

// all lists the running boxes.
func (f *testFleet) all() []*testBox {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.list), func(b *testBox) bool { return b == nil })
}

func start(ctx context.Context, count int) *testFleet {
	f := &testFleet{log: fakesharedlog.New()}
	f.log.Put(sharedlog.Operator, "config", []byte("v"))
	f.log.Put(sharedlog.Servers, "server", []byte("ready"))
	for i := range count {
		f.list = append(f.list, newBox(zonereader.Box{Box: delegate.Box{Name: fmt.Sprint("box-", i), Zone: "z"}, Address: fmt.Sprint(i)}))
	}
	for _, b := range f.list {
		f.assemble(b)
	}
	for _, b := range f.list {
		f.run(ctx, b)
	}
	return f
}

// assemble creates the parts of a box.
func (f *testFleet) assemble(b *testBox) {
	changed := &waiting.Signal{}
	b.log = &countingLog{Log: f.log}
	b.fleet = fleet.New(fleet.Config{Logger: zerolog.Nop()})
	b.registry = registry.New(registry.Config{Log: b.log, Decoder: decoder{}, Fleet: b.fleet, Logger: zerolog.Nop(), StreamsChanged: changed})
	b.member = zonereader.New(zonereader.Config{
		Registry: b.registry, Parts: partindex.New(partindex.Config{Changed: changed}), Logger: zerolog.Nop(), Self: b.self, StreamsChanged: changed, PartsChanged: changed,
		Others: func() []zonereader.Box { return f.others(b) }, Dial: f.dial,
	})
}

// run starts a box.
func (f *testFleet) run(ctx context.Context, b *testBox) {
	for _, loop := range []func(context.Context){b.registry.LoopOperator, b.registry.LoopServers, b.member.LoopFollow, b.member.LoopForgetOutages} {
		f.wait.Go(func() { loop(ctx) })
	}
	f.wait.Go(func() { b.member.LoopAccept(ctx, b); b.member.Wait() })
}

func (f *testFleet) others(except *testBox) []zonereader.Box {
	var others []zonereader.Box
	for _, b := range f.all() {
		if b != except {
			others = append(others, b.self)
		}
	}
	return others
}

func (f *testFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	f.dials.Add(1)
	for _, b := range f.all() {
		if b.self.Address != address || b.crashed.Load() {
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

// reader returns the box that the others follow.
func (f *testFleet) reader() *testBox {
	for _, b := range f.list {
		if b.member.Following() == "" {
			return b
		}
	}
	return nil
}

// calls returns the number of calls of the log by all boxes.
func (f *testFleet) calls() (total int64) {
	for _, b := range f.list {
		total += b.log.calls.Load()
	}
	return total
}

// fullReads returns the number of full reads of the servers' stream by all boxes.
func (f *testFleet) fullReads() (total int64) {
	for _, b := range f.list {
		total += b.log.fullReads.Load()
	}
	return total
}

// countVersion counts the boxes with a version of the configuration, and countDraining those that
// know that the server is leaving.
func (f *testFleet) countVersion(version int64) (count int) {
	for _, b := range f.list {
		if c := b.registry.Catalog(); c != nil && c.Version() == version {
			count++
		}
	}
	return count
}

func (f *testFleet) countDraining() (count int) {
	for _, b := range f.list {
		if b.fleet.Choose(fleet.Query{Service: "s"}) == nil {
			count++
		}
	}
	return count
}

func inBubble(t *testing.T, count int, test func(g *WithT, f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := start(ctx, count)
		defer f.wait.Wait()
		defer cancel()
		time.Sleep(5 * time.Second)
		test(NewWithT(t), f)
	})
}
