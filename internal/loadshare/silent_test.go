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

// relay passes connections on to an address, and can let those that are open go
// silent: what comes on them is taken and goes nowhere.
type relay struct {
	listener net.Listener
	target   string
	opened   atomic.Int64

	mu     sync.Mutex
	silent *atomic.Bool // that of the connections opened now
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, silent: &atomic.Bool{}}
	t.Cleanup(func() { _ = listener.Close() }) // ends loop
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
		silent := r.silent
		r.mu.Unlock()
		go r.run(connection, silent)
	}
}

// run passes on one connection's bytes until either side ends.
func (r *relay) run(from net.Conn, silent *atomic.Bool) {
	defer from.Close()
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer to.Close()
	_, _ = io.Copy(silenced{to, silent}, from) // an error is an end too
}

// silence lets the connections that are open go silent; those opened later work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent.Store(true)
	r.silent = &atomic.Bool{}
}

// silenced drops what is written to it once silent says so.
type silenced struct {
	net.Conn
	silent *atomic.Bool
}

func (s silenced) Write(data []byte) (int, error) {
	if s.silent.Load() {
		return len(data), nil
	}
	return s.Conn.Write(data)
}

// A connection may go silent for good without a reset, while new ones work. Writing on
// it goes well for minutes, so only that nothing comes back shows it.
func TestASilentConnectionBetweenBoxesIsReplaced(t *testing.T) {
	g := NewWithT(t)
	log := fakesharedlog.New()
	a, b := start(t, log, "a", nil), start(t, log, "b", nil)
	g.Eventually(b.knows, "5s", "10ms").Should(BeTrue(), "b stands in the list")
	g.Eventually(a.knows, "5s", "10ms").Should(BeTrue())
	way := newRelay(t, b.address)
	list(g, log, "b", way.listener.Addr().String())
	g.Eventually(way.opened.Load, "5s", "10ms").ShouldNot(BeZero(), "a tells b by way of the relay")
	before := way.opened.Load()
	g.Consistently(b.knows, "500ms", "10ms").Should(BeTrue(), "meanwhile the direct connection of before ends")
	way.silence()
	g.Eventually(b.knows, "3s", "10ms").Should(BeFalse(), "b hears nothing any more")
	g.Eventually(b.knows, "8s", "10ms").Should(BeTrue(), "a has opened another connection")
	g.Expect(way.opened.Load()).To(BeNumerically(">", before))
	g.Consistently(b.knows, "3s", "10ms").Should(BeTrue(), "that one stays")
}

// A box that could not read the list since this one entered it tells it nothing; its
// silence is no sign of a connection that has gone silent.
func TestABoxThatNeverTellsIsToldOnOneConnection(t *testing.T) {
	g := NewWithT(t)
	whole, older := fakesharedlog.New(), fakesharedlog.New()
	b := start(t, older, "b", nil)
	g.Eventually(b.share.Roll, "5s", "10ms").Should(Equal(1), "b has read its list")
	way := newRelay(t, b.address)
	list(g, whole, "b", way.listener.Addr().String())
	start(t, whole, "a", nil)
	g.Eventually(way.opened.Load, "5s", "10ms").Should(Equal(int64(1)))
	g.Consistently(way.opened.Load, "5s", "10ms").Should(Equal(int64(1)))
}

// After a connection was replaced, what was under way on the old one may come late; it
// must not take the place of later word.
func TestLateWordOfABoxChangesNothing(t *testing.T) {
	g := NewWithT(t)
	b := start(t, fakesharedlog.New(), "b", nil)
	say := func(life string, sent time.Duration) {
		connection, err := net.Dial("tcp", b.address)
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(func() { _ = connection.Close() }) // kept open, as the old one is
		data, err := msgpack.Marshal(map[string]any{
			"b": "a", "i": life, "s": sent, "l": []fleet.Load{}, "n": map[string][]registry.PeerWeights{},
		})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = connection.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...))
		g.Expect(err).NotTo(HaveOccurred())
	}
	told := func() int { return len(b.heard) }
	say("first", 2*time.Second)
	g.Eventually(told, "2s", "5ms").Should(Equal(1))
	say("first", time.Second)
	g.Consistently(told, "300ms", "5ms").Should(Equal(1), "older word")
	say("second", time.Second)
	g.Eventually(told, "2s", "5ms").Should(Equal(2), "the first word of another life")
}
