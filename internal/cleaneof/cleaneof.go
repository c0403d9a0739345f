// Package cleaneof has TCP connections whose reads end with io.EOF only if the other side has ended its direction.
//
// The kernel reports the error of a connection that was reset, or that timed out, to a single read or write. If a write in
// progress receives it, reads return io.EOF from then on, as at the proper end of the stream. A response without a length
// ends with its connection, so a part of it would count as the whole.
package cleaneof

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection.
type Conn struct {
	*net.TCPConn
	// mu is held during writes, and guards writeErr, the first error of one.
	mu       sync.Mutex
	writeErr error
}

// New wraps a connection, which must not be written to directly from then on.
func New(connection *net.TCPConn) *Conn { return &Conn{TCPConn: connection} }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(data)
	c.noteError(err)
	return n, err
}

// ReadFrom implements io.ReaderFrom, which would otherwise bypass Write.
func (c *Conn) ReadFrom(source io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, source)
}

// noteError records the error of a write. The caller holds mu.
func (c *Conn) noteError(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// Read implements net.Conn. It returns the error of a write in place of io.EOF if that write received the error which ended
// the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if err == io.EOF {
		err = c.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF, or the error that ended the connection.
func (c *Conn) endOfStream() error {
	closed, err := c.isClosed()
	if err != nil {
		return err
	}
	if !closed {
		return io.EOF
	}
	// Writes to a closed connection fail at once, so the lock is held for a moment only.
	c.mu.Lock()
	defer c.mu.Unlock()
	// A reset that follows the end of the other side's direction is reported as a broken pipe.
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		return io.EOF
	}
	return c.writeErr
}

// tcpClose is the kernel's TCP_CLOSE, the state of a connection that was reset or that timed out.
const tcpClose = 7

// isClosed reports whether the connection was closed as a whole. It is false after the end of the other side's direction.
func (c *Conn) isClosed() (bool, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	return info.State == tcpClose, nil
}
