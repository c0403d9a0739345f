// Sending reports. Each link sends over one connection, which is opened again whenever it fails. A
// connection whose peer has become unresponsive does not fail: the operating system accepts writes
// to it for minutes. The link therefore also replaces a connection when nothing that was sent on it
// is echoed.

package loadshare

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// minDirectInterval is the minimum time between two messages to a peer. A prefill takes 30 to
	// 300 ms.
	minDirectInterval = 80 * time.Millisecond
	// With hubs, a box whose load has changed sends to its hub after changedInterval at the
	// earliest. A box without changes sends after idleInterval, so that its report does not expire;
	// most boxes of a large fleet have no changes most of the time. hubInterval is the time between
	// two messages of a hub to each other box.
	changedInterval = 100 * time.Millisecond
	idleInterval    = 240 * time.Millisecond
	hubInterval     = 160 * time.Millisecond
	// otherZoneInterval is the time between two messages of a hub to a follower that include the
	// load at servers of other zones. Few calls go there, and including all servers in each message
	// would take 20 KB/s for each box.
	otherZoneInterval = 2 * hubInterval
	// usesInterval is the time between two reports of the use by organisations to a box. Their
	// receivers use them for 1.5 s.
	usesInterval = 320 * time.Millisecond
	// messagesPerSecond bounds the messages that a box sends to its own zone, and separately to all
	// other zones, when boxes send to each other directly. With many peers each receives fewer.
	// Boxes of its own zone usually receive more, since most calls go to runners there.
	messagesPerSecond = 120
	// reconnectPause is the pause before a peer that could not be reached is tried again.
	reconnectPause = time.Second
	// echoTimeout is how long messages on a connection may go without an echo from the other box.
	// The connection in either direction may have become unresponsive, which writes do not show.
	// The timeout is longer with many boxes.
	echoTimeout = 2 * time.Second
	// ioTimeout bounds a write and a connect.
	ioTimeout = 300 * time.Millisecond
)

// peerLink is a box to which this one sends.
type peerLink struct {
	address string
	// selected is whether this box selected the peer itself, rather than replying to it.
	selected bool
	stop     context.CancelFunc
	// urgentCount is the count of urgent changes at the last message. otherZonesAt is when the load
	// at servers of other zones was last sent, and usesAt when the use by organisations was.
	urgentCount  uint64
	otherZonesAt time.Time
	usesAt       time.Time
	// samplesSent is the position after the samples of fetches that were last sent.
	samplesSent uint64
	// inbound is signalled when the peer connects to this box, which shows that it is running.
	inbound waiting.Signal
}

// loopSend sends this box's reports to one peer until ctx ends.
func (s *Share) loopSend(ctx context.Context, box string, link *peerLink) {
	for ctx.Err() == nil {
		inbound := link.inbound.Chan()
		dialing, cancel := context.WithTimeout(ctx, ioTimeout)
		connection, err := s.cfg.Dial(dialing, link.address)
		cancel()
		if err == nil {
			s.sendReports(ctx, box, connection)
			_ = connection.Close() // the connection has failed or is no longer needed
		}
		if ctx.Err() == nil {
			s.avoid(box)
		}
		waiting.ForOrSignal(ctx, reconnectPause, inbound)
	}
}

// sendReports sends reports on one connection until it fails or ctx ends.
func (s *Share) sendReports(ctx context.Context, box string, connection net.Conn) {
	// The first message of each connection carries this box's address.
	address := s.cfg.Address
	opened := boottime.Since(s.started)
	for ctx.Err() == nil {
		if s.echoOverdue(box, opened) {
			s.cfg.Logger.Warn().Str("other", box).Msg("box_connection_timed_out")
			return
		}
		wake := s.urgent.Chan()
		if err := s.sendReport(connection, box, address); err != nil {
			return
		}
		address = ""
		s.waitToSend(ctx, box, wake)
	}
}

