// The pool of connections to backend servers. A connection is reused only if it is in a known good
// state: a call that is written while the server closes the connection has an unknown outcome.

package handover

import (
	"bufio"
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/cleaneof"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// MaxIdlePerServer bounds the idle connections to one server.
	MaxIdlePerServer int
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// OnDial is called for each new connection, for the metrics; it may be nil.
	OnDial func()
}

// Defaults of PoolConfig.
const (
	// DefaultDialTimeout is many times the round trip to any zone of a region. It is below one
	// second, after which the kernel retransmits a lost SYN; a longer wait does not help calls
	// whose server is partitioned.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultMaxIdlePerServer is the number of idle connections that one box keeps to a server; a
	// server takes some 100 from all boxes together.
	DefaultMaxIdlePerServer = 10
)

const (
	// userTimeout is the TCP user timeout: the kernel closes a connection once sent bytes stay
	// unacknowledged for so long. A sound server may be unreachable for a second or so. Within the
	// timeout the kernel retransmits four times, so that some follow after any outage of up to two
	// seconds.
	userTimeout = 4 * time.Second
	// noUserTimeout turns the user timeout off.
	noUserTimeout = 0
	// longBodyBytes is the length above which a body may not fit into the receive window of a server
	// that does not read. The user timeout also counts while the window is closed, although the
	// server's machine answers; so it is off for longer bodies, and the call's deadline applies.
	longBodyBytes = 32 << 10
	// keepAliveInterval is the time between keep-alive probes, of which the first is sent after a
	// connection has been idle for so long. Linux counts it in whole seconds.
	keepAliveInterval = time.Second
	// maxUnansweredProbes is how many probes in a row stay unanswered before the kernel closes the
	// connection; some of them follow after any outage of up to two seconds.
	maxUnansweredProbes = int(userTimeout/keepAliveInterval) - 1
	// maxIdleLimit is the longest idle time after which a connection is still reused, and minIdleLimit
	// the shortest value that the learned limit can fall to.
	maxIdleLimit = 20 * time.Second
	minIdleLimit = 800 * time.Millisecond
	// closedFactor and openFactor adapt the maximum idle time to servers that do not announce one.
	// If an idle connection turns out closed, the limit becomes this part of its idle time; if it
	// is still open, the limit grows by openFactor.
	closedFactor = 0.7
	openFactor   = 1.05
	// announcedMargin is subtracted from the idle timeout that a server announces.
	announcedMargin = time.Second
	// handshakeTimeout bounds a TLS handshake: a round trip, and some milliseconds of CPU at each side.
	// Nothing of the call has been sent until then, so it can go elsewhere.
	handshakeTimeout = 2 * DefaultDialTimeout
	// readBufferSize is the size of a connection's read buffer, in bytes; responses are about 1 KB.
	readBufferSize = 4 << 10
)

// Pool pools connections to backend servers.
type Pool struct {
	cfg    PoolConfig
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*connection
	// maxIdle is the learned maximum idle time of connections to a server, by address.
	maxIdle map[string]time.Duration
}

// connection is a pooled connection, used by one call at a time.
type connection struct {
	// Conn is the socket, or the TLS connection over it.
	net.Conn
	socket  *net.TCPConn
	address string
	reader  *bufio.Reader
	// head is what reader reads from; it bounds and checks the heads of responses.
	head *headReader
	// idleSince is when the last call ended, idleUntil when the connection is too old to be reused.
	idleSince time.Time
	idleUntil time.Time
	// tainted is set once a response to another call was received.
	tainted bool
	// userTimeoutOff is set while the user timeout is off, and probed while keep-alive is on.
	userTimeoutOff atomic.Bool
	probed         atomic.Bool
}

// NewPool creates an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.MaxIdlePerServer = cmp.Or(cfg.MaxIdlePerServer, DefaultMaxIdlePerServer)
	return &Pool{cfg: cfg, idle: map[string][]*connection{}, maxIdle: map[string]time.Duration{}, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1, Control: setUserTimeout}}
}

// setUserTimeout is the dialer's hook that sets the user timeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return writeUserTimeout(raw, userTimeout)
}

// writeUserTimeout sets TCP_USER_TIMEOUT, the time for which sent bytes may stay unacknowledged.
func writeUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return control(raw, func(fd int) error {
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

// control runs an operation on the descriptor of a socket.
func control(raw syscall.RawConn, operation func(fd int) error) error {
	var operationErr error
	if err := raw.Control(func(fd uintptr) { operationErr = operation(int(fd)) }); err != nil {
		return err
	}
	return operationErr
}

// connect returns a usable idle connection, or a new one.
func (p *Pool) connect(ctx context.Context, request Request) (*connection, error) {
	for {
		c := p.takeIdle(request.Address)
		if c == nil {
			break
		}
		now := boottime.Now()
		if now.Before(c.idleUntil) && now.Sub(c.idleSince) <= request.MaxIdle {
			open := c.isIdle()
			p.learnMaxIdle(request.Address, now.Sub(c.idleSince), open)
			if open && c.disableKeepAlive() == nil {
				return c, nil
			}
		}
		c.close()
	}
	return p.dial(ctx, request)
}

// probeTimeout bounds the time to connect in Probe, whose result calls wait for.
const probeTimeout = 100 * time.Millisecond

// Probe opens a connection to an address and pools it for the next call there. The error is that of
// the dial.
func (p *Pool) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, Request{Address: address})
	if err != nil {
		return err
	}
	p.putIdle(c, minIdleLimit)
	return nil
}

