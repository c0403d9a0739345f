// Digests of a box's view of a stream. Two boxes that have applied a stream up to the same offset
// must have the same view, and every update that a reader sends carries its digest so that the
// follower can compare. Without this check, a server that one box has removed and another has not
// gets calls from one of them only, which goes undetected until the server refuses connections.

package registry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// noDigest stands for the digest of a view that includes records past its offset.
const noDigest = 0

// hash is an entry's share of the digest. In the servers' stream it covers the server's incarnation
// and whether the server is leaving, in other streams the newest record of the key. Deleted keys
// and records that could not be decoded have the hash 0.
func (e entry) hash() uint64 {
	switch {
	case len(e.record.Value) == 0 || e.undecodable:
		return 0
	case e.server != nil:
		return xxhash.Sum64String(strconv.FormatBool(e.server.Leaving) + "/" + e.server.Incarnation)
	default:
		return xxhash.Sum64String(strconv.FormatInt(e.record.Offset, 10) + "/" + e.record.Key)
	}
}

// digest returns the digest of the view up to next. A full read may return records past its own
// offset, which other boxes at the same offset need not have; there is no digest then.
func (s *streamState) digest() uint64 {
	if s.latestOffset >= s.next {
		return noDigest
	}
	return s.entriesHash | 1 // so that it never equals noDigest
}

// compare reports whether an update ends at the same offset as this view and can be compared with
// it, and if so, whether the two views differ.
func (s *streamState) compare(update StreamUpdate) (compared, differs bool) {
	own := s.digest()
	if update.Next != s.next || own == noDigest || update.Digest == noDigest {
		return false, false
	}
	return true, own != update.Digest
}