// sendReport sends one report, with this box's address unless that is empty.
func (s *Share) sendReport(connection net.Conn, box, address string) error {
	m := s.compose(box)
	m.Address = address
	if m.Snapshot = s.takeSnapshot(box); m.Snapshot != nil {
		defer s.releaseSnapshot()
	}
	return s.writeMessage(connection, m)
}

// SendNow sends a report to all peers at once, for an urgent change that they and their followers
// must receive before the next report is due.
func (s *Share) SendNow() {
	s.mu.Lock()
	s.urgentCount++
	s.mu.Unlock()
	s.urgent.Broadcast()
}

// echoOverdue reports whether another box has echoed nothing for too long of what was sent on a
// connection that was opened at the given time. A box that never sent a message may not know this
// one, and could then not reply on any connection.
func (s *Share) echoOverdue(box string, opened time.Duration) bool {
	limit := max(echoTimeout, expireAfterIntervals*s.maxSendInterval())
	s.mu.Lock()
	defer s.mu.Unlock()
	echoed := time.Duration(0)
	if last := s.reports[box]; last != nil {
		echoed = last.echoed
	}
	return s.everReported[box] && boottime.Since(s.started)-max(opened, echoed) > limit
}

// compose builds the message for another box, with this box's load and what it forwards, but without
// a snapshot.
func (s *Share) compose(box string) message {
	own := s.cfg.Fleet.Loads()
	quarantineLoaded := s.cfg.QuarantineLoaded() // before the records are taken
	m := message{Box: s.cfg.Box, Incarnation: s.cfg.Incarnation, NamedVersions: s.cfg.NamedVersions(), NeedsSnapshot: s.cfg.NeedsSnapshot()}
	full, otherZonesDue := s.addReports(&m, box, own)
	m.extension.QuarantineLoaded = quarantineLoaded && len(m.Suspects) < quarantine.MaxRecordsPerMessage && len(m.extension.Parts) < quarantine.MaxRecordsPerMessage
	m.extension.LinkSamples = s.takeLinkSamples(box)
	if !full {
		if s.usesDue(box) {
			m.extension.Uses = s.cfg.Uses() // without mu: whether this box grants places depends on the candidates
		}
		return m
	}
	// The fleet calls OwnsHeadroom while it holds its own lock, so mu is not held here.
	m.Loads, m.OtherZoneLoads = s.cfg.Fleet.SplitByZone(m.Loads, s.cfg.Zone)
	if m.OtherZoneUnchanged = !otherZonesDue; m.OtherZoneUnchanged {
		m.OtherZoneLoads = nil
	}
	return m
}

// addReports adds what this box received from others. full is whether the load is that of all
// boxes, and otherZonesDue whether the load at servers of other zones is due to be sent again.
func (s *Share) addReports(m *message, box string, own []fleet.Load) (full, otherZonesDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	m.SentAt, m.Hub = now.Sub(s.started), s.hub
	if s.listLoaded {
		m.ListedCount = len(s.peers) + 1
	}
	m.Loads, full = s.loadsFor(box, own, now)
	since, partsSince := uint64(0), uint64(0)
	if last := s.reports[box]; last != nil {
		m.Echo, m.EchoIncarnation, m.EchoHeldFor = last.sentAt, last.incarnation, now.Sub(last.receivedAt)
		m.SuspectsAck, since = last.suspectsGeneration, last.suspectsAck
		m.extension.PartsAck, partsSince = last.partsGeneration, last.partsAck
		if last.roster.incarnation == last.incarnation {
			m.RosterAck, m.RosterAckFull = last.roster.generation, last.roster.full
		}
		m.Roster = s.rosterFor(last, full, now)
	}
	m.Suspects, m.SuspectsGeneration = s.cfg.Quarantine.ChangesSince(since)
	m.extension.Parts, m.extension.PartsGeneration = s.cfg.PartQuarantine.ChangesSince(partsSince)
	if link := s.links[box]; link != nil {
		m.WantsReports = link.selected
		m.Urgent, link.urgentCount = link.urgentCount != s.urgentCount, s.urgentCount
		if otherZonesDue = m.Urgent || now.Sub(link.otherZonesAt) >= otherZoneInterval; otherZonesDue {
			link.otherZonesAt = now
		}
	}
	return full, otherZonesDue
}

