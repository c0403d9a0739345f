package zonereader

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	startingServers   = 10_000
	startingBoxes     = 986
	startingStores    = 71
	startingParts     = 50
	startingFollowers = 200
)

// pipeListener accepts connections that a test makes.
type pipeListener struct{ accepts chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	if connection, open := <-l.accepts; open {
		return connection, nil
	}
	return nil, net.ErrClosed
}

func (pipeListener) Close() error   { return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newCompleteReader returns a reader that knows all servers, all boxes and what all store boxes hold.
func newCompleteReader() *Member {
	changed := &waiting.Signal{}
	r := registry.New(registry.Config{Decoder: keyDecoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop(), StreamsChanged: changed})
	records := func(count int, format string) (records []sharedlog.Record) {
		for i := range count {
			records = append(records, sharedlog.Record{Key: fmt.Sprintf("i-%08x", i*7919), Value: fmt.Appendf(nil, format, i), Offset: int64(i)})
		}
		return records
	}
	for stream, listed := range map[sharedlog.Stream][]sharedlog.Record{
		sharedlog.Servers:  records(startingServers, `{"service":"assist","address":"10.0.0.1:8080","zone":"hall-1","version":"v12","slots":12,"state":"ready","models":[{"name":"daka510000","version":1}],"born":%d}`),
		sharedlog.Boxes:    records(startingBoxes, "%0150d"),
		sharedlog.Operator: records(1, "%d"),
	} {
		r.ApplyUpdate(registry.StreamUpdate{Stream: stream, Full: true, Next: int64(len(listed)), Records: listed}, time.Now())
	}
	parts := partindex.New(partindex.Config{})
	var services []catalog.Service
	for i := range startingStores {
		services = append(services, catalog.Service{Name: fmt.Sprint("store-", i), Store: &catalog.Store{Address: storeAddress(i), CapacityTokens: 1_000_000}})
	}
	parts.Configure(services)
	var changes []partindex.Change
	for i := range startingParts {
		changes = append(changes, partindex.Change{Key: partindex.Key{Namespace: "model/1", ID: fmt.Sprint("part-", i)}, Tokens: 1000})
	}
	for i := range startingStores {
		parts.Replace(storeAddress(i), partindex.Report{Epoch: 1, AsOf: time.Now(), ClockMillis: 1, Changes: changes})
	}
	return New(Config{Registry: r, Parts: parts, Logger: zerolog.Nop(), StreamsChanged: changed})
}

func storeAddress(i int) string { return fmt.Sprint("10.0.0.", i, ":1") }

// firstRequest is the request of a box that knows nothing.
func firstRequest() *request {
	first := &request{Streams: map[sharedlog.Stream]int64{}, Stores: map[string]partindex.Position{}, Paged: true, Loads: map[sharedlog.Stream]registry.LoadCursor{}}
	for _, stream := range registry.ForwardedStreams() {
		first.Streams[stream] = sharedlog.FromNewest
	}
	for i := range startingStores {
		first.Stores[storeAddress(i)] = partindex.Position{}
	}
	return first
}

// withReader runs a test with a complete reader, and a function that connects to it.
func withReader(t *testing.T, test func(g *WithT, reader *Member, connect func() net.Conn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		reader, listener := newCompleteReader(), pipeListener{make(chan net.Conn)}
		var serving sync.WaitGroup
		serving.Go(func() { reader.LoopAccept(ctx, listener); reader.Wait() })
		defer serving.Wait()
		defer close(listener.accepts)
		defer cancel()
		test(NewWithT(t), reader, func() net.Conn {
			near, far := net.Pipe()
			listener.accepts <- far
			return near
		})
	})
}

// heldBytes returns the bytes that are in use.
func heldBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// A reader encoded the first pages of all its followers at once and held them until each was sent:
// 90 KB a follower. The heap grows to twice what is held before it is collected, so of the 96 MB
// that a reader may use at 986 boxes, 30 MB remain for its followers beside the program, the servers
// and the parts that it knows.
func TestAReaderHoldsFewBytesForFollowersThatStartTogether(t *testing.T) {
	const maxHeld = 30 << 20 * startingFollowers / startingBoxes
	withReader(t, func(g *WithT, _ *Member, connect func() net.Conn) {
		before := heldBytes()
		var followers []net.Conn
		for range startingFollowers {
			follower := connect()
			followers = append(followers, follower)
			g.Expect(frame.Write(follower, firstRequest(), ioTimeout)).To(Succeed())
		}
		synctest.Wait() // each request has been answered as far as its follower reads
		held := heldBytes() - before
		t.Logf("%d KB for %d followers", held>>10, startingFollowers)
		g.Expect(held).To(BeNumerically("<=", maxHeld))
		for _, follower := range followers {
			_ = follower.Close()
		}
	})
}

