// Ownership of a server's headroom. Boxes receive each other's load with a delay, so when many of
// them wait for capacity at a server, all see the same free capacity and would fill it together.
// They therefore leave a part of it free. That part, the headroom, is owned by one box, which can
// use it without such a conflict.
//
// All boxes compute the owner by rendezvous hashing over the boxes whose reports they receive. If
// these differ, two boxes may use the same headroom for a while. This is best effort: the cost is
// at most that a prompt is prefilled again.

package loadshare

import "github.com/cespare/xxhash/v2"

// maxHeadroomOwners bounds the cached owners, one for each incarnation of a server.
const maxHeadroomOwners = 4096

// OwnsHeadroom reports whether this box owns a server's headroom, by the boxes that report now.
func (s *Share) OwnsHeadroom(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, found := s.headroomOwners[server]
	if !found {
		if len(s.headroomOwners) >= maxHeadroomOwners {
			clear(s.headroomOwners)
		}
		owner = s.ownerOf(server)
		s.headroomOwners[server] = owner
	}
	return owner == s.cfg.Box
}

// RanksFirst reports whether this box ranks first for a name, by the boxes that report now, and so
// is the one to do a task. Boxes that receive different reports may both rank first.
func (s *Share) RanksFirst(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ownerOf(name) == s.cfg.Box
}

// ownerOf returns the box that ranks first for a name among this one and those that report. The
// caller holds mu.
func (s *Share) ownerOf(name string) string {
	owner := s.cfg.Box
	for box := range s.states {
		owner = higherRanked(owner, box, name)
	}
	return owner
}

// addHeadroomBox updates the cached owners for a new box. Computing all owners again for each of
// 300 boxes that start would take 50,000 hashes each time. The caller holds mu.
func (s *Share) addHeadroomBox(box string) {
	for server, owner := range s.headroomOwners {
		s.headroomOwners[server] = higherRanked(owner, box, server)
	}
}

// removeHeadroomBox deletes the cached ownerships of a box, which are then computed again. The
// caller holds mu.
func (s *Share) removeHeadroomBox(box string) {
	for server, owner := range s.headroomOwners {
		if owner == box {
			delete(s.headroomOwners, server)
		}
	}
}

// higherRanked returns the one of two boxes that ranks higher for a name.
func higherRanked(a, b, name string) string {
	rankA, rankB := rank(a, name), rank(b, name)
	if rankB > rankA || rankB == rankA && b > a {
		return b
	}
	return a
}

func rank(box, name string) uint64 { return xxhash.Sum64String(box + "/" + name) }
