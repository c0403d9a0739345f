package simulated

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// latency is the transit time of a message.
const latency = 2 * time.Millisecond

// Network is an in-memory network between boxes, which a test can cut from each other. It connects them
// by their addresses. Data that is written to a cut link is delayed until the cut ends, as with TCP.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	// cut holds the directed pairs of boxes whose link is cut.
	cut map[[2]string]bool
	// ExtraLatency adds to the transit time of each message.
	ExtraLatency time.Duration
	// sent counts the messages that were written.
	sent int
}

func newNetwork() *Network {
	return &Network{listeners: map[string]*memoryListener{}, cut: map[[2]string]bool{}}
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

// Listen opens a box's listener and replaces that of an earlier incarnation.
func (n *Network) Listen(address string) net.Listener {
	opened := &memoryListener{accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = opened
	return opened
}

// SetCut cuts or restores the link from one box to another.
func (n *Network) SetCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// countMessage counts a message. Boxes write each message in one call.
func (n *Network) countMessage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
}

// Messages returns the number of messages so far.
func (n *Network) Messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// Heal restores all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}]
}

// DialFrom returns the dial function of a box.
func (n *Network) DialFrom(from string) func(context.Context, string) (net.Conn, error) {
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
func (n *Network) forward(from, to string, source, target net.Conn) {
	defer source.Close()
	defer target.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if err != nil {
			return
		}
		n.countMessage()
		time.Sleep(latency + n.ExtraLatency)
		for n.isCut(from, to) {
			time.Sleep(10 * latency)
		}
		if _, err := target.Write(buffer[:count]); err != nil {
			return
		}
	}
}
