// Package callerconn wraps the callers' connections to add two features that Go's HTTP server lacks.
//
// First, the server can close idle connections without breaking a call that has just arrived on one
// of them. The server checks that a connection is idle and then closes it; in between, the first bytes
// of a call may have been read. That call would run, and its response could not be sent. A wrapped
// connection records whether bytes were received since it became idle, and if so ignores the close.
// The call is served, and the server closes the connection after the response. The exception is a call
// whose headers are complete only after Shutdown was called: the server drops it before a handler
// runs, so its caller may retry it.
//
// Second, the timeouts for idle connections and for request headers follow the configuration. Those of
// the server itself are fixed when it starts. An idle connection whose timeout is over stays open if the
// timeout has become longer, or if bytes have arrived that the server has not read.
package callerconn

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts holds the configurable timeouts of connections; for a zero value, the server's own applies.
type Timeouts struct {
	// Header bounds the time from the first byte of a call to the end of its headers.
	Header time.Duration
	// Idle bounds the idle time of a connection between two calls.
	Idle time.Duration
}

// Listener wraps the accepted connections so that TrackState can track their state.
type Listener struct {
	net.Listener
	// Timeouts returns the current timeouts. The server must have its own timeouts set too, because
	// only a deadline that the server sets is replaced.
	Timeouts func() Timeouts
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: connection, timeouts: l.Timeouts}, nil
}

// TrackState must be installed as the server's ConnState hook.
func TrackState(connection net.Conn, state http.ConnState) {
	if c, ok := connection.(*conn); ok {
		c.track(state)
	}
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	timeouts func() Timeouts

	mu sync.Mutex
	// active is set from the time the headers of a call have been read until its response has been
	// sent; idle is set between calls.
	active bool
	idle   bool
	// received is set if bytes were received since the connection became idle, idleTimeoutSet if the
	// server has set the deadline for the idle time. idleSince is when it did so, and zero again once it
	// waits for the headers of a call, whose first bytes it may have read with the call before.
	received       bool
	idleTimeoutSet bool
	idleSince      time.Time
	// serverIdleEnd is the end of the idle time by the server's own timeout.
	serverIdleEnd time.Time
	// headerExtended is set if the current header timeout was extended.
	headerExtended bool
}

// NetConn returns the connection that is wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) track(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	c.idle = state == http.StateIdle
	c.received, c.idleTimeoutSet, c.idleSince, c.headerExtended = false, false, time.Time{}, false
}

// SetReadDeadline implements net.Conn. The server sets a deadline for the idle time, and then one for
// the headers of a call. Deadlines that are set while a call is active apply to its body and are not
// changed.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() {
		if timeout := c.nextTimeout(deadline); timeout > 0 {
			deadline = time.Now().Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// nextTimeout returns the timeout of what the connection waits for next, or zero if the deadline, which is the
// server's, is not to be changed.
func (c *conn) nextTimeout(deadline time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.active:
		return 0
	case c.idle && !c.idleTimeoutSet:
		c.idleTimeoutSet, c.idleSince, c.serverIdleEnd = true, time.Now(), deadline
		return c.timeouts().Idle
	default:
		c.idleSince, c.headerExtended = time.Time{}, false
		return c.timeouts().Header
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendTimeout() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 || err != nil {
		// After an error, the rest of a partly received call will not arrive.
		c.mu.Lock()
		c.received = err == nil
		c.mu.Unlock()
	}
	return n, err
}

// lateReadTime is the time to read the bytes that have arrived before the end of a timeout.
const lateReadTime = 100 * time.Millisecond

// extendTimeout sets a later deadline for a connection whose idle or header timeout is over, and reports
// whether it may be read again: if the idle timeout has become longer, or if bytes have arrived. The
// deadline makes reads fail even then, which happens when the process gets no CPU time until the timeout is
// over. A header timeout is extended once, since its caller may send its headers slowly on purpose.
func (c *conn) extendTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		return false // the deadline is that of a body, whose caller gets a response
	}
	isIdle := !c.idleSince.IsZero() && !c.received
	extension := lateReadTime
	if left := time.Until(c.idleEnd()); isIdle && left > 0 {
		extension = left
	} else if !isIdle && c.headerExtended || !hasUnreadBytes(c.Conn) {
		return false
	}
	c.headerExtended = !isIdle
	return c.Conn.SetReadDeadline(time.Now().Add(extension)) == nil
}

// idleEnd returns the end of the idle time by the timeout that applies now. The caller holds mu.
func (c *conn) idleEnd() time.Time {
	if timeout := c.timeouts().Idle; timeout > 0 {
		return c.idleSince.Add(timeout)
	}
	return c.serverIdleEnd
}

// hasUnreadBytes reports whether bytes have arrived on a connection that were not read.
func hasUnreadBytes(connection net.Conn) bool {
	socket, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) // n is -1 after an error
	})
	return err == nil && n > 0
}

// Close implements net.Conn. It ignores the close of an idle connection that has received bytes.
func (c *conn) Close() error {
	c.mu.Lock()
	keepOpen := c.idle && c.received
	c.mu.Unlock()
	if keepOpen {
		return nil
	}
	return c.Conn.Close()
}
