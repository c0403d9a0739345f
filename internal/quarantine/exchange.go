// Exchange of records between boxes. A RequestRecord holds the complete record of one request.
// Each box sends the records that changed since the generation that the other box has, in the
// order of their changes.

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// MaxRecordsPerMessage bounds the records in one message, at some 100 bytes each.
const MaxRecordsPerMessage = 64

// RequestRecord is the wire form of the record of one request.
type RequestRecord struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be half of the message

	Request Request
	Caller  uint64
	Crashes []CrashRecord
}

// CrashRecord is the wire form of the crash of a server.
type CrashRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation uint64
	// Age is how long ago the crash was, by the clock of the sender.
	Age     time.Duration
	Excused bool
	// Running is the shortest time that a server had been sending the stream of a call that crashed. It is sent
	// beside the record, since boxes of the previous version reject an array with further fields; without it,
	// it is zero.
	Running time.Duration `msgpack:"-"`
}

// ChangesSince returns the records that changed after a generation, at most MaxRecordsPerMessage,
// and the generation up to which they are complete.
func (s *Set) ChangesSince(since uint64) ([]RequestRecord, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since == s.generation {
		return nil, since
	}
	var changed []*record
	for _, entry := range s.records {
		if entry.changed > since {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
	next := s.generation
	if len(changed) > MaxRecordsPerMessage {
		changed = changed[:MaxRecordsPerMessage]
		next = changed[MaxRecordsPerMessage-1].changed
	}
	now := boottime.Now()
	records := make([]RequestRecord, len(changed))
	for i, entry := range changed {
		records[i] = entry.export(now)
	}
	return records, next
}

// Held returns the records of all that is held.
func (s *Set) Held() []RequestRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	var held []RequestRecord
	for _, entry := range s.records {
		if s.isHeld(entry) && !s.isExpired(entry, now) {
			held = append(held, entry.export(now))
		}
	}
	return held
}

func (r *record) export(now time.Time) RequestRecord {
	exported := RequestRecord{Request: r.request, Caller: r.caller, Crashes: make([]CrashRecord, len(r.crashes))}
	for i, e := range r.crashes {
		exported.Crashes[i] = CrashRecord{Incarnation: e.incarnation, Age: now.Sub(e.at), Excused: e.excused, Running: e.running}
	}
	return exported
}

// Merge merges records from another box.
func (s *Set) Merge(records []RequestRecord) {
	s.mergeAll(records, func(change *Change) { change.FromPeer = true })
}

// unknownRunning stands for a time that is not known; no stream runs for longer. The log has no such times.
const unknownRunning = maxHold

// MergeRecorded merges records from the log.
func (s *Set) MergeRecorded(records []RequestRecord) {
	for _, record := range records {
		for i := range record.Crashes {
			record.Crashes[i].Running = unknownRunning
		}
	}
	s.mergeAll(records, func(change *Change) { change.Recorded = true })
}

func (s *Set) mergeAll(records []RequestRecord, setSource func(*Change)) {
	now := boottime.Now()
	var changes []Change
	for _, received := range records {
		if change, changed := s.mergeRecord(received, now); changed {
			setSource(&change)
			changes = append(changes, change)
		}
	}
	s.notifyAll(changes)
}

func (s *Set) mergeRecord(received RequestRecord, now time.Time) (Change, bool) {
	crashes := make([]crash, 0, min(len(received.Crashes), maxCrashes))
	for _, e := range received.Crashes[:min(len(received.Crashes), maxCrashes)] {
		crashes = append(crashes, crash{incarnation: e.Incarnation, at: now.Add(-max(e.Age, 0)), excused: e.Excused, running: max(e.Running, 0)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(received.Request, received.Caller, crashes, now)
}
