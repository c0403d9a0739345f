// Package faultproxy stands between two processes of a test and does to their connections what
// networks do: it delays bytes, holds them back in one direction or both, resets connections, and
// lets those that are open fall silent for good while new ones work.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Link is how bytes travel.
type Link struct {
	// Delay is added to each piece on its way.
	Delay time.Duration
	// HoldToServer and HoldToClient hold bytes back, which travel on when the hold ends.
	HoldToServer bool
	HoldToClient bool
}

// Proxy takes connections for one server.
type Proxy struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	link   Link
	closed bool
	// changed is closed when the link or a connection's silence changes.
	changed chan struct{}
	pairs   map[*pair]bool
}

// pair is a client's connection with the one to the server.
type pair struct {
	client, server *net.TCPConn
	// mute says that nothing travels any more, in either direction.
	mute bool
}

// dialTimeout bounds the making of a connection to the server.
const dialTimeout = time.Second

// pieceBytes is what travels at once.
const pieceBytes = 16 << 10

// Start begins to take connections on a free port of the loopback interface.
func Start(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	go p.loop()
	return p, nil
}

// Address is where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetLink changes how bytes travel from now on.
func (p *Proxy) SetLink(link Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = link
	p.tell()
}

// tell wakes whoever waits. The caller holds mu.
func (p *Proxy) tell() {
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

// Blackhole has all connections that are open fall silent for good.
func (p *Proxy) Blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for pair := range p.pairs {
		pair.mute = true
	}
	p.tell()
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close() // nothing else can be done with it
	p.mu.Lock()
	p.closed = true
	p.tell()
	p.mu.Unlock()
	p.Reset()
}

func (p *pair) reset() {
	_ = p.client.SetLinger(0) // a connection that has ended needs no reset
	_ = p.server.SetLinger(0)
	p.close()
}

func (p *pair) close() {
	_ = p.client.Close() // both may have ended already
	_ = p.server.Close()
}

func (p *Proxy) loop() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.run(client.(*net.TCPConn))
	}
}

// run carries one connection until either end closes it.
func (p *Proxy) run(client *net.TCPConn) {
	server, err := net.DialTimeout("tcp", p.server, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the client is to see a connection that is refused
		_ = client.Close()
		return
	}
	both := &pair{client: client, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[both] = true
	p.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { p.carry(both, both.client, both.server, true) })
	ways.Go(func() { p.carry(both, both.server, both.client, false) })
	ways.Wait()
	p.mu.Lock()
	delete(p.pairs, both)
	p.mu.Unlock()
}

// carry brings bytes one way. The end of either way ends the connection: the processes of these
// tests never close one half.
func (p *Proxy) carry(both *pair, from io.Reader, to io.Writer, toServer bool) {
	defer both.close()
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.pass(both, toServer) {
			return
		}
		if _, writeErr := to.Write(piece[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

// pass waits until a piece may travel; false when the proxy is closed.
func (p *Proxy) pass(both *pair, toServer bool) bool {
	for {
		p.mu.Lock()
		link, mute, closed, changed := p.link, both.mute, p.closed, p.changed
		p.mu.Unlock()
		if closed {
			return false
		}
		if !mute && !(toServer && link.HoldToServer) && !(!toServer && link.HoldToClient) {
			time.Sleep(link.Delay)
			return true
		}
		<-changed
	}
}