// usesDue reports whether another box is due to receive the use by organisations. Boxes that follow
// a hub grant no places.
func (s *Share) usesDue(box string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	last, link := s.reports[box], s.links[box]
	if last == nil || last.hub != "" || link == nil || now.Sub(link.usesAt) < usesInterval {
		return false
	}
	link.usesAt = now
	return true
}

// takeLinkSamples returns the samples of fetches that are to be sent to another box next.
func (s *Share) takeLinkSamples(box string) []partindex.LinkSample {
	s.mu.Lock()
	link, since := s.links[box], uint64(0)
	if link != nil {
		since = link.samplesSent
	}
	s.mu.Unlock()
	if link == nil {
		return nil
	}
	// Without mu: the index calls package retire, and that this one, while it holds its own lock.
	samples, position := s.cfg.Parts.LinkSamplesSince(since, func(via string) bool { return s.passesSamples(via, box) })
	s.mu.Lock()
	defer s.mu.Unlock()
	link.samplesSent = position
	return samples
}

// passesSamples reports whether this box passes on the samples of fetches that it got by a message of one
// box to another: those of all others to its followers, and those of its followers to all others.
func (s *Share) passesSamples(via, box string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	follows := func(name string) bool {
		last := s.reports[name]
		return last != nil && last.hub == s.cfg.Box
	}
	return via != box && (follows(box) || follows(via))
}

// rosterFor returns the changes of the roster that another box does not have yet. The caller holds
// mu.
func (s *Share) rosterFor(last *report, full bool, now time.Time) *rosterUpdate {
	since := uint64(0)
	if last.rosterAckFull == full {
		since = last.rosterAck
	}
	if full {
		return s.fullRoster.changesSince(since, s.generation, full, now)
	}
	return s.followerRoster.changesSince(since, s.generation, full, now)
}

// sendInterval returns the time between two messages to a peer.
func (s *Share) sendInterval(box string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usesHubs() {
		return hubInterval
	}
	peer := s.peers[box]
	return s.directInterval(peer != nil && peer.zone == s.cfg.Zone)
}

// waitToSend waits between two messages to a peer.
func (s *Share) waitToSend(ctx context.Context, box string, wake <-chan struct{}) {
	if s.Hub() != box {
		waiting.ForOrSignal(ctx, s.sendInterval(box), wake)
		return
	}
	start := boottime.Now()
	changed := s.cfg.Fleet.LoadsChanged()
	select {
	case <-wake:
		return
	case <-changed:
		waiting.ForOrSignal(ctx, changedInterval-boottime.Since(start), wake)
	case <-time.After(idleInterval):
	case <-ctx.Done():
	}
}

// directInterval returns the time between two messages to each peer of this box's zone, or of the
// other zones, when boxes send to each other directly. The caller holds mu.
func (s *Share) directInterval(ownZone bool) time.Duration {
	peers := 0
	for _, peer := range s.peers {
		if (peer.zone == s.cfg.Zone) == ownZone {
			peers++
		}
	}
	return max(minDirectInterval, time.Duration(peers)*time.Second/messagesPerSecond)
}

// maxSendInterval returns the longest time between two messages to a peer.
func (s *Share) maxSendInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usesHubs() {
		return idleInterval
	}
	return max(s.directInterval(true), s.directInterval(false))
}

// Lag returns about how old the load reports of other boxes are, of this box's zone or of the other
// zones. Through hubs a report takes two hops within a zone and three between zones, the last of
// which sends less often.
func (s *Share) Lag(ownZone bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.usesHubs():
		return s.directInterval(ownZone)
	case ownZone:
		return changedInterval + hubInterval
	default:
		return changedInterval + hubInterval + otherZoneInterval
	}
}