func (p *Pool) dial(ctx context.Context, request Request) (*connection, error) {
	dialer := p.dialer
	dialer.Timeout = cmp.Or(request.DialTimeout, dialer.Timeout)
	raw, err := dialer.DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial()
	}
	socket := raw.(*net.TCPConn)
	c := &connection{Conn: cleaneof.New(socket), socket: socket, address: request.Address}
	if request.TLS != nil {
		if c.Conn, err = shakeHands(ctx, c.Conn, request.TLS()); err != nil {
			_ = raw.Close() // an error changes nothing for this side
			return nil, err
		}
	}
	c.head = newHeadReader(c.Conn)
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	return c, nil
}

// shakeHands returns a TLS connection over a socket after the handshake.
func shakeHands(ctx context.Context, raw net.Conn, cfg *tls.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Client(raw, cfg)
	return secured, secured.HandshakeContext(ctx)
}

// learnMaxIdle updates the maximum idle time from an idle connection that was found open or closed.
// A server may close a connection at any moment for other reasons, so open ones raise the limit
// again.
func (p *Pool) learnMaxIdle(address string, idle time.Duration, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := cmp.Or(p.maxIdle[address], maxIdleLimit)
	if !p.cfg.Mechanisms.Enabled(mechanism.KeptConnections) {
		limit, open = minIdleLimit, true
	}
	if open {
		limit = min(time.Duration(openFactor*float64(limit)), maxIdleLimit)
	} else {
		limit = max(time.Duration(closedFactor*float64(min(idle, limit))), minIdleLimit)
	}
	p.maxIdle[address] = limit
}

// takeIdle returns the connection that was used last.
func (p *Pool) takeIdle(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// putIdle puts a connection into the pool.
func (p *Pool) putIdle(c *connection, limit time.Duration) {
	if c.restoreUserTimeout() != nil {
		c.close()
		return
	}
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = min(limit, cmp.Or(p.maxIdle[c.address], maxIdleLimit))
	c.idleSince, c.idleUntil = now, now.Add(limit)
	kept := p.idle[c.address]
	for len(kept) > 0 && now.After(kept[0].idleUntil) {
		kept[0].close()
		kept = kept[1:]
	}
	if limit <= 0 || len(kept) >= p.cfg.MaxIdlePerServer {
		c.close()
	} else {
		kept = append(kept, c)
	}
	p.idle[c.address] = kept
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
	delete(p.maxIdle, address) // another server may be at the address next
}

// announcedMaxIdle returns the idle time that a server allows in its Keep-Alive header.
func announcedMaxIdle(header http.Header) time.Duration {
	maxIdle := maxIdleLimit
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			maxIdle = min(maxIdle, time.Duration(seconds)*time.Second-announcedMargin)
		}
	}
	return maxIdle
}

// isIdle reports whether an idle connection is open and has no data to read. Data received between
// calls belongs to no call.
func (c *connection) isIdle() bool {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, receiveErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = receiveErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// enableKeepAlive turns on TCP keep-alive probes. The server's kernel answers them even if the
// process is stopped. If the machine has failed or is partitioned, they stay unanswered and the
// connection breaks. So the box detects a lost machine without giving up calls at servers that only
// stall.
//
// With a user timeout, the kernel ignores the limit on the number of probes, and closes a connection
// that has been idle for long after a single unanswered one. So the user timeout is off once the
// whole call is acknowledged. Until then the kernel sends no probes, and the user timeout is needed.
func (c *connection) enableKeepAlive() error {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	unacknowledged := 0
	err = control(raw, func(fd int) (err error) {
		unacknowledged, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	if err != nil {
		return err
	}
	if unacknowledged == 0 {
		if err := c.turnUserTimeoutOff(); err != nil {
			return err
		}
	}
	c.probed.Store(true)
	return c.socket.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxUnansweredProbes})
}

// turnUserTimeoutOff turns the user timeout off until the connection is idle in the pool.
func (c *connection) turnUserTimeoutOff() error {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	c.userTimeoutOff.Store(true)
	return writeUserTimeout(raw, noUserTimeout)
}

// restoreUserTimeout turns the user timeout on again, if it was turned off.
func (c *connection) restoreUserTimeout() error {
	if !c.userTimeoutOff.Swap(false) {
		return nil
	}
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return err
	}
	return writeUserTimeout(raw, userTimeout)
}

// disableKeepAlive ends the probes that an earlier call has turned on: whether the connection of a call is
// probed must not depend on the calls before it.
func (c *connection) disableKeepAlive() error {
	if !c.probed.Swap(false) {
		return nil
	}
	return c.socket.SetKeepAlive(false)
}

// close closes the socket. A TLS connection sends no close_notify, for which it would wait while the other
// side does not read; HTTP states where a message ends.
func (c *connection) close() {
	_ = c.socket.Close() // an error changes nothing for this side
}

// abort resets the connection of a call that nobody waits for any more. After a close the kernel would go on sending what
// the server has not acknowledged, and the call would reach it after an outage of the link.
func (c *connection) abort() {
	_ = c.socket.SetLinger(0) // fails only if the socket is closed
	c.close()
}
