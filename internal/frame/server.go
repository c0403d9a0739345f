// A server for the connections that other boxes open to this one. Each connection is served on its
// own goroutine until serving it fails, the other box closes it, or the server's context ends.

package frame

import (
	"context"
	"net"
	"sync"

	"github.com/rs/zerolog"
)

// Server serves the connections of other boxes.
type Server struct {
	logger zerolog.Logger
	// serve serves one connection, which it reads through the reader.
	serve func(ctx context.Context, connection net.Conn, reader *Reader)
	loops sync.WaitGroup
}

// NewServer returns a server that accepts no connections yet. When serve returns, its connection is
// closed. When the context ends, all connections are closed, which unblocks serve.
func NewServer(logger zerolog.Logger, serve func(ctx context.Context, connection net.Conn, reader *Reader)) *Server {
	return &Server{logger: logger, serve: serve}
}

// LoopAccept accepts connections until ctx ends, and then closes the listener.
func (s *Server) LoopAccept(ctx context.Context, listener net.Listener) {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = listener.Close() // an error loses no data
	})
	defer func() {
		if !stop() {
			<-closed // Accept returns before the port is free
		}
	}()
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
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // the other box connects elsewhere
	defer connection.Close()
	s.serve(ctx, connection, NewReader(connection))
}

// Wait waits until all connections have been served. LoopAccept must have returned before.
func (s *Server) Wait() { s.loops.Wait() }
