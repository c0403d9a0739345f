// Telling: each other box is told this one's work, on a connection to it that is opened
// anew whenever it has failed. One that has gone silent does not fail: the system takes
// what is written to it for minutes. So it counts as failed too when nothing that was
// written to it is echoed.

package loadshare

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// tellEvery is the shortest time between two messages to a peer: prompts take
	// 30 to 300 ms to read.
	tellEvery = 80 * time.Millisecond
	// messagesPerSecond bounds what a box sends to the others of its zone, and as much to
	// those of other zones; with many peers each is told less often. Its own zone is told
	// more often, since most calls go to runners there.
	messagesPerSecond = 120
	// connectEvery is the pause before a peer that could not be reached is tried
	// again.
	connectEvery = time.Second
	// echoLimit is how long messages on a connection may go without an echo from the
	// other box: the connection, or that of the other box to this one, may have gone
	// silent, which writing on it does not show. With many boxes it is longer.
	echoLimit = 2 * time.Second
	// ioLimit bounds a write and a connect.
	ioLimit = 300 * time.Millisecond
)

// loopTellPeer tells one peer this box's work until ctx ends.
func (s *Share) loopTellPeer(ctx context.Context, box, address string) {
	dialer := net.Dialer{Timeout: ioLimit}
	for ctx.Err() == nil {
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			s.tell(ctx, box, connection)
			_ = connection.Close() // it has failed already, or is not needed
		}
		waiting.For(ctx, connectEvery)
	}
}

// tell sends messages on one connection until it fails or ctx ends.
func (s *Share) tell(ctx context.Context, box string, connection net.Conn) {
	// The other box hears where this one is reached once on each connection.
	address := s.cfg.Address
	opened := time.Since(s.started)
	for ctx.Err() == nil {
		if s.unanswered(box, opened) {
			s.cfg.Logger.Warn().Str("other", box).Msg("box_connection_silent")
			return
		}
		m := s.compose(box)
		m.Address, address = address, ""
		if err := s.send(connection, m); err != nil {
			return
		}
		waiting.ForOr(ctx, s.interval(box), s.urgent.Wait())
	}
}

// TellNow tells all peers at once: something that they must know before the next message
// is due.
func (s *Share) TellNow() { s.urgent.Send() }

// unanswered reports whether another box has echoed nothing for too long, of what was
// sent to it on a connection that was opened at a time. One that never told anything
// may not know this box, and could not answer on any connection.
func (s *Share) unanswered(box string, opened time.Duration) bool {
	limit := max(echoLimit, silentAfter*s.longestInterval())
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[box] && time.Since(s.started)-max(opened, s.heard[box].echoed) > limit
}

// compose writes down this box's work for another box.
func (s *Share) compose(box string) message {
	m := message{
		Box: s.cfg.Box, Life: s.cfg.Life, Sent: time.Since(s.started), Loads: s.cfg.Fleet.Loads(), Named: s.cfg.Named(),
		Lacks: s.cfg.Lacks(), Snapshot: s.handOver(box),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed {
		m.Roll = len(s.peers) + 1
	}
	if last, heard := s.heard[box]; heard {
		m.Echo, m.EchoLife = last.sent, last.life
	}
	return m
}

// interval is the time between two messages to a peer.
func (s *Share) interval(box string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peers[box]
	return s.intervalOf(known != nil && known.zone == s.cfg.Zone)
}

// intervalOf is the time between two messages to each peer of this box's zone, or of the
// others. The caller holds mu.
func (s *Share) intervalOf(ownZone bool) time.Duration {
	peers := 0
	for _, known := range s.peers {
		if (known.zone == s.cfg.Zone) == ownZone {
			peers++
		}
	}
	return max(tellEvery, time.Duration(peers)*time.Second/messagesPerSecond)
}

// longestInterval is the longest time between two messages to a peer.
func (s *Share) longestInterval() time.Duration { return max(s.Lag(true), s.Lag(false)) }

// Lag is about how old the word of other boxes on their work is, of those of this box's
// zone or of the others.
func (s *Share) Lag(ownZone bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.intervalOf(ownZone)
}
