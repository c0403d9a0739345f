// Package softclose lets an HTTP server close the connections that rest without
// cutting off a call that has just come on one of them.
//
// Go's server decides that a connection rests, and then closes it. In between the
// first bytes of a call may have been read: the call would be handled, and its
// answer would have nowhere to go. Here a connection remembers whether bytes were
// read since it last came to rest, and does not let itself be closed as resting
// then. Its call is served, and the server closes it after the answer.
package softclose

import (
	"net"
	"net/http"
	"sync"
)

// Listener wraps connections so that Track can follow them.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection}, nil
}

// Track is the server's ConnState hook.
func Track(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok {
		c.track(state)
	}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn

	mu      sync.Mutex
	resting bool
	// read says that bytes came since the connection came to rest.
	read bool
}

func (c *conn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = state == http.StateIdle
	c.read = false
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		c.read = true
		c.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	spared := c.resting && c.read
	c.mu.Unlock()
	if spared {
		return nil
	}
	return c.Conn.Close()
}
