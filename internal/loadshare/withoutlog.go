// A box that starts while it cannot read the platform's log. It would know no other box
// and have no configuration, and so refuse all calls. But its address may stand in the
// log all the same, and then the others tell it of their work. So it gets to know them,
// goes by their count of boxes, and is handed what they read of the log.

package loadshare

import (
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/registry"
)

// handAgain is the time after which a box that still lacks the configuration is handed
// it once more.
const handAgain = time.Second

// handersAtATime is how many boxes hand over the configuration in each such time, on
// average. Any of them may be cut off from the box that lacks it.
const handersAtATime = 8

// acquaint gets to know a box that told of its work, while the list cannot be read.
func (s *Share) acquaint(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed || s.peers[m.Box] != nil || m.Address == "" || m.Box == s.cfg.Box {
		return
	}
	s.peers[m.Box] = &peer{address: m.Address}
	s.relink.Broadcast()
}

// handOver gives what a box is handed with the next message: nil when it lacks nothing or
// had its turn just now, when this box lacks the configuration too, or when others hand it
// over. In a large fleet only some boxes do it at a time, chosen by chance since nobody
// can tell them: what the log holds of a thousand servers is some hundred KB.
func (s *Share) handOver(box string) *registry.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last := s.heard[box]; last == nil || !last.lacks || boottime.Since(s.handedAt[box]) <= handAgain {
		return nil
	}
	snapshot := s.cfg.Snapshot()
	if snapshot == nil {
		return nil
	}
	s.handedAt[box] = boottime.Now()
	if !s.hubs() && rand.N(len(s.peers)+1) >= handersAtATime {
		return nil
	}
	return snapshot
}

// rollOfOthers gives the number of boxes by those that have read the list, and this one
// besides, since it may not be on it; zero while it hears of none. The caller holds mu.
func (s *Share) rollOfOthers() int {
	roll := 0
	for _, last := range s.heard {
		roll = max(roll, last.roll+1)
	}
	if roll == 1 {
		return 0 // none of them has read the list either
	}
	return roll
}
