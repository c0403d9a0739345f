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
func (x *Gossiper) answer(message Message) Message {
	x.heard(message.Status)
	x.takeContent(message)
	own := x.self()
	answer := Message{Status: own, WantsConfig: message.Status.Version > own.Version && x.wants()}
	if message.WantsConfig {
		x.addContent(&answer, message.Status.Version)
	}
	return answer
}

// Serve answers peers on a listener until ctx ends.
func (x *Gossiper) Serve(ctx context.Context, listener net.Listener) {
	if x.cfg.ServerTLS != nil {
		listener = tls.NewListener(listener, x.cfg.ServerTLS)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		server := &serving{exchange: x, conn: conn}
		go server.loop(ctx)
	}
}

// serving is one connection that a peer opened.
type serving struct {
	exchange *Gossiper
	conn     net.Conn
}

// idleTimeout ends connections that peers no longer use.
const idleTimeout = time.Minute

func (s *serving) loop(ctx context.Context) {
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
		n, err := writeMessage(s.conn, s.exchange.answer(message))
		s.exchange.countSent(n)
		if err != nil {
			return
		}
	}
}
