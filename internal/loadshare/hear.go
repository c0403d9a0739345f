// Hearing: other boxes open connections to this one and tell their work on them. It is
// kept until the box tells anew. A box that is silent for some messages' time counts as
// having no work, since calls would otherwise keep away from servers for the sake of a
// box that may be gone.

package loadshare

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// silentAfter times the time between two messages is when a peer counts as
	// silent, and its work as nothing.
	silentAfter = 6
	// readLimit bounds the wait for a message.
	readLimit = 10 * time.Second
)

// word is the last message of another box.
type word struct {
	// said is what it knew; its time is that of the echo.
	said       retire.Peer
	receivedAt time.Time
	// life and sent are to be echoed.
	life string
	sent time.Duration
	// echoed is the last time of this box, counted from its start, that it has heard.
	echoed time.Duration
	// lacks says that it has no configuration and cannot read the log; roll is the
	// number of boxes by a list that it has read.
	lacks bool
	roll  int
}

// LoopAccept hears other boxes until ctx ends.
func (s *Share) LoopAccept(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // nothing is lost on it
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.cfg.Logger.Error().Str("error", err.Error()).Msg("port_lost")
			}
			return
		}
		s.loops.Go(func() { s.loopHear(ctx, connection) })
	}
}

// loopHear takes in what one box tells on one connection.
func (s *Share) loopHear(ctx context.Context, connection net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // it is not needed any more
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		if err := connection.SetReadDeadline(time.Now().Add(readLimit)); err != nil {
			return
		}
		m, err := receive(reader)
		if err != nil {
			return
		}
		if s.late(m) {
			continue
		}
		s.acquaint(ctx, m)
		s.adopt(m)
		s.cfg.Heard(m.Named, s.note(m))
		s.cfg.Fleet.SetRemote(m.Box, m.Loads)
	}
}

// late reports whether a message was overtaken by a later one of the same life, on a
// connection that took the place of its own.
func (s *Share) late(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, heard := s.heard[m.Box]
	return heard && last.life == m.Life && m.Sent < last.sent
}

// note remembers what a box knows, and since when it was heard to. It gives the
// moment after which the message was sent, or zero when that cannot be told.
func (s *Share) note(m message) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var asOf time.Time
	var echoed time.Duration
	if m.EchoLife == s.cfg.Life {
		asOf, echoed = s.started.Add(m.Echo), m.Echo
	}
	before := s.heard[m.Box].said
	said := retire.Peer{At: asOf, Weights: make(map[string]int, len(m.Named)), Since: make(map[string]time.Time, len(m.Named))}
	for model, versions := range m.Named {
		if len(versions) == 0 {
			continue
		}
		said.Weights[model], said.Since[model] = versions[len(versions)-1].Version, now
		if before.Weights[model] == said.Weights[model] {
			said.Since[model] = before.Since[model]
		}
	}
	if _, known := s.heard[m.Box]; !known {
		clear(s.headroom)
		s.answers[m.Box] = true
		s.cfg.Logger.Info().Str("other", m.Box).Int("heard", len(s.heard)+1).Msg("box_heard")
	}
	s.heard[m.Box] = word{said: said, receivedAt: now, life: m.Life, sent: m.Sent, echoed: echoed, lacks: m.Lacks, roll: m.Roll}
	return asOf
}

// Peers gives the last word of each other box that is listed and not silent.
func (s *Share) Peers() []retire.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]retire.Peer, 0, len(s.heard))
	for box, last := range s.heard {
		if s.peers[box] != nil {
			peers = append(peers, last.said)
		}
	}
	return peers
}

// LoopForget lets the work of silent boxes count as nothing until ctx ends.
func (s *Share) LoopForget(ctx context.Context) {
	for ctx.Err() == nil {
		interval := s.longestInterval()
		waiting.For(ctx, interval)
		for _, box := range s.forgetSilent(silentAfter * interval) {
			s.cfg.Fleet.SetRemote(box, nil)
		}
	}
}

// forgetSilent forgets the boxes that have told nothing for longer than limit, and gives
// their names.
func (s *Share) forgetSilent(limit time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var boxes []string
	for box, last := range s.heard {
		if time.Since(last.receivedAt) > limit {
			boxes = append(boxes, box)
			delete(s.heard, box)
			delete(s.handedAt, box)
			clear(s.headroom)
			s.cfg.Logger.Warn().Str("other", box).Int("heard", len(s.heard)).Msg("box_silent")
		}
	}
	return boxes
}
