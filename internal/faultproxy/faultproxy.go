// Package faultproxy is a TCP proxy that injects network faults between two processes of a test. It
// delays bytes, holds them back in one direction or both, resets connections, and blackholes open
// connections while new ones work.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is the state of the link that the proxy simulates.
type Link struct {
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// HoldToServer and HoldToClient hold bytes back. The bytes are forwarded once the hold ends.
	HoldToServer bool
	HoldToClient bool
}

// Proxy forwards connections to one server.
type Proxy struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	link   Link
	closed bool
	// changed is closed and replaced when the link changes, connections are blackholed or the
	// proxy closes.
	changed chan struct{}
	pairs   map[*connPair]bool
}

// connPair is a client's connection and the matching connection to the server.
type connPair struct {
	client, server *net.TCPConn
	// blackholed connections forward nothing any more, in either direction.
	blackholed bool
}

// dialTimeout is the timeout for connecting to the server.
const dialTimeout = time.Second

// bufferBytes is the maximum number of bytes that are forwarded at once.
const bufferBytes = 16 << 10

// Start starts a proxy that accepts connections on a free port of the loopback interface.
func Start(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server, changed: make(chan struct{}), pairs: map[*connPair]bool{}}
	go p.acceptLoop()
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes the state of the link.
func (p *Proxy) SetLink(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	p.notifyChange()
}

// notifyChange wakes the goroutines that wait for a change. The caller holds mu.
func (p *Proxy) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.reset()
	}
}

// Blackhole stops all traffic on the open connections for good, without closing them.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.blackholed = true
	}
	p.notifyChange()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // an error leaves nothing else to do
	p.mu.Lock()
	p.closed = true
	p.notifyChange()
	p.mu.Unlock()
	p.Reset()
}

func (p *connPair) reset() {
	_ = p.client.SetLinger(0) // fails only when the connection is already closed
	_ = p.server.SetLinger(0)
	p.close()
}

func (p *connPair) close() {
	_ = p.client.Close() // both may be closed already
	_ = p.server.Close()
}

func (p *Proxy) acceptLoop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.forwardConn(client.(*net.TCPConn))
	}
}

// forwardConn forwards one connection until either side closes it.
func (p *Proxy) forwardConn(client *net.TCPConn) {
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the client gets a reset, as from a server that refuses connections
		_ = client.Close()
		return
	}
	conns := &connPair{client: client, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[conns] = true
	p.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(conns, conns.client, conns.server, true) })
	directions.Go(func() { p.forward(conns, conns.server, conns.client, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.pairs, conns)
	p.mu.Unlock()
}

// forward copies bytes in one direction. The end of one direction closes the whole connection, since
// the processes of these tests never half-close connections.
func (p *Proxy) forward(conns *connPair, from io.Reader, to io.Writer, toServer bool) {
	defer conns.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.waitUntilOpen(conns, toServer) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// waitUntilOpen waits until bytes may be forwarded. It returns false when the proxy is closed.
func (p *Proxy) waitUntilOpen(conns *connPair, toServer bool) bool {
	for {
		p.mu.Lock()
		link, blackholed, closed, changed := p.link, conns.blackholed, p.closed, p.changed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !blackholed && !(toServer && link.HoldToServer) && !(!toServer && link.HoldToClient) {
			time.Sleep(link.Delay)
			return true
		}
		<-changed
	}
}
