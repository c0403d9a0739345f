// Whose a server's headroom is. Boxes hear of each other's work late, so when many of
// them wait for room at a server, all see the same room and fill it together. They
// therefore leave a part of it free; and that part, the headroom, belongs to one box,
// which can fill it without such a surprise.
//
// All boxes find the owner by rendezvous hashing over the boxes that they hear. Where
// they hear different ones, two may use the same headroom for a while: a guess that
// costs a prompt read again at worst, not a promise.

package loadshare

import "github.com/cespare/xxhash/v2"

// maxHeadroom bounds the answers that are remembered, one for each life of a server.
const maxHeadroom = 4096

// OwnsHeadroom reports whether a server's headroom belongs to this box, by the boxes
// that are heard now.
func (s *Share) OwnsHeadroom(server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.headroom[server]
	if !known {
		if len(s.headroom) >= maxHeadroom {
			clear(s.headroom)
		}
		owner = s.firstFor(server)
		s.headroom[server] = owner
	}
	return owner == s.cfg.Box
}

// RanksFirst reports whether something that one box is to do is up to this one, by the boxes
// that are heard now. Boxes that hear different ones may both find so.
func (s *Share) RanksFirst(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstFor(name) == s.cfg.Box
}

// firstFor gives the box that ranks first for a name, of those that are heard. The caller
// holds mu.
func (s *Share) firstFor(name string) string {
	first := s.cfg.Box
	for box := range s.known {
		first = firstOf(first, box, name)
	}
	return first
}

// headroomHeard lets a box take the headroom that is its own from now on: to work out all
// anew for each of 300 boxes that start would be 50,000 hashes each time. The caller holds
// mu.
func (s *Share) headroomHeard(box string) {
	for server, owner := range s.headroom {
		s.headroom[server] = firstOf(owner, box, server)
	}
}

// headroomSilent has the owners worked out anew of what a box had. The caller holds mu.
func (s *Share) headroomSilent(box string) {
	for server, owner := range s.headroom {
		if owner == box {
			delete(s.headroom, server)
		}
	}
}

// firstOf gives that of two boxes which ranks first for a name.
func firstOf(a, b, name string) string {
	first, second := rank(a, name), rank(b, name)
	if second > first || second == first && b > a {
		return b
	}
	return a
}

func rank(box, name string) uint64 { return xxhash.Sum64String(box + "/" + name) }
