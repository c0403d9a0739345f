package loadshare

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// heldBytes returns the bytes that are in use.
func heldBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// When the log is slow while all boxes start, the followers of a hub need its snapshot of half a
// megabyte at the same time. The hub encoded it for all of them at once and held it until each had
// received it. The heap grows to twice what is held before it is collected, so of the 96 MB that a box
// may use, 30 MB remain beside the program and its lists. All followers must have the snapshot within
// the 5 s for which they wait for a reader.
func TestAHubHoldsFewSnapshotsForItsFollowers(t *testing.T) {
	const (
		maxHeld   = 30 << 20
		maxTime   = 5 * time.Second
		followers = boxesPerHub
		records   = 2000
	)
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		snapshot := &registry.Snapshot{}
		for i := range records {
			snapshot.Servers = append(snapshot.Servers, sharedlog.Record{Key: fmt.Sprint("server-", i), Value: []byte(strings.Repeat("v", 250))})
		}
		never := func() bool { return false }
		s := New(Config{
			Box: "hub", Logger: zerolog.Nop(), Fleet: fleet.New(fleet.Config{Logger: zerolog.Nop()}), NeedsSnapshot: never,
			Snapshot:      func(string) *registry.Snapshot { return snapshot },
			NamedVersions: func() map[string][]registry.PeerWeights { return nil },
		})
		s.listLoaded = true
		var ends []net.Conn
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		defer running.Wait()
		defer cancel()
		before := heldBytes()
		for i := range followers {
			box := fmt.Sprint("box-", i)
			s.peers[box] = &peer{}
			s.reports[box] = &report{needsSnapshot: true, hub: "hub"}
		}
		for i := range followers {
			near, far := net.Pipe()
			defer far.Close()
			ends = append(ends, far)
			running.Go(func() { s.sendReports(ctx, fmt.Sprint("box-", i), near) })
		}
		synctest.Wait() // no follower has read anything yet
		held := heldBytes() - before
		t.Logf("%d KB for %d followers", held>>10, followers)
		g.Expect(held).To(BeNumerically("<=", maxHeld))
		start := time.Now()
		var receiving sync.WaitGroup
		var received atomic.Int64
		for _, end := range ends {
			receiving.Go(func() {
				if receiveSnapshot(end) {
					received.Add(1)
				}
			})
		}
		receiving.Wait()
		g.Expect(received.Load()).To(BeEquivalentTo(followers))
		t.Logf("all have the snapshot after %v", time.Since(start))
		g.Expect(time.Since(start)).To(BeNumerically("<=", maxTime))
	})
}

// receiveSnapshot reads messages at 20 Mbit/s until one has a snapshot, and reports whether one had.
func receiveSnapshot(connection net.Conn) bool {
	defer connection.Close()
	buffered := bufio.NewReader(slowLink{connection})
	for {
		if m, err := readMessage(buffered); err != nil || m.Snapshot != nil {
			return err == nil
		}
	}
}

// slowLink is a connection with the bandwidth of a small box.
type slowLink struct{ net.Conn }

func (c slowLink) Read(data []byte) (int, error) {
	const bytesPerSecond = 20_000_000 / 8
	count, err := c.Conn.Read(data)
	time.Sleep(time.Duration(count) * time.Second / bytesPerSecond)
	return count, err
}
