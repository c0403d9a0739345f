// The connections to backend servers. One is kept only while nothing can be wrong
// with it: a call that is written on a connection that its server is closing has an
// unknown outcome.

package handover

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// IdlePerServer bounds the resting connections to one server.
	IdlePerServer int
	// Dialed is told of each new connection, for the metrics; it may be nil.
	Dialed func()
}

// Defaults of PoolConfig.
const (
	// DefaultDialTimeout is many times the way to any zone of a region and back,
	// and short beside the objectives of plain services (150 ms and more).
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdlePerServer is what one box keeps of a server's connections; a
	// server takes some 100 of all boxes together.
	DefaultIdlePerServer = 10
)

const (
	// unacknowledgedLimit ends a connection whose bytes nobody acknowledges: the
	// server is gone or cut off. It is above the longest retransmission pause on
	// a link that loses some packets.
	unacknowledgedLimit = 2 * time.Second
	// longestRest is how long a connection is kept at most; servers close theirs
	// after some seconds.
	longestRest = 4 * time.Second
	// restMargin is kept from the rest that a server announces.
	restMargin = time.Second
	// readBuffer is the buffer of a connection, in bytes; answers are about 1 KB.
	readBuffer = 4 << 10
)

// Pool keeps connections to backend servers.
type Pool struct {
	cfg    PoolConfig
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*connection
}

// connection is one connection; one call at a time uses it.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// restedAt is when the last call ended, restUntil when it is too old.
	restedAt  time.Time
	restUntil time.Time
	// tainted connections carried an answer to another call.
	tainted bool
}

// NewPool makes an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.IdlePerServer = cmp.Or(cfg.IdlePerServer, DefaultIdlePerServer)
	return &Pool{cfg: cfg, idle: map[string][]*connection{}, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1, Control: limitUnacknowledged}}
}

// limitUnacknowledged sets how long sent bytes may stay unacknowledged.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// connect gives a kept connection that is sound, or a new one.
func (p *Pool) connect(ctx context.Context, call Call) (*connection, error) {
	for {
		c := p.take(call.Address)
		if c == nil {
			break
		}
		now := time.Now()
		if now.Before(c.restUntil) && now.Sub(c.restedAt) <= call.MaxIdle && c.silent() {
			return c, nil
		}
		c.close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", call.Address)
	if err != nil {
		return nil, err
	}
	if p.cfg.Dialed != nil {
		p.cfg.Dialed()
	}
	return &connection{Conn: raw, address: call.Address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// take gives the connection that rested last.
func (p *Pool) take(address string) *connection {
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

// keep puts a connection to rest.
func (p *Pool) keep(c *connection, rest time.Duration) {
	now := time.Now()
	c.restedAt, c.restUntil = now, now.Add(rest)
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.address]
	for len(kept) > 0 && now.After(kept[0].restUntil) {
		kept[0].close()
		kept = kept[1:]
	}
	if rest <= 0 || len(kept) >= p.cfg.IdlePerServer {
		c.close()
	} else {
		kept = append(kept, c)
	}
	p.idle[c.address] = kept
}

// Forget closes the resting connections to a server.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// keepAlive gives how long a server lets a connection rest.
func keepAlive(header http.Header) time.Duration {
	rest := longestRest
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			rest = min(rest, time.Duration(seconds)*time.Second-restMargin)
		}
	}
	return rest
}

// silent reports whether a resting connection is open and nothing has come on it.
// What comes while no call is under way belongs to no call.
func (c *connection) silent() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
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

func (c *connection) close() {
	_ = c.Conn.Close() // whether the server takes note changes nothing
}
