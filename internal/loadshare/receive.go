// Receiving reports. Other boxes connect to this one and send their load, which is stored until the
// next report. The load of a box that has not sent a report for several intervals is dropped:
// otherwise calls would keep avoiding servers because of a box that may have crashed.

package loadshare

import (
	"context"
	"net"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// expireAfterIntervals is the number of send intervals without a message after which a peer's
	// report expires and its load is dropped.
	expireAfterIntervals = 6
	// expiryCheckInterval is the interval between two checks for expired reports.
	expiryCheckInterval = 240 * time.Millisecond
	// maxSampleTransit is how old a message may be for its samples of fetches to be used. Their ages
	// do not include the time in transit.
	maxSampleTransit = time.Second
	// readTimeout bounds the wait for a message.
	readTimeout = 10 * time.Second
)

// report is the last message of another box.
type report struct {
	receivedAt time.Time
	// incarnation and sentAt are echoed to the sender.
	incarnation string
	sentAt      time.Duration
	// echoed is the latest SentAt of this box that the sender received. The report was sent after
	// sentAfter. Both are zero when unknown.
	echoed    time.Duration
	sentAfter time.Time
	// weights holds the newest versions that the sender knows, by model.
	weights map[string]int
	// needsSnapshot means that the sender has no configuration and cannot read the log. listedCount
	// is the number of boxes in the list that it has read.
	needsSnapshot bool
	listedCount   int
	// hub is the hub that the sender follows. wantsReports means that it wants to receive reports.
	hub          string
	wantsReports bool
	// loads is the load that it reported, for servers of all zones.
	loads map[string]fleet.Load
	// roster is what it reported about other boxes. rosterAck is the generation of this box's
	// roster that it has, and rosterAckFull whether that was the full one.
	roster        remoteRoster
	rosterAck     uint64
	rosterAckFull bool
	// suspectsGeneration is how far this incarnation of the sender has reported the requests that
	// crash servers. suspectsAck is what it has of this box's.
	suspectsGeneration uint64
	suspectsAck        uint64
	// partsGeneration and partsAck are the same for the prompt parts that do.
	partsGeneration uint64
	partsAck        uint64
}

// LoopAccept receives the messages of other boxes until ctx ends.
func (s *Share) LoopAccept(ctx context.Context, listener net.Listener) {
	s.server.LoopAccept(ctx, listener)
}

// serve handles the messages of one connection.
func (s *Share) serve(_ context.Context, connection net.Conn, reader *frame.Reader) {
	for {
		if err := connection.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		m, err := readMessage(reader)
		if err != nil {
			return
		}
		if s.isStale(m) {
			continue
		}
		s.handle(m)
	}
}

// handle applies a message.
func (s *Share) handle(m message) {
	s.learnPeer(m)
	if m.Snapshot != nil {
		s.cfg.ApplySnapshot(*m.Snapshot)
	}
	s.cfg.Quarantine.Merge(m.Suspects) // before the message is acknowledged
	s.cfg.PartQuarantine.Merge(m.extension.Parts)
	if m.extension.QuarantineLoaded {
		s.cfg.OnQuarantineLoaded()
	}
	sentAfter := s.recordReport(m)
	s.cfg.MergeNamedVersions(m.NamedVersions, sentAfter)
	if boottime.Since(sentAfter) <= maxSampleTransit {
		s.cfg.Parts.MergeLinkSamples(m.Box, m.extension.LinkSamples)
	}
	if len(m.extension.Uses) > 0 {
		s.cfg.MergeUses(m.Box, m.extension.Uses)
	}
	if counts, former := s.selectLoads(m.Box, m.Hub); counts {
		s.dropLoads(former)
		s.applyLoads(m)
	}
	if m.Urgent {
		s.forwardUrgent(m)
	}
}

// selectLoads reports whether the loads that a box sends are to be counted, given the hub that it
// follows, and returns the boxes whose loads no longer are. The hub that this box follows sends the
// loads of all boxes, so those of any other box are among them. A hub counts the boxes that follow
// it and the other hubs; the load of a box that follows another hub comes from there.
func (s *Share) selectLoads(box, itsHub string) (counts bool, former []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hub != box && (s.hub != "" || !s.isDirectSource(itsHub)) {
		return false, nil
	}
	if s.hub == box {
		for source := range s.loadSources {
			if source != box {
				former = append(former, source)
				delete(s.loadSources, source)
			}
		}
	}
	s.loadSources[box] = true
	return true, former
}

// isDirectSource reports whether a box that follows a given hub is one whose load reaches this hub by
// no other path. The caller holds mu.
func (s *Share) isDirectSource(itsHub string) bool { return itsHub == "" || itsHub == s.cfg.Box }

// dropLoads stops counting the loads of some boxes.
func (s *Share) dropLoads(boxes []string) {
	for _, box := range boxes {
		s.cfg.Fleet.SetRemoteLoads(box, nil)
		s.cfg.Fleet.SetRemoteLoads(otherZoneSource(box), nil)
	}
}

