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

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// PoolConfig sets up a Pool.
type PoolConfig struct {
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// MaxIdlePerServer bounds the resting connections to one server.
	MaxIdlePerServer int
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// OnDial is told of each new connection, for the metrics; it may be nil.
	OnDial func()
}

// Defaults of PoolConfig.
const (
	// DefaultDialTimeout is many times the way to any zone of a region and back, and
	// below the second after which the system sends a lost packet of a new connection
	// again; longer waits are of no use to calls whose server is cut off.
	DefaultDialTimeout = 150 * time.Millisecond
	// DefaultMaxIdlePerServer is what one box keeps of a server's connections; a
	// server takes some 100 of all boxes together.
	DefaultMaxIdlePerServer = 10
)

const (
	// unacknowledgedLimit ends a connection whose bytes nobody acknowledges: the
	// server is gone or cut off. It is above the longest retransmission pause on
	// a link that loses some packets.
	unacknowledgedLimit = 2 * time.Second
	// probeEvery is the time between two of the system's probes of a silent connection.
	probeEvery = time.Second
	// mostProbes is how many of them may stay unanswered where unacknowledgedLimit is not known.
	mostProbes = 2
	// longestRest is how long a connection is kept at most, and shortestRest how long
	// whatever is learnt.
	longestRest  = 20 * time.Second
	shortestRest = 800 * time.Millisecond
	// closedPart and reusedGrowth let a pool learn how long a server leaves connections
	// open that says nothing of it: a kept one that is found closed shortens what others
	// are kept for to this part of its rest, and one that is still open lengthens it.
	closedPart   = 0.7
	reusedGrowth = 1.05
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
	// rests is how long connections to a server are kept, as learnt, by its address.
	rests map[string]time.Duration
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
	cfg.MaxIdlePerServer = cmp.Or(cfg.MaxIdlePerServer, DefaultMaxIdlePerServer)
	return &Pool{cfg: cfg, idle: map[string][]*connection{}, rests: map[string]time.Duration{}, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: -1, Control: limitUnacknowledged}}
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
func (p *Pool) connect(ctx context.Context, call Request) (*connection, error) {
	for {
		c := p.take(call.Address)
		if c == nil {
			break
		}
		now := boottime.Now()
		if now.Before(c.restUntil) && now.Sub(c.restedAt) <= call.MaxIdle {
			open := c.silent()
			p.learnRest(call.Address, now.Sub(c.restedAt), open)
			if open {
				return c, nil
			}
		}
		c.close()
	}
	return p.dial(ctx, call.Address)
}

// probeLimit bounds the wait for a connection that no call needs but that calls wait for.
const probeLimit = 100 * time.Millisecond

// Probe makes a connection to an address and keeps it for the next call there. The error is the
// system's.
func (p *Pool) Probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.keep(c, shortestRest)
	return nil
}

func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial()
	}
	return &connection{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// learnRest learns from a connection that was found open or closed after a rest. A server
// may close its connections at any moment, so what is learnt from that is unlearnt.
func (p *Pool) learnRest(address string, rest time.Duration, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := cmp.Or(p.rests[address], longestRest)
	if !p.cfg.Off.On(mechanism.KeptConnections) {
		limit, open = shortestRest, true
	}
	if open {
		limit = min(time.Duration(reusedGrowth*float64(limit)), longestRest)
	} else {
		limit = max(time.Duration(closedPart*float64(min(rest, limit))), shortestRest)
	}
	p.rests[address] = limit
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
	now := boottime.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rest = min(rest, cmp.Or(p.rests[c.address], longestRest))
	c.restedAt, c.restUntil = now, now.Add(rest)
	kept := p.idle[c.address]
	for len(kept) > 0 && now.After(kept[0].restUntil) {
		kept[0].close()
		kept = kept[1:]
	}
	if rest <= 0 || len(kept) >= p.cfg.MaxIdlePerServer {
		c.close()
	} else {
		kept = append(kept, c)
	}
	p.idle[c.address] = kept
}

// CloseIdle closes the resting connections to a server.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
	delete(p.rests, address) // another server may be there next
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

// probe has the system ask the other end from now on, while nothing comes, whether it is there.
// Its system answers also for a process that stands still. For a machine that is gone or cut off
// nobody does, and the connection ends after unacknowledgedLimit, so that a call need not be left
// for its server's silence to be tried elsewhere.
func (c *connection) probe() error {
	return c.Conn.(*net.TCPConn).SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: mostProbes})
}

func (c *connection) close() {
	_ = c.Conn.Close() // whether the server takes note changes nothing
}
