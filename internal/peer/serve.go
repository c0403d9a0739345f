// The side of the exchange that is asked.

package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"
)

// answer gives the answer to a peer's message.
func (g *Gossiper) handleMessage(message Message) Message {
	g.handleStatus(message.Status)
	g.applyConfig(message)
	self := g.selfStatus()
	answer := Message{Status: self, WantsConfig: message.Status.Version > self.Version && g.shouldRequestConfig()}
	if message.WantsConfig {
		g.addConfig(&answer, message.Status.Version)
	}
	return answer
}

// Serve answers peers on a listener until ctx ends.
func (g *Gossiper) Serve(ctx context.Context, listener net.Listener) {
	if g.cfg.ServerTLS != nil {
		listener = tls.NewListener(listener, g.cfg.ServerTLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server := &serverConn{exchange: g, conn: conn}
		go server.loop(ctx)
	}
}

// serving is one connection that a peer opened.
type serverConn struct {
	exchange *Gossiper
	conn     net.Conn
}

// idleTimeout ends connections that peers no longer use.
const idleTimeout = time.Minute

func (s *serverConn) loop(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	defer func() { _ = s.conn.Close() }()
	reader := bufio.NewReader(s.conn)
	for {
		if err := s.conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		message, err := readMessage(reader)
		if err != nil {
			return
		}
		n, err := writeMessage(s.conn, s.exchange.handleMessage(message))
		s.exchange.countSent(n)
		if err != nil {
			return
		}
	}
}
