package zonereader

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// keyDecoder takes every record for a server named by its key.
type keyDecoder struct{}

func (keyDecoder) Declaration(sharedlog.Record) (*registry.Declaration, error) { return nil, nil }

func (keyDecoder) Rank(sharedlog.Stream, sharedlog.Record) (registry.Rank, bool) {
	return registry.Rank{}, false
}

func (keyDecoder) Evacuation(sharedlog.Record) (evacuation.Change, bool) {
	return evacuation.Change{}, false
}

func (keyDecoder) Server(record sharedlog.Record) (fleet.Update, error) {
	return fleet.Update{Key: record.Key, Offset: record.Offset, Server: &fleet.Server{Incarnation: record.Key}}, nil
}

// After a power failure of all boxes, 174 followers of a reader requested 2.5 MB each: several
// seconds of its link, and as many of its processor for encoding the same records again and again.
func TestPagesAreCompressedAndEncodedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		const servers, followers = 5000, 20
		size := 0
		for i := range servers {
			value := fmt.Appendf(nil, `{"service":"assist","address":"10.%d.%d.%d:8080","zone":"hall-%d","version":"v12","slots":12,"state":"ready","models":[{"name":"daka510000","version":1}],"born":%d}`, i%6, i/250, i%250, i%6, 1796216734000+i)
			size += len(value)
			log.Put(sharedlog.Servers, fmt.Sprintf("i-%08x", i*7919), value)
		}
		r := registry.New(registry.Config{Log: log, Decoder: keyDecoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.LoopServers(ctx)
		time.Sleep(time.Second)
		m := New(Config{Registry: r, Logger: zerolog.Nop()})
		var mu sync.Mutex
		encoded := map[*byte]bool{}
		load := func() {
			received, sent := 0, 0
			cursor := registry.LoadCursor{}
			for more := true; more; {
				next, err := m.loadPage(sharedlog.Servers, cursor)
				g.Expect(err).NotTo(HaveOccurred())
				records, err := next.records()
				g.Expect(err).NotTo(HaveOccurred())
				received += len(records)
				sent += len(next.Packed)
				if next.More {
					mu.Lock()
					encoded[&next.Packed[0]] = true
					mu.Unlock()
				}
				cursor, more = next.Next, next.More
			}
			g.Expect(received).To(Equal(servers))
			g.Expect(sent).To(BeNumerically("<=", size/3))
		}
		var loads sync.WaitGroup
		for range followers {
			loads.Go(load) // they ask at the same time
		}
		loads.Wait()
		g.Expect(len(encoded)).To(BeNumerically("<=", size/maxPageBytes+1), "each page but the last is encoded once")
	})
}

// The last page of a view was encoded again for each follower, one after the other: 1 ms of processor
// and 1 MB of garbage for each of three streams. It must show what has changed all the same.
func TestTheLastPageIsEncodedOnceUntilTheViewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		log := fakesharedlog.New()
		log.Put(sharedlog.Servers, "server-1", []byte("ready"))
		r := registry.New(registry.Config{Log: log, Decoder: keyDecoder{}, Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), Logger: zerolog.Nop()})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go r.LoopServers(ctx)
		time.Sleep(time.Second)
		m := New(Config{Registry: r, Logger: zerolog.Nop()})
		load := func() cachedPage {
			next, err := m.loadPage(sharedlog.Servers, registry.LoadCursor{})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(next.More).To(BeFalse())
			return next
		}
		first := load()
		time.Sleep(100 * time.Millisecond)
		second := load()
		g.Expect(&second.Packed[0]).To(BeIdenticalTo(&first.Packed[0]))
		g.Expect(second.update.Age).To(Equal(first.update.Age+100*time.Millisecond), "its age is that of the view")
		log.Put(sharedlog.Servers, "server-2", []byte("ready"))
		time.Sleep(time.Second)
		changed := load()
		g.Expect(changed.records()).To(HaveLen(2))
		g.Expect(changed.update.Next).To(Equal(first.update.Next + 1))
	})
}

// Responses share encoded pages, which are added to the encoded response by hand.
func TestAResponseWithSharedPagesIsDecodedAsUsual(t *testing.T) {
	tests := []map[sharedlog.Stream]page{
		nil,
		{sharedlog.Servers: {}},
		{
			sharedlog.Operator: {Next: registry.LoadCursor{Key: "a", Begun: true}, Packed: []byte("some records")},
			sharedlog.Servers:  {More: true, Restarted: true, Packed: make([]byte, 70_000)},
			sharedlog.Boxes:    {Packed: make([]byte, 300)},
		},
	}
	for _, pages := range tests {
		g := NewWithT(t)
		sent := response{Streams: []registry.StreamUpdate{{Stream: sharedlog.Servers, Next: 5}}, Held: time.Second, LogLost: true, Relayed: true, Pages: map[sharedlog.Stream]page{}}
		for stream, next := range pages {
			g.Expect(next.encode()).To(Succeed())
			sent.Pages[stream] = next
		}
		parts, err := sent.encode()
		g.Expect(err).NotTo(HaveOccurred())
		var received response
		g.Expect(safepack.Unmarshal(bytes.Join(parts, nil), &received)).To(Succeed())
		g.Expect(received.Pages).To(HaveLen(len(pages)))
		for stream, next := range pages {
			g.Expect(received.Pages[stream].Next).To(Equal(next.Next))
			g.Expect(received.Pages[stream].More).To(Equal(next.More))
			g.Expect(received.Pages[stream].Restarted).To(Equal(next.Restarted))
			g.Expect(received.Pages[stream].Packed).To(BeEquivalentTo(next.Packed))
		}
		received.Pages, sent.Pages = nil, nil
		g.Expect(received).To(Equal(sent))
	}
}
