// Package connlimit bounds what the clients of a process make it hold: open connections, and the memory of
// requests that have been received in part.
//
// A Limiter is shared by ports. At its limit of connections, a new connection takes the place of the one that
// has waited longest for its client, first of those that have brought no valid request yet; connections whose
// requests are being served are never closed for that. If there is none, the new connection is closed. At its
// limit of memory, the connection closes whose unfinished request holds the most. So clients that open many
// connections or send large heads slowly displace each other, and a client that sends its request at once is
// served.
//
// Small requests never count toward the limit of memory (freeBytes): they are bounded by the number of
// connections.
package connlimit

import (
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// freeBytes is the weight of an unfinished request that does not count toward MaxRequestBytes. Most
	// requests weigh less.
	freeBytes = 16 << 10
	// writeTimeout bounds the time in which a client accepts no byte of a response.
	writeTimeout = time.Minute
	// slowWriteTime is the time of a write after which its connection may be closed for a new one.
	slowWriteTime = time.Second
	// acceptRetryDelay is the wait after an error of accept that may pass, such as too many open files.
	acceptRetryDelay = 10 * time.Millisecond
	// logInterval is the time between two log lines.
	logInterval = 10 * time.Second
)

// Config configures a Limiter. Zero limits mean no limit.
type Config struct {
	// Ports names the ports, for the log and the metrics.
	Ports string
	// MaxConnections bounds the open connections of all listeners together.
	MaxConnections int
	// MaxRequestBytes bounds the weight of all unfinished requests.
	MaxRequestBytes int64
	Logger          zerolog.Logger
	Scope           tally.Scope
}

// Limiter holds the connections of some ports.
type Limiter struct {
	cfg Config

	mu sync.Mutex
	// connections has those that are open, without those that closing was begun for.
	connections map[*conn]struct{}
	// requestBytes is the weight of unfinished requests beyond freeBytes each.
	requestBytes int64
	// closed counts the connections closed since loggedAt.
	closed   int
	loggedAt time.Time
}

// New returns a limiter without connections.
func New(cfg Config) *Limiter {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Scope = cfg.Scope.Tagged(map[string]string{"ports": cfg.Ports})
	return &Limiter{cfg: cfg, connections: map[*conn]struct{}{}}
}

// Weight returns the memory that a part of a request takes once it is read.
type Weight func(part []byte) int64

// Listener returns a listener that adds the accepted connections to the limiter. After an error that may pass,
// Accept waits and tries again: a port must not close because there were too many open files.
func (l *Limiter) Listener(inner net.Listener, weight Weight) net.Listener {
	return &listener{Listener: inner, limiter: l, weight: weight}
}

type listener struct {
	net.Listener
	limiter *Limiter
	weight  Weight
}

// Accept implements net.Listener.
func (a *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := a.Listener.Accept()
		if err != nil {
			if !mayPass(err) {
				return nil, err
			}
			a.limiter.makeRoom("descriptors")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := a.limiter.add(accepted, a.weight); c != nil {
			return c, nil
		}
		_ = accepted.Close() // nothing was read
	}
}

// mayPass reports whether accept may succeed later.
func mayPass(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// add adds a connection, if need be in place of another one. It returns nil if there is no room.
func (l *Limiter) add(accepted net.Conn, weight Weight) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cfg.MaxConnections > 0 && len(l.connections) >= l.cfg.MaxConnections && !l.closeLongestWaiting("connections") {
		l.count("no_room")
		return nil
	}
	c := &conn{Conn: accepted, limiter: l, weight: weight, inRequest: true, waitingSince: time.Now()}
	l.connections[c] = struct{}{}
	return c
}

// makeRoom closes the connection that has waited longest for its client.
func (l *Limiter) makeRoom(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLongestWaiting(reason)
}

// closeLongestWaiting closes the connection that has waited longest for its client, and reports whether there
// was one. The caller holds mu.
func (l *Limiter) closeLongestWaiting(reason string) bool {
	var chosen *conn
	now := time.Now()
	for c := range l.connections {
		if c.isWaiting(now) && (chosen == nil || c.goesBefore(chosen)) {
			chosen = c
		}
	}
	if chosen == nil {
		return false
	}
	l.close(chosen, reason)
	return true
}

// closeLargest closes the connection whose unfinished request holds the most, first of those that have brought
// no valid request yet. The caller holds mu.
func (l *Limiter) closeLargest() {
	var chosen *conn
	for c := range l.connections {
		if c.held <= freeBytes || c.serving {
			continue
		}
		if chosen == nil || c.proven == chosen.proven && c.held > chosen.held || !c.proven && chosen.proven {
			chosen = c
		}
	}
	if chosen != nil {
		l.close(chosen, "request_memory")
	}
}

// close closes a connection for the sake of others. The caller holds mu.
func (l *Limiter) close(c *conn, reason string) {
	l.count(reason)
	l.remove(c)
	socket := c.Conn
	if encrypted, ok := socket.(*tls.Conn); ok {
		socket = encrypted.NetConn() // tls.Conn waits until it has sent an alert
	}
	_ = socket.Close() // its client has to connect again in any case
	c.closed = true
}

// count counts a connection that is closed for a reason. The caller holds mu.
func (l *Limiter) count(reason string) {
	l.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("connections_closed").Inc(1)
	l.closed++
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		l.cfg.Logger.Warn().Str("ports", l.cfg.Ports).Str("reason", reason).Int("closed", l.closed).Int("open", len(l.connections)).
			Int64("request_bytes", l.requestBytes).Msg("connections_closed")
		l.closed, l.loggedAt = 0, now
	}
}

// remove forgets a connection. The caller holds mu.
func (l *Limiter) remove(c *conn) {
	if _, open := l.connections[c]; !open {
		return
	}
	c.hold(0)
	delete(l.connections, c)
}
