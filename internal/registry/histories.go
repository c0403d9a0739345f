// Comparing what this box knows with the first full view of a later era of the log: which records of it are
// older, by what they say themselves or by where they lie in the two histories.

package registry

import (
	"bytes"

	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// Rank orders the records of one key by their content.
type Rank struct{ Major, Minor int64 }

// compare returns a negative number if r is older than other, and a positive one if it is newer.
func (r Rank) compare(other Rank) int64 {
	if r.Major != other.Major {
		return r.Major - other.Major
	}
	return r.Minor - other.Minor
}

// Ranker returns the rank of a record, and false if its content has none.
type Ranker func(record sharedlog.Record) (Rank, bool)

// sameValue reports whether two records have the same content.
func sameValue(a, b sharedlog.Record) bool { return bytes.Equal(a.Value, b.Value) }

// historyBounds is what the comparison of two histories shows about offsets of the later one.
type historyBounds struct {
	// common is an offset below which the two are the same.
	common int64
	// writtenFrom is a position from which all records were written after the return.
	writtenFrom int64
}

// compareHistories compares the entries of the last era with the first full view of a later one.
func (s *streamState) compareHistories(b batch, rank Ranker) historyBounds {
	bounds := historyBounds{writtenFrom: b.next}
	known := make(map[int64]sharedlog.Record, len(s.entries)) // by offset
	for _, e := range s.entries {
		if e.server != nil {
			return historyBounds{writtenFrom: b.next, common: s.commonOfServers(b, rank)}
		}
		if !e.isDeleted() && logposition.Era(e.record.Offset) == logposition.Era(s.next) { // the offsets of deletions are not exact
			known[logposition.Offset(e.record.Offset)] = e.record
		}
	}
	for _, decoded := range b.records {
		record := decoded.record
		if logposition.Era(record.Offset) != logposition.Era(b.next) {
			continue
		}
		before, reused := known[logposition.Offset(record.Offset)]
		differs := reused && (before.Key != record.Key || !sameValue(before, record))
		if differs || isWrittenAgain(record, s.entries[record.Key].record, rank) {
			bounds.writtenFrom = min(bounds.writtenFrom, record.Offset)
		}
	}
	for _, decoded := range b.records {
		offset := logposition.Offset(decoded.record.Offset)
		if before, found := known[offset]; found && before.Key == decoded.record.Key && decoded.record.Offset < bounds.writtenFrom {
			bounds.common = max(bounds.common, offset+1)
		}
	}
	return bounds
}

// commonOfServers returns an offset below which the servers' streams of two eras are the same. A server
// numbers its entries, so one that is not newer than the known one was written before the copy. What is newer
// shows nothing: a follower does not get each heartbeat.
func (s *streamState) commonOfServers(b batch, rank Ranker) (common int64) {
	for _, decoded := range b.records {
		record, known := decoded.record, s.entries[decoded.record.Key].record
		if logposition.Era(record.Offset) != logposition.Era(b.next) || len(known.Value) == 0 {
			continue
		}
		offset := logposition.Offset(record.Offset)
		same := offset == logposition.Offset(known.Offset) && sameValue(record, known)
		next, ranked := rank(record)
		before, knownRanked := rank(known)
		if same || ranked && knownRanked && next.compare(before) <= 0 {
			common = max(common, offset+1)
		}
	}
	return common
}

// isWrittenAgain reports whether the content of a record shows that it was written after the known one.
func isWrittenAgain(record, known sharedlog.Record, rank Ranker) bool {
	if len(known.Value) == 0 {
		return false
	}
	if sameValue(record, known) {
		return logposition.Offset(record.Offset) != logposition.Offset(known.Offset)
	}
	next, ranked := rank(record)
	before, knownRanked := rank(known)
	return ranked && knownRanked && next.compare(before) > 0
}

// isOlder reports whether a record of a full view is older than the known one of its key, which has another
// content.
func (b historyBounds) isOlder(record, known sharedlog.Record, rank Ranker) bool {
	if logposition.Era(record.Offset) <= logposition.Era(known.Offset) {
		return record.Offset < known.Offset // another box holds it
	}
	next, ranked := rank(record)
	before, knownRanked := rank(known)
	if ranked && knownRanked {
		return next.compare(before) < 0
	}
	offset, knownOffset := logposition.Offset(record.Offset), logposition.Offset(known.Offset)
	return offset < knownOffset && knownOffset >= b.common && record.Offset < b.writtenFrom
}
