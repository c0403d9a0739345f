// The rank of this box among the boxes that share the rate limit of a server (package advisory).
// The order is given by rendezvous hashing over the boxes that receive each other's reports. Boxes
// of the server's zone come first, since calls stay in their zone where possible.

package loadshare

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// informedAfter bounds how long a box waits after its start for the reports of all listed boxes: a
// stopped box sends none and may still be listed.
const informedAfter = 2 * time.Second

// maxLimitRanks bounds the cached ranks, one for each incarnation of a limited server.
const maxLimitRanks = 4096

// limitRanks caches this box's ranks while the set of present boxes stays the same.
type limitRanks struct {
	// present holds the zones of the other boxes that report and are listed, by name; nil when it
	// must be computed again.
	present map[string]string
	ranks   map[string]int
}

// invalidate discards the set of present boxes.
func (l *limitRanks) invalidate() { l.present = nil }

// LimitPosition returns the rank of this box among those that share the rate limit of a server in a
// zone.
func (s *Share) LimitPosition(zone, server string) advisory.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.present == nil {
		s.limits = limitRanks{present: s.presentBoxes(), ranks: map[string]int{}}
	}
	rank, found := s.limits.ranks[server]
	if !found {
		if len(s.limits.ranks) >= maxLimitRanks {
			clear(s.limits.ranks)
		}
		rank = s.limitRank(zone, server)
		s.limits.ranks[server] = rank
	}
	return advisory.Position{Rank: rank, Present: len(s.limits.present) + 1, Listed: s.listedCount()}
}

// presentBoxes returns the zones of the other boxes that report and are listed, by name. The caller
// holds mu.
func (s *Share) presentBoxes() map[string]string {
	present := make(map[string]string, len(s.states))
	for box := range s.states {
		switch listed := s.peers[box]; {
		case listed != nil:
			present[box] = listed.zone
		case !s.listLoaded:
			present[box] = ""
		}
	}
	return present
}

// limitRank counts the present boxes that precede this one for a server. The caller holds mu.
func (s *Share) limitRank(zone, server string) int {
	var sameZone, otherZones []string
	for box, boxZone := range s.limits.present {
		if boxZone == zone {
			sameZone = append(sameZone, box)
		} else {
			otherZones = append(otherZones, box)
		}
	}
	if s.cfg.Zone == zone {
		return advisory.Rank(s.cfg.Box, sameZone, server)
	}
	return len(sameZone) + advisory.Rank(s.cfg.Box, otherZones, server)
}

// IsInformed reports whether this box has received a report of each listed box since its start, or
// started at least informedAfter ago. Before that it may lack rate limits that servers stated to other
// boxes.
func (s *Share) IsInformed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.informed = s.informed || boottime.Since(s.started) >= informedAfter || s.listLoaded && s.allReport()
	return s.informed
}

// allReport reports whether there is a load report of each listed box. The caller holds mu.
func (s *Share) allReport() bool {
	for box := range s.peers {
		if s.states[box] == nil {
			return false
		}
	}
	return true
}