// slowLink is a connection with the bandwidth of a small box.
type slowLink struct{ net.Conn }

func (c slowLink) Read(data []byte) (int, error) {
	const bytesPerSecond = 20_000_000 / 8
	count, err := c.Conn.Read(data)
	time.Sleep(time.Duration(count) * time.Second / bytesPerSecond)
	return count, err
}

// receiveAll requests pages and parts until it has everything that the reader knows.
func receiveAll(connection net.Conn) error {
	next, buffered := firstRequest(), bufio.NewReader(slowLink{connection})
	incomplete := len(next.Streams) + len(next.Stores)
	for incomplete > 0 {
		if err := frame.Write(connection, next, ioTimeout); err != nil {
			return err
		}
		if err := connection.SetReadDeadline(time.Now().Add(longPoll + responseTimeout)); err != nil {
			return err
		}
		var received response
		if err := frame.Read(buffered, &received, maxResponseBytes); err != nil {
			return err
		}
		incomplete -= applyReceived(next, received)
	}
	return nil
}

// applyReceived advances a request by a response, and returns how many streams and store boxes are
// complete by it.
func applyReceived(next *request, received response) (completed int) {
	for _, update := range received.Streams {
		switch page, paged := received.Pages[update.Stream]; {
		case next.Streams[update.Stream] >= 0 || !paged:
		case page.More:
			next.Loads[update.Stream] = page.Next
		default:
			delete(next.Loads, update.Stream)
			next.Streams[update.Stream] = update.Next
			completed++
		}
	}
	for _, packed := range received.Stores {
		if address := packed.Update.Address; packed.Update.Full && next.Stores[address].Epoch == 0 {
			next.Stores[address] = packed.Update.Position
			completed++
		}
	}
	return completed
}

// What bounds the memory of a reader delays its followers: they are complete before they would read
// the log themselves.
func TestFollowersThatStartTogetherAreCompleteInTime(t *testing.T) {
	const maxTime = 3 * time.Second // of the 5 s for which they wait
	withReader(t, func(g *WithT, _ *Member, connect func() net.Conn) {
		start := time.Now()
		var followers sync.WaitGroup
		errs := make(chan error, startingFollowers)
		for range startingFollowers {
			follower := connect()
			followers.Go(func() {
				defer follower.Close()
				errs <- receiveAll(follower)
			})
		}
		followers.Wait()
		for range startingFollowers {
			g.Expect(<-errs).To(Succeed())
		}
		t.Logf("all complete after %v", time.Since(start))
		g.Expect(time.Since(start)).To(BeNumerically("<=", maxTime))
	})
}

// A follower beyond the bound on full states must neither lose its connection nor wait for pages of
// views, which have no such bound.
func TestAFollowerBeyondTheBoundOnFullStatesIsToldToWait(t *testing.T) {
	withReader(t, func(g *WithT, reader *Member, connect func() net.Conn) {
		for range maxTransfers {
			reader.transfers <- struct{}{}
		}
		follower := connect()
		defer follower.Close()
		next, buffered := firstRequest(), bufio.NewReader(follower)
		poll := func() (received response, took time.Duration) {
			start := time.Now()
			g.Expect(frame.Write(follower, next, ioTimeout)).To(Succeed())
			g.Expect(frame.Read(buffered, &received, maxResponseBytes)).To(Succeed())
			return received, time.Since(start)
		}
		received, took := poll()
		g.Expect(took).To(BeZero())
		g.Expect(received.Pages).To(HaveLen(len(registry.ForwardedStreams())))
		for stream := range next.Streams {
			next.Streams[stream] = reader.cfg.Registry.Position(stream)
		}
		received, took = poll()
		g.Expect(took).To(Equal(longPoll))
		g.Expect(received.Stores).To(HaveLen(startingStores))
		for _, packed := range received.Stores {
			g.Expect(packed.Update.Unknown).To(BeTrue())
		}
		<-reader.transfers
		received, took = poll()
		g.Expect(took).To(BeZero())
		g.Expect(applyReceived(next, received)).To(BeNumerically(">=", maxPartsPerResponse/startingParts))
		synctest.Wait()
		g.Expect(reader.transfers).To(HaveLen(maxTransfers-1), "the room is released when the response has been sent")
	})
}
