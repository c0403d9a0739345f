// Telling: other boxes are told this one's work, each on a connection to it that is opened
// anew whenever it has failed. One that has gone silent does not fail: the system takes
// what is written to it for minutes. So it counts as failed too when nothing that was
// written to it is echoed.

package loadshare

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// tellEvery is the shortest time between two messages to a peer: prompts take
	// 30 to 300 ms to read.
	tellEvery = 80 * time.Millisecond
	// Where there are hubs, a box that has new work tells its hub after newsEvery at the
	// soonest, and one that has not after restEvery: it must be heard, and most boxes of a
	// large fleet have nothing new to tell for most of the time. hubEvery is the time between
	// two messages of a hub to each other box.
	newsEvery = 100 * time.Millisecond
	restEvery = 240 * time.Millisecond
	hubEvery  = 160 * time.Millisecond
	// farEvery is the time between two messages of a hub to a follower that tell the work at
	// servers of other zones. Few calls go there, and to tell all servers each time would be
	// 20 KB a second to each box.
	farEvery = 2 * hubEvery
	// messagesPerSecond bounds what a box sends to the others of its zone, and as much to
	// those of other zones, where boxes tell each other directly; with many peers each is
	// told less often. Its own zone is told more often, since most calls go to runners there.
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

// telling is a box that is told.
type telling struct {
	address string
	// chosen says that this box tells it by its own choice.
	chosen bool
	stop   context.CancelFunc
	// urgency is the last that was told of what could not wait, and farAt when the work at
	// servers of other zones was last told.
	urgency uint64
	farAt   time.Time
	// reached is woken when the box opens a connection to this one, and so is there.
	reached waiting.Signal
}

// loopTellPeer tells one peer this box's work until ctx ends.
func (s *Share) loopTellPeer(ctx context.Context, box string, told *telling) {
	for ctx.Err() == nil {
		reached := told.reached.Wait()
		dialing, cancel := context.WithTimeout(ctx, ioLimit)
		connection, err := s.cfg.Dial(dialing, told.address)
		cancel()
		if err == nil {
			s.tell(ctx, box, connection)
			_ = connection.Close() // it has failed already, or is not needed
		}
		if ctx.Err() == nil {
			s.avoid(box)
		}
		waiting.ForOr(ctx, connectEvery, reached)
	}
}

// tell sends messages on one connection until it fails or ctx ends.
func (s *Share) tell(ctx context.Context, box string, connection net.Conn) {
	// The other box hears where this one is reached once on each connection.
	address := s.cfg.Address
	opened := boottime.Since(s.started)
	for ctx.Err() == nil {
		if s.unanswered(box, opened) {
			s.cfg.Logger.Warn().Str("other", box).Msg("box_connection_silent")
			return
		}
		wake := s.urgent.Wait()
		m := s.compose(box)
		m.Address, address = address, ""
		if err := s.send(connection, m); err != nil {
			return
		}
		s.pause(ctx, box, wake)
	}
}

// TellNow tells all peers at once: something that they, and those who follow them, must know
// before the next message is due.
func (s *Share) TellNow() {
	s.mu.Lock()
	s.urgency++
	s.mu.Unlock()
	s.urgent.Send()
}

// unanswered reports whether another box has echoed nothing for too long, of what was
// sent to it on a connection that was opened at a time. One that never told anything
// may not know this box, and could not answer on any connection.
func (s *Share) unanswered(box string, opened time.Duration) bool {
	limit := max(echoLimit, silentAfter*s.longestInterval())
	s.mu.Lock()
	defer s.mu.Unlock()
	echoed := time.Duration(0)
	if last := s.heard[box]; last != nil {
		echoed = last.echoed
	}
	return s.answers[box] && boottime.Since(s.started)-max(opened, echoed) > limit
}

// compose writes down this box's work for another box, and what it passes on.
func (s *Share) compose(box string) message {
	own := s.cfg.Fleet.Loads()
	m := message{Box: s.cfg.Box, Life: s.cfg.Life, Named: s.cfg.Named(), Lacks: s.cfg.Lacks(), Snapshot: s.handOver(box)}
	all, farDue := s.composeKnown(&m, box, own)
	if !all {
		return m
	}
	m.Loads, m.Far = s.splitFar(m.Loads)
	if m.FarKept = !farDue; m.FarKept {
		m.Far = nil
	}
	return m
}

// composeKnown adds what this box has heard. all says that the work is that of all boxes,
// and farDue that the other is to be told that at servers of other zones again.
func (s *Share) composeKnown(m *message, box string, own []fleet.Load) (all, farDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	m.Sent, m.Hub = now.Sub(s.started), s.hub
	if s.followed {
		m.Roll = len(s.peers) + 1
	}
	m.Loads, all = s.work(box, own, now)
	since := uint64(0)
	if last := s.heard[box]; last != nil {
		m.Echo, m.EchoLife, m.EchoHeld = last.sent, last.life, now.Sub(last.receivedAt)
		m.SuspectsAck, since = last.suspects, last.suspectsAck
		if last.roster.life == last.life {
			m.Ack, m.AckAll = last.roster.next, last.roster.all
		}
		m.Roster = s.rosterFor(last, all, now)
	}
	m.Suspects, m.SuspectsNext = s.cfg.Quarantine.ChangesSince(since)
	if to := s.telling[box]; to != nil {
		m.Chosen = to.chosen
		m.Urgent, to.urgency = to.urgency != s.urgency, s.urgency
		if farDue = now.Sub(to.farAt) >= farEvery; farDue {
			to.farAt = now
		}
	}
	return all, farDue
}

// rosterFor writes down which boxes this one speaks for to another, past what that one has.
// The caller holds mu.
func (s *Share) rosterFor(last *word, all bool, now time.Time) *rosterWord {
	since := uint64(0)
	if last.ackAll == all {
		since = last.ack
	}
	if all {
		return s.inward.tell(since, s.generation, all, now)
	}
	return s.outward.tell(since, s.generation, all, now)
}

// interval is the time between two messages to a peer.
func (s *Share) interval(box string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hubs() {
		return hubEvery
	}
	known := s.peers[box]
	return s.intervalOf(known != nil && known.zone == s.cfg.Zone)
}

// pause lies between two messages to a peer.
func (s *Share) pause(ctx context.Context, box string, wake <-chan struct{}) {
	if s.Hub() != box {
		waiting.ForOr(ctx, s.interval(box), wake)
		return
	}
	began := boottime.Now()
	news := s.cfg.Fleet.Changed()
	select {
	case <-wake:
		return
	case <-news:
		waiting.ForOr(ctx, newsEvery-boottime.Since(began), wake)
	case <-time.After(restEvery):
	case <-ctx.Done():
	}
}

// intervalOf is the time between two messages to each peer of this box's zone, or of the
// others, where boxes tell each other directly. The caller holds mu.
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
func (s *Share) longestInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hubs() {
		return restEvery
	}
	return max(s.intervalOf(true), s.intervalOf(false))
}

// Lag is about how old the word of other boxes on their work is, of those of this box's
// zone or of the others. By way of hubs it takes two steps within a zone, and three between
// zones, the last of which tells less often.
func (s *Share) Lag(ownZone bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.hubs():
		return s.intervalOf(ownZone)
	case ownZone:
		return newsEvery + hubEvery
	default:
		return newsEvery + hubEvery + farEvery
	}
}
