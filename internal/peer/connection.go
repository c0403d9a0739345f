package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// connection is a persistent connection to one peer.
type connection struct {
	mu     sync.Mutex
	conn   net.Conn
	reader *bufio.Reader
}

// call sends a message to a peer and returns its reply. After a failure the next call
// reconnects. Messages are idempotent, so they may be sent again.
func (g *Gossiper) call(ctx context.Context, address string, message Message) (Message, error) {
	c := g.connectionTo(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := g.dial(ctx, address)
		if err != nil {
			return Message{}, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	reply, err := g.roundTrip(c, message)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	return reply, err
}

func (g *Gossiper) roundTrip(c *connection, message Message) (Message, error) {
	if err := c.conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		return Message{}, err
	}
	n, err := writeMessage(c.conn, message)
	g.countSent(n)
	if err != nil {
		return Message{}, err
	}
	return readMessage(c.reader)
}

func (g *Gossiper) connectionTo(address string) *connection {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.connections[address]
	if !ok {
		c = &connection{}
		g.connections[address] = c
	}
	return c
}

func (g *Gossiper) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: ioTimeout}
	if g.cfg.ClientTLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secured := &tls.Dialer{NetDialer: dialer, Config: g.cfg.ClientTLS()}
	return secured.DialContext(ctx, "tcp", address)
}

func (g *Gossiper) closeConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.connections {
		c.mu.Lock()
		c.close()
		c.mu.Unlock()
	}
}

// close closes the connection if it is open. The caller holds mu.
func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
