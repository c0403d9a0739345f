// The server side of the gossip protocol.

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/frame"
)

// handleMessage applies a peer's message and returns the reply.
func (g *Gossiper) handleMessage(message Message) Message {
	g.handleStatus(message.Status)
	g.applyConfig(message)
	self := g.selfStatus()
	reply := Message{Status: self, WantsConfig: message.Status.Version > self.Version && g.shouldRequestConfig()}
	if message.WantsConfig {
		g.addConfig(&reply, message.Status.Version)
	}
	return reply
}

// Serve accepts connections from peers on a listener until ctx is cancelled.
func (g *Gossiper) Serve(ctx context.Context, listener net.Listener) {
	if g.cfg.ServerTLS != nil {
		listener = tls.NewListener(listener, g.cfg.ServerTLS)
	}
	if g.cfg.Limiter != nil {
		listener = g.cfg.Limiter.Listener(listener, connlimit.MessageWeight)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server := &serverConn{gossiper: g, conn: conn}
		go server.loop(ctx)
	}
}

// serverConn is a connection that a peer opened.
type serverConn struct {
	gossiper *Gossiper
	conn     net.Conn
}

// idleTimeout is the time after which an idle connection is closed.
const idleTimeout = time.Minute

func (s *serverConn) loop(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	defer func() { _ = s.conn.Close() }()
	reader := frame.NewReader(s.conn)
	for {
		if err := s.conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		message, err := readMessage(reader)
		if err != nil {
			return
		}
		n, err := writeMessage(s.conn, s.gossiper.handleMessage(message))
		s.gossiper.countSent(n)
		if err != nil {
			return
		}
	}
}
