// Serving: other boxes open connections to this one, and each is served on a goroutine of its
// own until it fails, the other box closes it, or this one ends.

package frame

import (
	"bufio"
	"context"
	"net"
	"sync"

	"github.com/rs/zerolog"
)

// Server serves the connections of other boxes.
type Server struct {
	logger zerolog.Logger
	// serve serves one connection, and reads from the reader of it.
	serve func(ctx context.Context, connection net.Conn, reader *bufio.Reader)
	loops sync.WaitGroup
}

// NewServer makes a server that takes no connections yet. When serve returns, its connection is
// closed; when the context ends, so is every connection, which ends what serve waits for.
func NewServer(logger zerolog.Logger, serve func(ctx context.Context, connection net.Conn, reader *bufio.Reader)) *Server {
	return &Server{logger: logger, serve: serve}
}

// LoopAccept takes connections until ctx ends, and closes the listener.
func (s *Server) LoopAccept(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // nothing is lost on it
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.logger.Error().Str("error", err.Error()).Msg("port_lost")
			}
			return
		}
		s.loops.Go(func() { s.loopServe(ctx, connection) })
	}
}

func (s *Server) loopServe(ctx context.Context, connection net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // the other box goes elsewhere
	defer connection.Close()
	s.serve(ctx, connection, bufio.NewReader(connection))
}

// Wait waits until all connections have been served; LoopAccept must have returned.
func (s *Server) Wait() { s.loops.Wait() }
