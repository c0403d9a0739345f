// Package resetconn has client connections that are reset if their last request was given up.
//
// After a close the kernel goes on sending what the other side has not acknowledged. A request that was given up long ago
// would arrive after an outage of the link, behind those that were sent in its place.
package resetconn

import (
	"context"
	"io"
	"net"
	"sync/atomic"

	"github.com/cometlock/cometlock/internal/cleaneof"
)

// Dialer returns a function that connects by TCP.
func Dialer(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: cleaneof.New(connection.(*net.TCPConn))}, nil
	}
}

// conn is a connection that is reset if it is closed before the response to the last request has begun.
type conn struct {
	*cleaneof.Conn
	unanswered atomic.Bool
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(data)
}

// ReadFrom implements io.ReaderFrom, which would otherwise bypass Write.
func (c *conn) ReadFrom(source io.Reader) (int64, error) {
	c.unanswered.Store(true)
	return c.Conn.ReadFrom(source)
}

// Read implements net.Conn.
func (c *conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if count > 0 {
		c.unanswered.Store(false)
	}
	return count, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.unanswered.Load() {
		_ = c.SetLinger(0) // fails only if the socket is closed
	}
	return c.Conn.Close()
}
