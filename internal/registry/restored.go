// A log that came back from a copy. The copy is older than what this box has read, so a full read of it
// would take back what was acknowledged since: a removed key, an evacuation, a server that leaves. What
// the copy lacks stays in force, held, until it is written again, and for at most holdTime. After that
// the log counts, since it is all that boxes that start later know. A server writes its entry at each
// heartbeat, so one that does not is gone sooner.
//
// Records of the new era are either in the copy or were written after the return. A key whose record
// says by itself how new it is, by a version or a sequence, is decided by that. For other keys the
// comparison of the two histories shows which offsets were given out again.

package registry

import (
	"math/rand/v2"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const (
	// holdTime is how long a box holds what the log has lost. Operators and servers write again within
	// seconds of the return.
	holdTime = time.Minute
	// holdSpread is the time over which boxes end to hold, since each then gets the stream in full.
	holdSpread = 10 * time.Second
	// lapsedHeartbeats is the number of heartbeats without an entry after which a server is gone, as on the
	// platform, and rewriteMargin is added for the time until the entry has been read.
	lapsedHeartbeats = 3
	rewriteMargin    = 2 * time.Second
)

// held is what a box holds of a stream since the log came back.
type held struct {
	// keys are those whose newest known record the log lacks.
	keys map[string]bool
	// writtenFrom is the position from which all records were written after the return.
	writtenFrom int64
	// until is when the log counts again.
	until time.Time
}

// isRestored reports whether a batch is the first full view of a later era.
func (s *streamState) isRestored(b batch) bool {
	return s.next >= 0 && b.full && logposition.Era(b.next) > logposition.Era(s.next)
}

// hold marks a key whose newest known record the log lacks. All records from writtenFrom on were written
// after the return.
func (s *streamState) hold(key string, writtenFrom int64) {
	if len(s.held.keys) == 0 {
		s.held = held{keys: map[string]bool{}, writtenFrom: writtenFrom}
	}
	s.held.keys[key] = true
}

// applyRestored applies the first full view of a later era and returns the entries that have changed.
func (s *streamState) applyRestored(b batch, rank Ranker) (changes []entry) {
	bounds := s.compareHistories(b, rank)
	s.held = held{}
	listed := make(map[string]bool, len(b.records))
	for i, decoded := range b.records {
		key := decoded.record.Key
		listed[key] = true
		before, found := s.entries[key]
		unchanged := found && (decoded.sameServer(before.decodedRecord) || sameValue(decoded.record, before.record))
		if logposition.Era(decoded.record.Offset) < logposition.Era(b.next) {
			s.hold(key, bounds.writtenFrom) // the box that sent the view holds it
		}
		if found && !unchanged && bounds.isOlder(decoded.record, before.record, rank) {
			b.records[i].outdated = true
			s.hold(key, bounds.writtenFrom)
			continue
		}
		next := entry{decodedRecord: decoded, changed: decoded.record.Offset}
		s.put(next)
		if !unchanged {
			changes = append(changes, next)
		}
	}
	for key, known := range s.entries {
		switch {
		case listed[key] || known.isDeleted():
		case logposition.Offset(known.record.Offset) < bounds.common:
			next := entry{decodedRecord: decodedRecord{record: sharedlog.Record{Key: key, Offset: b.next - 1}}, changed: b.next - 1}
			s.put(next)
			changes = append(changes, next)
		default:
			s.hold(key, bounds.writtenFrom)
		}
	}
	s.reload, s.rereadAll, s.next, s.deltaFloor = false, false, b.next, b.next
	s.pruneTombstones()
	return changes
}

// keepsHeld reports whether a record of the present era leaves a held key as it is.
func (s *streamState) keepsHeld(record sharedlog.Record, rank Ranker) bool {
	if !s.held.keys[record.Key] {
		return false
	}
	next, ranked := rank(record)
	before, knownRanked := rank(s.entries[record.Key].record)
	if ranked && knownRanked {
		return next.compare(before) < 0
	}
	return record.Offset < s.held.writtenFrom
}

// endHold ends the hold of a stream when its time is over. Servers that have not written an entry by then
// are gone. Other streams are got in full, and what the log lists counts.
func (r *Registry) endHold(stream sharedlog.Stream) {
	if !r.holds(stream) {
		return
	}
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	r.mu.Lock()
	s, now := r.state(stream), boottime.Now()
	if now.Sub(s.readAt) > r.maxUpdateAge(stream) {
		s.held.until = now.Add(r.holdTimeOf(stream)) // what is written now is not read
	}
	count := len(s.held.keys)
	gone := s.endHold(stream, now)
	ended := len(s.held.keys) < count
	r.mu.Unlock()
	if ended {
		r.cfg.Logger.Warn().Stringer("stream", stream).Int("held", count).Int("gone", len(gone)).Msg("log_hold_ended")
	}
	if len(gone) > 0 {
		r.streamsChanged.Broadcast()
		r.applyServers(gone)
	}
}

// holds reports whether this box holds keys of a stream.
func (r *Registry) holds(stream sharedlog.Stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.state(stream).held.keys) > 0
}

