// Start without the platform's log. A box that cannot read the log when it starts knows no other
// box and has no configuration, so it would reject all calls. But its address may already be in the
// log, and then the other boxes send it their reports. From these it learns their addresses and the
// number of listed boxes, and it receives a snapshot of what they read from the log.

package loadshare

import (
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/registry"
)

// snapshotInterval is the time after which a box that still needs the configuration is due to
// receive it again.
const snapshotInterval = time.Second

// snapshotSenders is how many boxes send the configuration in each snapshotInterval, on average.
// There are several because any of them may be cut off from the box that needs it.
const snapshotSenders = 8

// maxSnapshotsUnderWay bounds the messages with a snapshot that a box holds until they have been
// sent: each takes up to 1 MB while it is encoded. All followers of a hub may need one at the same
// time, when the log is slow while all boxes start. The others get theirs with a later message.
const maxSnapshotsUnderWay = 16

// takeSnapshot returns the snapshot to send to a box with the next message, if there is room for one
// more under way. The caller calls releaseSnapshot when the message has been sent.
func (s *Share) takeSnapshot(box string) *registry.Snapshot {
	select {
	case s.snapshotsUnderWay <- struct{}{}:
	default:
		return nil
	}
	snapshot := s.snapshotFor(box)
	if snapshot == nil {
		s.releaseSnapshot()
	}
	return snapshot
}

// releaseSnapshot makes room for another snapshot.
func (s *Share) releaseSnapshot() { <-s.snapshotsUnderWay }

// learnPeer adds a box that sent a report, while the list has not been read.
func (s *Share) learnPeer(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listLoaded || s.peers[m.Box] != nil || m.Address == "" || m.Box == s.cfg.Box {
		return
	}
	s.peers[m.Box] = &peer{address: m.Address}
	s.relink.Broadcast()
}

// snapshotFor returns the snapshot to send to a box with the next message. It returns nil if the
// box needs none or was due a moment ago, if this box has no configuration either, or if other
// boxes send it. In a large fleet a few boxes, picked at random because nothing coordinates them,
// send it at a time: the snapshot takes some hundred KB with a thousand servers.
func (s *Share) snapshotFor(box string) *registry.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.reports[box]; last == nil || !last.needsSnapshot || boottime.Since(s.snapshotTurnAt[box]) <= snapshotInterval {
		return nil
	}
	zone := ""
	if known := s.peers[box]; known != nil {
		zone = known.zone
	}
	snapshot := s.cfg.Snapshot(zone)
	if snapshot == nil {
		return nil
	}
	s.snapshotTurnAt[box] = boottime.Now()
	if !s.usesHubs() && rand.N(len(s.peers)+1) >= snapshotSenders {
		return nil
	}
	return snapshot
}

// listedCountOfPeers returns the number of listed boxes as reported by boxes that have read the
// list, plus one for this box, which may not be listed. It is zero while no such report has
// arrived. The caller holds mu.
func (s *Share) listedCountOfPeers() int {
	count := 0
	for _, last := range s.reports {
		count = max(count, last.listedCount+1)
	}
	if count == 1 {
		return 0 // none of them has read the list
	}
	return count
}
