// Answering: a box asks on connections of its own, one question at a time on each.

package places

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/frame"
)

const (
	// maxQuestionBytes and maxAnswerBytes bound messages: a question is some 200 bytes, and 40
	// for each version of weights.
	maxQuestionBytes = 16 << 10
	maxAnswerBytes   = 1 << 10
	// questionLimit bounds the wait for the next question on a connection.
	questionLimit = 30 * time.Second
	// writeLimit bounds a write.
	writeLimit = 300 * time.Millisecond
)

// LoopAccept answers other boxes until ctx ends.
func (p *Placer) LoopAccept(ctx context.Context, listener net.Listener) {
	p.server.LoopAccept(ctx, listener)
}

// Wait waits until all answering has ended; LoopAccept must have returned.
func (p *Placer) Wait() { p.server.Wait() }

// serve answers the questions on one connection.
func (p *Placer) serve(ctx context.Context, connection net.Conn, reader *bufio.Reader) {
	for ctx.Err() == nil {
		if err := connection.SetReadDeadline(time.Now().Add(questionLimit)); err != nil {
			return
		}
		var asked Request
		if err := frame.Read(reader, &asked, maxQuestionBytes); err != nil {
			return
		}
		if err := p.answer(ctx, connection, asked); err != nil {
			return
		}
	}
}

// answer answers one question.
func (p *Placer) answer(ctx context.Context, connection net.Conn, asked Request) error {
	if !p.owns(asked.TargetZone) {
		return frame.Write(connection, &Response{NotOwner: true}, writeLimit)
	}
	p.cfg.Fleet.LearnPrefillSamples(asked.PrefillSamples)
	given := p.GrantPlace(ctx, asked)
	if given == nil {
		return frame.Write(connection, &Response{}, writeLimit)
	}
	if err := frame.Write(connection, &Response{Server: given.Server()}, writeLimit); err != nil {
		p.takeBack(given)
		return err
	}
	return nil
}
