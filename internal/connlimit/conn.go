// One connection: what its unfinished request weighs, and whether it waits for its client.

package connlimit

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// conn is a connection of a client. The limiter's lock guards its fields.
type conn struct {
	net.Conn
	limiter *Limiter
	weight  Weight
	// http is set for a connection of an HTTP server, whose states track follows.
	http bool
	// inRequest is set while the bytes that arrive belong to an unfinished request, and held is its weight.
	// lastWeight is that of the last bytes, which may belong to the next request too.
	inRequest  bool
	held       int64
	lastWeight int64
	// idleDeadlines counts the deadlines that the HTTP server has set since the connection became idle.
	idleDeadlines int
	idle          bool
	// serving is set while a request is being served, and proven once one was.
	serving bool
	proven  bool
	// closed is set once the limiter has closed the connection.
	closed bool
	// writeDeadline is set while the server has set a deadline for writes.
	writeDeadline bool
	// waitingSince is when the connection began to wait for its client, and writingSince when the current
	// write made its last progress; zero without one.
	waitingSince time.Time
	writingSince time.Time
}

// errClosed is the error of a connection that the limiter has closed. HTTP servers send no response then.
func (c *conn) errClosed() error {
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.Conn.LocalAddr(), Err: net.ErrClosed}
}

// isWaiting reports whether the connection waits for its client.
func (c *conn) isWaiting(now time.Time) bool {
	return !c.serving || !c.writingSince.IsZero() && now.Sub(c.writingSince) >= slowWriteTime
}

// goesBefore reports whether the connection is closed before another one that waits for its client too.
func (c *conn) goesBefore(other *conn) bool {
	if c.serving != other.serving {
		return !c.serving
	}
	if c.proven != other.proven {
		return !c.proven
	}
	return c.waitingSince.Before(other.waitingSince)
}

// hold sets the weight of the unfinished request.
func (c *conn) hold(weight int64) {
	c.limiter.requestBytes += max(weight-freeBytes, 0) - max(c.held-freeBytes, 0)
	c.held = weight
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	c.beginRead()
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, c.errClosed()
	}
	return n, err
}

// beginRead notes that the connection waits for its client.
func (c *conn) beginRead() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	switch {
	case !c.http && c.serving:
		c.serving, c.inRequest, c.waitingSince = false, true, time.Now()
	case c.http && c.idle && c.idleDeadlines == 1:
		c.hold(0) // the server waits for the next request, so it has used all that was received
	}
}

// received accounts for bytes of a request. It returns false if the limiter has closed the connection.
func (c *conn) received(part []byte) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	switch {
	case c.inRequest:
		c.lastWeight = c.weight(part)
	case c.http && len(part) == 1:
		c.lastWeight += c.weight(part) // the server reads one byte to notice that the client disconnects
		return true
	case c.http:
		c.lastWeight = c.weight(part)
		return true
	default:
		return true
	}
	c.hold(c.held + c.lastWeight)
	for l.cfg.MaxRequestBytes > 0 && l.requestBytes > l.cfg.MaxRequestBytes && !c.closed {
		before := l.requestBytes
		l.closeLargest()
		if l.requestBytes == before {
			break // the rest belongs to requests that are being served
		}
	}
	return !c.closed
}

// SetReadDeadline implements net.Conn. The server sets the first deadline of an idle connection before it waits
// for the next request, and the second one before it reads it.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.limiter.mu.Lock()
	c.idleDeadlines++
	c.limiter.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn. It fails if the client accepts nothing for writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	if c.hasWriteDeadline() {
		return c.Conn.Write(p)
	}
	defer c.setWriting(time.Time{})
	written := 0
	for {
		now := time.Now()
		c.setWriting(now)
		if err := c.Conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

func (c *conn) setWriting(since time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = since
}

// hasWriteDeadline reports whether the server sets deadlines for writes itself, as those of messages do.
func (c *conn) hasWriteDeadline() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return !c.http || c.writeDeadline
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.limiter.mu.Lock()
	c.writeDeadline = !deadline.IsZero()
	c.limiter.mu.Unlock()
	return c.Conn.SetWriteDeadline(deadline)
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}

// CloseWrite closes the direction to the client, where the connection supports it. The HTTP server does so before
// it closes a connection with unread bytes, since a reset could take the response away.
func (c *conn) CloseWrite() error {
	socket, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.EINVAL
	}
	return socket.CloseWrite()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection, by a reset if it is one of TCP.
func (c *conn) reset() {
	if socket, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = socket.SetLinger(0) // fails only if the socket is closed
	}
	_ = c.Close() // nothing more is sent
}

// MessageReceived notes that a whole valid message was received, and that the connection does not wait for its
// client until the next read.
func (c *conn) MessageReceived() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.hold(0)
	c.inRequest, c.serving, c.proven = false, true, true
}
