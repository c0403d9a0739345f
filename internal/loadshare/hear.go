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

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// silentAfter times the time between two messages is when a peer counts as
	// silent, and its work as nothing.
	silentAfter = 6
	// forgetEvery is the time between two looks for boxes that are silent.
	forgetEvery = 240 * time.Millisecond
	// readLimit bounds the wait for a message.
	readLimit = 10 * time.Second
)

// word is the last message of another box.
type word struct {
	receivedAt time.Time
	// life and sent are to be echoed.
	life string
	sent time.Duration
	// echoed is the last time of this box, counted from its start, that it has heard, and at
	// a moment after which it said what stands here; zero when that is not known.
	echoed time.Duration
	at     time.Time
	// weights are the newest versions that it knows, by model.
	weights map[string]int
	// lacks says that it has no configuration and cannot read the log; roll is the
	// number of boxes by a list that it has read.
	lacks bool
	roll  int
	// hub is the box that it follows, and chosen says that it wants to be told.
	hub    string
	chosen bool
	// loads is the work that it tells, at all servers.
	loads map[string]fleet.Load
	// roster is what it tells of other boxes, and ack which roster of this box's it has.
	roster roster
	ack    uint64
	ackAll bool
	// suspects is what it has told in this life of requests that end servers, and suspectsAck
	// what it has of this box's.
	suspects    uint64
	suspectsAck uint64
}

// LoopAccept hears other boxes until ctx ends.
func (s *Share) LoopAccept(ctx context.Context, listener net.Listener) {
	s.server.LoopAccept(ctx, listener)
}

// serve takes in what one box tells on one connection.
func (s *Share) serve(_ context.Context, connection net.Conn, reader *bufio.Reader) {
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
		s.hear(m)
	}
}

// hear takes over a message.
func (s *Share) hear(m message) {
	s.acquaint(m)
	if m.Snapshot != nil {
		s.cfg.Adopt(*m.Snapshot)
	}
	s.cfg.Quarantine.Merge(m.Suspects) // before they are acknowledged
	s.cfg.Heard(m.Named, s.note(m))
	s.cfg.Fleet.SetRemote(m.Box, m.Loads)
	if !m.FarKept {
		s.cfg.Fleet.SetRemote(farOf(m.Box), m.Far)
	}
	if m.Urgent {
		s.passOnAtOnce(m)
	}
}

// farOf names what a box tells apart of servers in other zones.
func farOf(box string) string { return box + "/far" }

// passOnAtOnce tells what cannot wait: other hubs of what a follower said, and followers of
// what anybody did.
func (s *Share) passOnAtOnce(m message) {
	if m.Hub == s.cfg.Box {
		s.TellNow()
		return
	}
	s.urgent.Send()
}

// late reports whether a message was overtaken by a later one of the same life, on a
// connection that took the place of its own.
func (s *Share) late(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, heard := s.heard[m.Box]
	return heard && last.life == m.Life && m.Sent < last.sent
}

// note remembers what a box says. It gives the moment after which the message was sent, or
// zero when that cannot be told.
func (s *Share) note(m message) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.heard[m.Box]
	first := last == nil
	if first {
		last = &word{}
		s.heard[m.Box] = last
		s.answers[m.Box] = true
	}
	last.receivedAt, last.life, last.sent = boottime.Now(), m.Life, m.Sent
	last.at, last.echoed, last.ack, last.suspectsAck = time.Time{}, 0, 0, 0
	if m.EchoLife == s.cfg.Life {
		last.at, last.echoed = s.started.Add(m.Echo+m.EchoHeld), m.Echo
		last.ack, last.ackAll, last.suspectsAck = m.Ack, m.AckAll, m.SuspectsAck
	}
	last.suspects = m.SuspectsNext
	last.weights = make(map[string]int, len(m.Named))
	for model, versions := range m.Named {
		if len(versions) > 0 {
			last.weights[model] = versions[len(versions)-1].Version
		}
	}
	wanted := last.chosen
	last.lacks, last.roll, last.hub, last.chosen = m.Lacks, m.Roll, m.Hub, m.Chosen
	last.takeLoads(m)
	last.roster.take(m.Roster, m.Life, last.at)
	if first || s.stockDue(last.receivedAt) {
		s.takeStock(last.receivedAt)
	}
	if m.Address != "" {
		s.noteReached(m.Box)
	}
	if first || wanted != last.chosen {
		s.relink.Send()
	}
	return last.at
}

// noteReached notes that a box has opened a connection to this one: it is there, and is told
// at once. Boxes that start together would otherwise hear of a hub that had started before
// them only after connectEvery, and have left it by then. The caller holds mu.
func (s *Share) noteReached(box string) {
	delete(s.avoided, box)
	s.othersAt = time.Time{}
	if told := s.telling[box]; told != nil {
		told.reached.Send()
	}
}

// LoopForget lets the work of silent boxes count as nothing, and keeps what is known of all
// boxes, until ctx ends.
func (s *Share) LoopForget(ctx context.Context) {
	for waiting.For(ctx, forgetEvery) {
		for _, box := range s.forgetSilent(silentAfter * s.longestInterval()) {
			s.cfg.Fleet.SetRemote(box, nil)
			s.cfg.Fleet.SetRemote(farOf(box), nil)
		}
	}
}

// forgetSilent forgets the boxes that have told nothing for longer than limit, and gives
// their names.
func (s *Share) forgetSilent(limit time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	var boxes []string
	for box, last := range s.heard {
		if now.Sub(last.receivedAt) > limit {
			boxes = append(boxes, box)
			delete(s.heard, box)
			delete(s.handedAt, box)
		}
	}
	if len(boxes) > 0 || s.stockDue(now) {
		s.takeStock(now)
	}
	return boxes
}
