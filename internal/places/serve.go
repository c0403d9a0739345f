// Server side: each connection carries one request at a time.

package places

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/frame"
)

const (
	// maxRequestBytes and maxResponseBytes bound messages. A request takes some 200 bytes, plus 40
	// for each version of weights.
	maxRequestBytes  = 16 << 10
	maxResponseBytes = 1 << 10
	// idleTimeout bounds the wait for the next request on a connection.
	idleTimeout = 30 * time.Second
	// writeTimeout bounds a write.
	writeTimeout = 300 * time.Millisecond
)

// LoopAccept accepts and serves connections of other boxes until ctx ends.
func (p *Placer) LoopAccept(ctx context.Context, listener net.Listener) {
	p.server.LoopAccept(ctx, listener)
}

// Wait waits until all connections have been served; LoopAccept must have returned.
func (p *Placer) Wait() { p.server.Wait() }

// serve handles the requests on one connection.
func (p *Placer) serve(ctx context.Context, connection net.Conn, reader *frame.Reader) {
	for ctx.Err() == nil {
		if err := connection.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return
		}
		var request Request
		if err := frame.Read(reader, &request, maxRequestBytes); err != nil {
			return
		}
		if err := p.respond(ctx, connection, request); err != nil {
			return
		}
	}
}

// respond handles one request.
func (p *Placer) respond(ctx context.Context, connection net.Conn, request Request) error {
	if !p.owns(request.TargetZone) {
		return frame.Write(connection, &Response{NotOwner: true}, writeTimeout)
	}
	p.cfg.Fleet.LearnPrefillSamples(request.PrefillSamples)
	response, granted := p.decide(ctx, request)
	if granted == nil && ctx.Err() != nil {
		response.NotOwner = true // this box is shutting down; the other one places the call itself
	}
	err := frame.Write(connection, &response, writeTimeout)
	if err != nil && granted != nil {
		p.revoke(granted)
	}
	return err
}
