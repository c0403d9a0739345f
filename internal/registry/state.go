// The state of each stream, in the form in which it is forwarded to other boxes: the newest record
// of each key, since when its content is unchanged, and up to which moment all records are known. A
// backend server writes a record with each heartbeat, and hardly any of them changes anything, so
// the volume that is forwarded is a few hundredths of what is read.

package registry

import (
	"iter"
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// streamState is a box's view of one stream.
type streamState struct {
	// next is the offset that the next read begins at; sharedlog.FromNewest before the first one.
	next int64
	// readAt is a moment up to which all records are known.
	readAt time.Time
	// validUntil is until when the reader's last update is recent enough, so that this box need not
	// read the stream itself.
	validUntil time.Time
	// direct is set once the box has been made to read this stream directly.
	direct bool
	// awaitedSince is when the box began to wait for a complete view from its reader; zero while it
	// does not wait.
	awaitedSince time.Time
	// entries holds the newest record of each key, including tombstones of deleted keys.
	entries map[string]entry
	// changes lists the entries by the offset at which they changed, and tombstones counts the
	// deleted keys among them.
	changes    changeIndex
	tombstones int
	// deltaFloor is the lowest offset from which all changes are known: a full read does not list
	// the keys that were deleted before it. A box that got changes from an earlier offset went on
	// sending calls to a deleted server until the server refused connections, 2.0 to 3.6 s after it
	// had left.
	deltaFloor int64
	// entriesHash is the XOR of the entries' hashes, and latestOffset the highest offset among
	// them.
	entriesHash  uint64
	latestOffset int64
	// differs is set if the last digest that could be compared was different, and rereadAll if
	// the stream has to be read in full since then.
	differs   bool
	rereadAll bool
	// reload is set while the view has to be replaced by that of the reader.
	reload bool
	// held is what the log has lost and what this box goes by nevertheless.
	held held
}

// nextRead returns the position that the next read of the log begins at.
func (s *streamState) nextRead() int64 {
	if s.rereadAll {
		return sharedlog.FromNewest
	}
	return s.next
}

// decodedRecord is a record and, in the servers' stream, the server that it describes. The server
// is nil when the record deletes it, or when the record could not be decoded; undecodable is set in
// the latter case.
type decodedRecord struct {
	record      sharedlog.Record
	server      *fleet.Server
	undecodable bool
	// outdated is set by apply if the box holds a newer record, which the log has lost.
	outdated bool
}

// sameServer reports whether a record describes a server in the same way as an earlier record.
func (d decodedRecord) sameServer(before decodedRecord) bool {
	if d.undecodable || before.undecodable {
		return d.undecodable == before.undecodable
	}
	return d.server != nil && before.server != nil && d.server.SameEntry(before.server)
}

// entry is the newest record of a key.
type entry struct {
	decodedRecord
	// changed is the offset of the first record with the same content as the newest one.
	changed int64
}

// maxTombstones bounds the tombstones of a stream, its deleted keys that are still remembered.
const maxTombstones = 2048

func newStreamState() *streamState {
	return &streamState{next: sharedlog.FromNewest, entries: map[string]entry{}, latestOffset: -1}
}

// isDeleted reports whether the entry is the tombstone of a deleted key.
func (e entry) isDeleted() bool { return len(e.record.Value) == 0 }

// put sets the newest record of a key.
func (s *streamState) put(next entry) {
	before, found := s.entries[next.record.Key]
	s.entriesHash ^= before.hash() ^ next.hash()
	s.latestOffset = max(s.latestOffset, next.record.Offset)
	s.entries[next.record.Key] = next
	if found && before.isDeleted() {
		s.tombstones--
	}
	if next.isDeleted() {
		s.tombstones++
	}
	if !found || before.changed != next.changed {
		s.changes.add(change{next.changed, next.record.Key})
	}
	if s.changes.needsRebuild(len(s.entries)) {
		s.changes.rebuild(s.entries)
	}
}

// changedSince returns the entries that changed at or after a change, in the order of the changes.
func (s *streamState) changedSince(first change) iter.Seq[entry] {
	return func(yield func(entry) bool) {
		last := change{offset: -1}
		for _, next := range s.changes.from(first) {
			known, found := s.entries[next.key]
			if !found || known.changed != next.offset || next == last {
				continue // it has changed again, or is listed twice
			}
			if last = next; !yield(known) {
				return
			}
		}
	}
}

// batch is a set of records that was read from a stream or came from another box.
type batch struct {
	records []decodedRecord
	// next is the offset after the records.
	next int64
	// full means that records lists all keys that were not deleted at next. Otherwise it holds all
	// that was added to the current view.
	full bool
	// uncompacted means that records holds every record that was added, not just the newest of each
	// key.
	uncompacted bool
}

// apply applies a batch and returns the entries that have changed. The batch may be older than the
// current view: a key only moves to higher offsets, and an unknown key with an offset below next
// had been deleted by then.
func (s *streamState) apply(b batch, rank Ranker) (changes []entry) {
	if s.isRestored(b) {
		return s.applyRestored(b, rank)
	}
	knownNext := s.next
	for i, decoded := range b.records {
		offset := decoded.record.Offset
		before, found := s.entries[decoded.record.Key]
		if b.records[i].outdated = s.keepsHeld(decoded.record, rank); b.records[i].outdated {
			continue
		}
		if offset < before.record.Offset || !found && offset < knownNext {
			continue
		}
		wasHeld := s.held.keys[decoded.record.Key]
		if end := max(b.next, knownNext); logposition.Era(offset) < logposition.Era(end) {
			s.hold(decoded.record.Key, end)
		} else {
			delete(s.held.keys, decoded.record.Key)
		}
		next := entry{decodedRecord: decoded, changed: offset}
		unchanged := next.sameServer(before.decodedRecord)
		if unchanged && b.uncompacted && !wasHeld { // followers hold the key, too, until they get the record
			next.changed = before.changed // no record between the two had other content
		}
		s.put(next)
		if !unchanged {
			changes = append(changes, next)
		}
	}
	s.reload = s.reload && !b.full
	if b.full && b.next >= knownNext {
		changes = append(changes, s.deleteUnlisted(b)...)
		s.deltaFloor = b.next
	}
	s.next = max(s.next, b.next)
	s.pruneTombstones()
	return changes
}

// deleteUnlisted marks the keys as deleted that a full read does not list, and returns those that
// were not deleted before. Their tombstones have the offset of the read, so that no older update
// restores one. Entries from a snapshot adopted before the first read are deleted whatever their
// offset.
func (s *streamState) deleteUnlisted(b batch) (deleted []entry) {
	listed := make(map[string]bool, len(b.records))
	for _, decoded := range b.records {
		listed[decoded.record.Key] = true
	}
	first := s.next < 0
	for key, known := range s.entries {
		last := b.next - 1
		if first {
			last = max(last, known.record.Offset)
		}
		if listed[key] || s.held.keys[key] || known.record.Offset > last {
			continue
		}
		next := entry{decodedRecord: decodedRecord{record: sharedlog.Record{Key: key, Offset: last}}, changed: last}
		s.put(next)
		if !known.isDeleted() {
			deleted = append(deleted, next)
		}
	}
	return deleted
}

// pruneTombstones drops all tombstones once there are too many.
func (s *streamState) pruneTombstones() {
	if s.tombstones <= maxTombstones {
		return
	}
	for key, known := range s.entries {
		if known.isDeleted() {
			delete(s.entries, key)
		}
	}
	s.tombstones = 0
	s.changes.rebuild(s.entries)
	s.deltaFloor = s.next
}

// records returns the newest records of all keys that are not deleted.
func (s *streamState) records() []sharedlog.Record {
	var records []sharedlog.Record
	for _, known := range s.entries {
		if !known.isDeleted() {
			records = append(records, known.record)
		}
	}
	return records
}