// endHold returns the servers that are gone.
func (s *streamState) endHold(stream sharedlog.Stream, now time.Time) (gone []entry) {
	if len(s.held.keys) == 0 || now.Before(s.held.until) {
		return nil
	}
	keys := s.held.keys
	s.held.keys = nil
	if stream != sharedlog.Servers {
		s.rereadAll, s.reload = true, true
		return nil
	}
	for key := range keys {
		if !s.entries[key].isDeleted() {
			next := entry{decodedRecord: decodedRecord{record: sharedlog.Record{Key: key, Offset: s.next}}, changed: s.next}
			s.put(next)
			gone = append(gone, next)
		}
	}
	return gone
}

// holdTimeOf returns how long this box holds what the log has lost of a stream.
func (r *Registry) holdTimeOf(stream sharedlog.Stream) time.Duration {
	if stream == sharedlog.Servers && r.cfg.ServerHeartbeat > 0 {
		return lapsedHeartbeats*r.cfg.ServerHeartbeat + rewriteMargin
	}
	return holdTime + rand.N(holdSpread)
}

const (
	// restoredReaderWait and restoredReaderSpread make up the time for which a box that finds a later era
	// waits for the view of its reader, before it reads the stream in full itself. Without it 2,000 boxes
	// that read the log during an outage would make full reads of three streams at once.
	restoredReaderWait   = 500 * time.Millisecond
	restoredReaderSpread = 300 * time.Millisecond
	// relayWait is added where the reader gets its own view from another box, for which it waits, too.
	relayWait = 600 * time.Millisecond
	// fullReadTime is added for each entry: a page of 50 takes the log some milliseconds.
	fullReadTime = 100 * time.Microsecond
)

// awaitRestored makes this box get a stream in full after the log came back from a copy.
func (r *Registry) awaitRestored(stream sharedlog.Stream, restored *sharedlog.HistoryChangedError) {
	r.cfg.Eras.Note(restored.Start)
	expectsReader := r.cfg.ExpectsReader()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	s.rereadAll = true
	if !expectsReader {
		return
	}
	wait := restoredReaderWait + rand.N(restoredReaderSpread) + time.Duration(len(s.entries))*fullReadTime
	if r.reloadFromReader.Load() {
		wait += relayWait
	}
	s.validUntil = boottime.Now().Add(wait)
}

// hasBox reports whether the log has the newest known record of a box.
func (r *Registry) hasBox(box string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(sharedlog.Boxes)
	known, found := s.entries[box]
	return found && !known.isDeleted() && !s.held.keys[box]
}

// RestoredBoxes returns the boxes that the log lists again after it came back from a copy, though they had
// been removed, and the end of the stream as far as this box knows.
func (r *Registry) RestoredBoxes() (boxes []string, end int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(sharedlog.Boxes)
	for box := range s.held.keys {
		if s.entries[box].isDeleted() {
			boxes = append(boxes, box)
		}
	}
	return boxes, s.next
}
