// Package callerconn looks after the connections of callers, in two respects in which
// Go's HTTP server falls short.
//
// It lets the server close the connections that rest without cutting off a call that
// has just come on one of them. The server decides that a connection rests, and then
// closes it. In between the first bytes of a call may have been read: the call would
// be handled, and its answer would have nowhere to go. Here a connection remembers
// whether bytes were read since it last came to rest, and does not let itself be
// closed as resting then. Its call is served, and the server closes it after the
// answer; but for one whose head is whole only after Shutdown was called, which the
// server drops before anybody handles it, so that its caller may send it again.
//
// It also lets the time limits of rests and of heads of calls follow the
// configuration; the server's own are fixed when it starts.
package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Timeouts are times that callers may take; zero leaves that of the server in place.
type Timeouts struct {
	// Header is the longest time from the first byte of a call to the end of its head.
	Header time.Duration
	// Idle is the longest rest of a connection between two calls.
	Idle time.Duration
}

// Listener wraps connections so that TrackState can follow them.
type Listener struct {
	net.Listener
	// Timeouts gives the limits in force. The server must have limits of its own, since
	// only a deadline that it sets is replaced.
	Timeouts func() Timeouts
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, limits: l.Timeouts}, nil
}

// TrackState is the server's ConnState hook.
func TrackState(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok {
		c.track(state)
	}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	limits func() Timeouts

	mu sync.Mutex
	// working says that the head of a call has been read, and its answer is not over.
	working bool
	resting bool
	// read says that bytes came since the connection came to rest, and restLimited that
	// the server has set the deadline of the rest.
	read        bool
	restLimited bool
}

func (c *conn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working = state == http.StateActive
	c.resting = state == http.StateIdle
	c.read, c.restLimited = false, false
}

// SetReadDeadline implements net.Conn. The server sets one for a rest, and then one for
// the head of a call; those that are set while a call is at work concern its body.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		if limit := c.nextLimit(); limit > 0 {
			deadline = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// nextLimit gives the limit of what the connection is about to wait for, or zero.
func (c *conn) nextLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.working:
		return 0
	case c.resting && !c.restLimited:
		c.restLimited = true
		return c.limits().Idle
	default:
		return c.limits().Header
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 || err != nil {
		// After an error no more of a call that has begun will come.
		c.mu.Lock()
		c.read = err == nil
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
