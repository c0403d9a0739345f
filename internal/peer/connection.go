package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// connection is a kept connection to one peer.
type connection struct {
	mu     sync.Mutex
	conn   net.Conn
	reader *bufio.Reader
}

// call sends a message to a peer and gives its answer. A failed connection is
// made anew the next time; messages may be repeated without harm.
func (x *Gossiper) call(ctx context.Context, address string, message Message) (Message, error) {
	c := x.connectionTo(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := x.dial(ctx, address)
		if err != nil {
			return Message{}, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	answer, err := x.callOn(c, message)
	if err != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	return answer, err
}

func (x *Gossiper) callOn(c *connection, message Message) (Message, error) {
	if err := c.conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		return Message{}, err
	}
	n, err := writeMessage(c.conn, message)
	x.countSent(n)
	if err != nil {
		return Message{}, err
	}
	return readMessage(c.reader)
}

func (x *Gossiper) connectionTo(address string) *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.connections[address]
	if !ok {
		c = &connection{}
		x.connections[address] = c
	}
	return c
}

func (x *Gossiper) dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: ioTimeout}
	if x.cfg.ClientTLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secured := &tls.Dialer{NetDialer: dialer, Config: x.cfg.ClientTLS()}
	return secured.DialContext(ctx, "tcp", address)
}

func (x *Gossiper) closeConnections() {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, c := range x.connections {
		c.mu.Lock()
		c.close()
		c.mu.Unlock()
	}
}

// close ends the connection, if there is one. The caller holds mu.
func (c *connection) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
