// Which box calls a cold server. All boxes find it by rendezvous hashing over the boxes of the
// server's zone that stand on the list in the platform's log, rather than over those that are heard:
// lists differ by their lag only, and boxes that do not hear each other must not both send.

package loadshare

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// coldTenure is how long this box must have been listed, in this life, before it calls cold servers.
// Within it other boxes read the list anew, and what an earlier life of this box sent has arrived.
const coldTenure = 4 * time.Second

// maxColdOwners bounds the answers that are remembered, one for each life of a cold server.
const maxColdOwners = 4096

// OwnsColdServer reports whether it is this box that calls a cold server of a zone.
func (s *Share) OwnsColdServer(zone, server string) bool {
	if !s.cfg.MayCallCold() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.followed || !s.announced || boottime.Since(s.announcedAt) < coldTenure {
		return false
	}
	owner, known := s.coldOwners[server]
	if !known {
		if len(s.coldOwners) >= maxColdOwners {
			clear(s.coldOwners)
		}
		owner = s.coldOwner(zone, server)
		s.coldOwners[server] = owner
	}
	return owner == s.cfg.Box
}

// coldOwner gives the box that ranks first for a server among the listed boxes of its zone, or among
// all where its zone has none. This box is listed. The caller holds mu.
func (s *Share) coldOwner(zone, server string) string {
	inZone, anywhere := "", s.cfg.Box
	if s.cfg.Zone == zone {
		inZone = s.cfg.Box
	}
	for box, known := range s.peers {
		anywhere = firstOf(anywhere, box, server)
		switch {
		case known.zone != zone:
		case inZone == "":
			inZone = box
		default:
			inZone = firstOf(inZone, box, server)
		}
	}
	if inZone != "" {
		return inZone
	}
	return anywhere
}
