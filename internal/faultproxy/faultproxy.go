// Package faultproxy is a TCP proxy that injects network faults between two processes of a test. It
// delays bytes, holds them back in one direction or both, resets connections, blackholes open
// connections while new ones work, and partitions its clients from the server.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/blackhole"
	"github.com/cometlock/cometlock/internal/reservedport"
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
	port   *reservedport.Port
	server string

	mu sync.Mutex
	// partition is the current partition; zero if there is none.
	partition Partition
	// listener is nil while new connections are refused.
	listener *net.TCPListener
	// restores end the dropping of packets.
	restores []func() error
	link     Link
	closed   bool
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
	port, err := reservedport.New()
	if err != nil {
		return nil, err
	}
	listener, err := port.Listen()
	if err != nil {
		port.Close()
		return nil, err
	}
	p := &Proxy{port: port, listener: listener, server: server, changed: make(chan struct{}), pairs: map[*connPair]bool{}}
	go p.acceptLoop(p.listener)
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.port.Address() }

// Partition is how clients are partitioned from the server.
type Partition uint8

// Kinds of partition.
const (
	// PartitionSilent drops the packets of open and of new connections.
	PartitionSilent Partition = iota + 1
	// PartitionReset resets the open connections and refuses new ones.
	PartitionReset
	// PartitionNew refuses new connections, while the open ones work.
	PartitionNew
)

// Partition partitions the clients from the server until Heal.
func (p *Proxy) Partition(kind Partition) error {
	if kind == PartitionReset {
		defer p.Reset()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.partition = kind
	if kind != PartitionSilent {
		closing := p.listener
		p.listener = nil
		return closing.Close()
	}
	restore, err := blackhole.Drop(p.listener)
	if err != nil {
		return err
	}
	p.restores = append(p.restores, restore)
	for pair := range p.pairs {
		p.silence(pair)
	}
	return nil
}

// silence drops the packets of a connection until Heal. The caller holds mu.
func (p *Proxy) silence(pair *connPair) {
	if restore, err := blackhole.Drop(pair.client); err == nil { // the client may have closed it
		p.restores = append(p.restores, restore)
	}
}

// Heal ends a partition.
func (p *Proxy) Heal() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, restore := range p.restores {
		_ = restore() // the connection may have been closed
	}
	p.restores, p.partition = nil, 0
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := p.port.Listen()
	if err != nil {
		return err
	}
	p.listener = listener
	go p.acceptLoop(listener)
	return nil
}

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
	p.mu.Lock()
	if p.listener != nil {
		_ = p.listener.Close() // an error leaves nothing else to do
	}
	p.port.Close()
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

func (p *Proxy) acceptLoop(listener net.Listener) {
	for {
		client, err := listener.Accept()
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
	p.add(conns)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(conns, conns.client, conns.server, true) })
	directions.Go(func() { p.forward(conns, conns.server, conns.client, false) })
	directions.Wait()
	p.mu.Lock()
	delete(p.pairs, conns)
	p.mu.Unlock()
}

// add adds a connection, to which the current partition applies if it was accepted before.
func (p *Proxy) add(conns *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pairs[conns] = true
	switch {
	case p.closed, p.partition == PartitionReset:
		conns.reset()
	case p.partition == PartitionSilent:
		p.silence(conns)
	}
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
