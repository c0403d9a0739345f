// Connections in memory for tests in paused time: between boxes that a test may cut from
// each other. What is written into a cut stays on its way, and arrives late when it heals,
// as with TCP.

package loadshare_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// hop is how long a message is on its way.
const hop = 2 * time.Millisecond

// fabric is the network between boxes, by their addresses.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*port
	// cut holds the directed pairs of boxes that are cut from each other.
	cut map[[2]string]bool
	// sent counts what was written.
	sent int
}

func newFabric() *fabric {
	return &fabric{listeners: map[string]*port{}, cut: map[[2]string]bool{}}
}

// port is where a box accepts; it implements net.Listener.
type port struct {
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

var errRefused = errors.New("nothing listens there")

// Accept implements net.Listener.
func (p *port) Accept() (net.Conn, error) {
	select {
	case connection := <-p.accepts:
		return connection, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *port) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *port) Addr() net.Addr { return &net.TCPAddr{} }

// listen opens a box's port, in place of that of an earlier life.
func (f *fabric) listen(address string) net.Listener {
	opened := &port{accepts: make(chan net.Conn), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listeners[address] = opened
	return opened
}

// setCut cuts the way from one box to another, or heals it.
func (f *fabric) setCut(from, to string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[[2]string{from, to}] = cut
}

// count counts a message: boxes write each at once.
func (f *fabric) count() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
}

// messages gives the number of messages so far.
func (f *fabric) messages() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// heal ends all cuts.
func (f *fabric) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}

func (f *fabric) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{from, to}]
}

// dialFrom gives how a box connects to others.
func (f *fabric) dialFrom(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if f.isCut(from, to) || f.isCut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		f.mu.Lock()
		target := f.listeners[to]
		f.mu.Unlock()
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
		go f.carry(from, to, nearEnd, farEnd)
		return near, nil
	}
}

// carry takes bytes from one box's end of a connection to the other's until either ends.
// Boxes write on connections that they opened only.
func (f *fabric) carry(from, to string, source, target net.Conn) {
	defer source.Close()
	defer target.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := source.Read(buffer)
		if err != nil {
			return
		}
		f.count()
		time.Sleep(hop)
		for f.isCut(from, to) {
			time.Sleep(10 * hop)
		}
		if _, err := target.Write(buffer[:n]); err != nil {
			return
		}
	}
}
