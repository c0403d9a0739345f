// Which box calls a cold server. All boxes compute it by rendezvous hashing over the boxes of the
// server's zone in the list of the platform's log, not over those that send reports. The lists of
// two boxes differ only by their lag, and boxes that do not receive each other's reports must not
// both send calls.

package loadshare

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// minListedTime is how long this incarnation must have been listed before it calls cold servers.
// Within that time the other boxes read the updated list, and calls that an earlier incarnation of
// this box sent have arrived.
const minListedTime = 4 * time.Second

// maxColdOwners bounds the cached owners, one for each incarnation of a cold server.
const maxColdOwners = 4096

// OwnsColdServer reports whether this box is the one that calls a cold server of a zone.
func (s *Share) OwnsColdServer(zone, server string) bool {
	if !s.cfg.MayCallCold() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listLoaded || !s.announced || boottime.Since(s.announcedAt) < minListedTime {
		return false
	}
	owner, found := s.coldOwners[server]
	if !found {
		if len(s.coldOwners) >= maxColdOwners {
			clear(s.coldOwners)
		}
		owner = s.coldOwner(zone, server)
		s.coldOwners[server] = owner
	}
	return owner == s.cfg.Box
}

// coldOwner returns the box that ranks first for a server among the listed boxes of its zone, or
// among all listed boxes if its zone has none. This box must be listed. The caller holds mu.
func (s *Share) coldOwner(zone, server string) string {
	inZone, anywhere := "", s.cfg.Box
	if s.cfg.Zone == zone {
		inZone = s.cfg.Box
	}
	for box, peer := range s.peers {
		anywhere = higherRanked(anywhere, box, server)
		switch {
		case peer.zone != zone:
		case inZone == "":
			inZone = box
		default:
			inZone = higherRanked(inZone, box, server)
		}
	}
	if inZone != "" {
		return inZone
	}
	return anywhere
}