func (s *Share) applyLoads(m message) {
	s.cfg.Fleet.SetRemoteLoads(m.Box, m.Loads)
	if !m.OtherZoneUnchanged {
		s.cfg.Fleet.SetRemoteLoads(otherZoneSource(m.Box), m.OtherZoneLoads)
	}
}

// otherZoneSource is the source name for the load that a box reports separately, at servers of
// other zones.
func otherZoneSource(box string) string { return box + "/far" }

// forwardUrgent sends the next messages at once. After a message of a follower they are urgent in
// turn, so that other hubs pass the change on to their followers.
func (s *Share) forwardUrgent(m message) {
	if m.Hub == s.cfg.Box {
		s.SendNow()
		return
	}
	s.urgent.Broadcast()
}

// isStale reports whether a later message of the same incarnation has already arrived, on the
// connection that replaced this one.
func (s *Share) isStale(m message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, found := s.reports[m.Box]
	return found && last.incarnation == m.Incarnation && m.SentAt < last.sentAt
}

// recordReport stores the report of a box. It returns a time after which the message was sent, or
// zero when that is unknown.
func (s *Share) recordReport(m message) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reports[m.Box]
	first := last == nil
	if first {
		s.rostersChanged = true
		last = &report{}
		s.reports[m.Box] = last
		s.everReported[m.Box] = true
	}
	last.receivedAt, last.incarnation, last.sentAt = boottime.Now(), m.Incarnation, m.SentAt
	last.sentAfter, last.echoed, last.rosterAck, last.suspectsAck, last.partsAck = time.Time{}, 0, 0, 0, 0
	if m.EchoIncarnation == s.cfg.Incarnation {
		last.sentAfter, last.echoed = s.started.Add(m.Echo+m.EchoHeldFor), m.Echo
		last.rosterAck, last.rosterAckFull, last.suspectsAck = m.RosterAck, m.RosterAckFull, m.SuspectsAck
		last.partsAck = m.extension.PartsAck
	}
	last.suspectsGeneration, last.partsGeneration = m.SuspectsGeneration, m.extension.PartsGeneration
	last.weights = make(map[string]int, len(m.NamedVersions))
	for model, versions := range m.NamedVersions {
		if len(versions) > 0 {
			last.weights[model] = versions[len(versions)-1].Version
		}
	}
	wantedReports := last.wantsReports
	last.needsSnapshot, last.listedCount, last.hub, last.wantsReports = m.NeedsSnapshot, m.ListedCount, m.Hub, m.WantsReports
	ageAdvisories(m, last)
	last.setLoads(m)
	s.rostersChanged = last.roster.apply(m.Roster, m.Incarnation, last.sentAfter) || s.rostersChanged
	if first || s.statesDue(last.receivedAt) {
		s.updateStates(last.receivedAt)
	}
	if m.Address != "" {
		s.noteInboundConnection(m.Box)
	}
	if first || wantedReports != last.wantsReports {
		s.relink.Broadcast()
	}
	return last.sentAfter
}

// ageAdvisories adds the longest possible transit time of a message to the ages of what it says
// about servers.
func ageAdvisories(m message, last *report) {
	transit, known := last.receivedAt.Sub(last.sentAfter), !last.sentAfter.IsZero()
	if !known {
		transit = 0
	}
	for _, loads := range [][]fleet.Load{m.Loads, m.OtherZoneLoads} {
		for i := range loads {
			loads[i].Advisory = loads[i].Advisory.AfterTransit(transit, known)
			loads[i].Brittle = loads[i].Brittle.AfterTransit(transit, known)
		}
	}
}

// noteInboundConnection records that a box has connected to this one: it is running, and the link
// to it is retried at once. Otherwise a hub that started first would send to the boxes that start
// after it only after reconnectPause, and they would have left it by then. The caller holds mu.
func (s *Share) noteInboundConnection(box string) {
	delete(s.avoided, box)
	s.candidatesAt = time.Time{}
	if link := s.links[box]; link != nil {
		link.inbound.Broadcast()
	}
}

// LoopExpireReports drops the load of boxes that have stopped reporting, and updates the states of
// all boxes, until ctx ends.
func (s *Share) LoopExpireReports(ctx context.Context) {
	for waiting.For(ctx, expiryCheckInterval) {
		s.dropLoads(s.expireReports(expireAfterIntervals * s.maxSendInterval()))
	}
}

// expireReports deletes the reports that are older than maxAge, and returns the names of their
// boxes.
func (s *Share) expireReports(maxAge time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	var expired []string
	for box, last := range s.reports {
		if now.Sub(last.receivedAt) > maxAge {
			expired = append(expired, box)
			delete(s.reports, box)
			delete(s.snapshotTurnAt, box)
			delete(s.loadSources, box)
		}
	}
	s.rostersChanged = s.rostersChanged || len(expired) > 0
	if len(expired) > 0 || s.statesDue(now) {
		s.updateStates(now)
	}
	return expired
}
