// An in-memory network for tests in simulated time, between boxes that a test can cut from each
// other. Data that is written to a cut link is delayed until the cut ends, as with TCP.

package loadshare_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// latency is the transit time of a message.
const latency = 2 * time.Millisecond

// network connects boxes by their addresses.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cut holds the directed pairs of boxes whose link is cut.
	cut map[[2]string]bool
	// extraLatency adds to the transit time of each message.
	extraLatency time.Duration
	// sent counts the messages that were written.
	sent int
}

func newNetwork() *network {
	return &network{listeners: map[string]*memoryListener{}, cut: map[[2]string]bool{}}
}

// memoryListener is the listener of a box; it implements net.Listener.
type memoryListener struct {
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var errRefused = errors.New("connection refused")

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepts:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// listen opens a box's listener and replaces that of an earlier incarnation.
func (n *network) listen(address string) net.Listener {
	opened := &memoryListener{accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = opened
	return opened
}

// setCut cuts or restores the link from one box to another.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// countMessage counts a message. Boxes write each message in one call.
func (n *network) countMessage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
}

// messages returns the number of messages so far.
func (n *network) messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// heal restores all links.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// dialFrom returns the dial function of a box.
func (n *network) dialFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.isCut(from, to) || n.isCut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		target := n.listeners[to]
		n.mu.Unlock()
		if target == nil {
			return nil, errRefused
		}
		near, nearEnd := net.Pipe()
		far, farEnd := net.Pipe()
		select {
		case target.accepts <- far:
		case <-target.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		go n.forward(from, to, nearEnd, farEnd)
		return near, nil
	}
}

// forward copies bytes from one box's end of a connection to the other's until either end fails.
// Boxes write only on connections that they opened.
func (n *network) forward(from, to string, source, target net.Conn) {
	defer source.Close()
	defer target.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if err != nil {
			return
		}
		n.countMessage()
		time.Sleep(latency + n.extraLatency)
		for n.isCut(from, to) {
			time.Sleep(10 * latency)
		}
		if _, err := target.Write(buffer[:count]); err != nil {
			return
		}
	}
}
