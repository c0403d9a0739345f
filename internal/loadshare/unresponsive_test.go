package loadshare_test

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fakesharedlog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
)

// relay forwards connections to an address, and can make the open ones unresponsive: it still reads
// their data but drops it.
type relay struct {
	listener net.Listener
	target   string
	opened   atomic.Int64

	mu       sync.Mutex
	dropping *atomic.Bool // for connections that are opened from now on
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, dropping: &atomic.Bool{}}
	t.Cleanup(func() { _ = listener.Close() }) // stops loop
	go r.loop()
	return r
}

func (r *relay) loop() {
	for {
		connection, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.opened.Add(1)
		r.mu.Lock()
		dropping := r.dropping
		r.mu.Unlock()
		go r.run(connection, dropping)
	}
}

// run forwards the bytes of one connection until either side ends.
func (r *relay) run(from net.Conn, dropping *atomic.Bool) {
	defer from.Close()
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	_, _ = io.Copy(droppingConn{to, dropping}, from) // an error also ends the connection
}

// makeUnresponsive makes the open connections drop all data; those opened later work.
func (r *relay) makeUnresponsive() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping.Store(true)
	r.dropping = &atomic.Bool{}
}

// droppingConn drops what is written to it while dropping is set.
type droppingConn struct {
	net.Conn
	dropping *atomic.Bool
}

func (c droppingConn) Write(data []byte) (int, error) {
	if c.dropping.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// A connection may become unresponsive for good without a reset, while new ones work. Writes to it
// succeed for minutes, so only the missing echoes show the failure.
func TestAnUnresponsiveConnectionBetweenBoxesIsReplaced(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	a, b := startBox(t, log, "a", nil), startBox(t, log, "b", nil)
	g.Eventually(b.hasPeers, "5s", "10ms").Should(BeTrue(), "b is in the list")
	g.Eventually(a.hasPeers, "5s", "10ms").Should(BeTrue())
	proxy := newRelay(t, b.address)
	listBox(g, log, "b", proxy.listener.Addr().String())
	g.Eventually(proxy.opened.Load, "5s", "10ms").ShouldNot(BeZero(), "a sends to b through the relay")
	before := proxy.opened.Load()
	g.Consistently(b.hasPeers, "500ms", "10ms").Should(BeTrue(), "the earlier direct connection is closed meanwhile")
	proxy.makeUnresponsive()
	g.Eventually(b.hasPeers, "3s", "10ms").Should(BeFalse(), "b receives nothing any more")
	g.Eventually(b.hasPeers, "8s", "10ms").Should(BeTrue(), "a has opened another connection")
	g.Expect(proxy.opened.Load()).To(BeNumerically(">", before))
	g.Consistently(b.hasPeers, "3s", "10ms").Should(BeTrue(), "the new connection is kept")
}

// A box that could not read the list since this one was added to it sends this one nothing. The
// missing reports do not mean that the connection to it has become unresponsive.
func TestABoxThatNeverReportsIsSentToOnOneConnection(t *testing.T) {
	g := NewWithT(t)
	whole, older := fakesharedlog.New(), fakesharedlog.New()
	b := startBox(t, older, "b", nil)
	g.Eventually(b.share.ListedCount, "5s", "10ms").Should(Equal(1), "b has read its list")
	proxy := newRelay(t, b.address)
	listBox(g, whole, "b", proxy.listener.Addr().String())
	startBox(t, whole, "a", nil)
	g.Eventually(proxy.opened.Load, "5s", "10ms").Should(Equal(int64(1)))
	g.Consistently(proxy.opened.Load, "5s", "10ms").Should(Equal(int64(1)))
}

// After a connection was replaced, a message of the old one may still arrive. It must not replace a
// newer report.
func TestADelayedMessageIsIgnored(t *testing.T) {
	g := NewWithT(t)
	b := startBox(t, fakesharedlog.New(), "b", nil)
	send := func(incarnation string, sent time.Duration) {
		connection, err := net.Dial("tcp", b.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = connection.Close() }) // stays open, as a replaced connection does
		data, err := msgpack.Marshal(map[string]any{
			"b": "a", "i": incarnation, "s": sent, "l": []fleet.Load{}, "n": map[string][]registry.PeerWeights{},
		})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = connection.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
		g.Expect(err).NotTo(HaveOccurred())
	}
	received := func() int { return len(b.received) }
	send("first", 2*time.Second)
	g.Eventually(received, "2s", "5ms").Should(Equal(1))
	send("first", time.Second)
	g.Consistently(received, "300ms", "5ms").Should(Equal(1), "an older message")
	send("second", time.Second)
	g.Eventually(received, "2s", "5ms").Should(Equal(2), "the first message of another incarnation")
}
