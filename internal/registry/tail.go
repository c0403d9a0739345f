// What is known of each stream, in the form in which other boxes are told of it: the
// newest record of each key, when it last said something new, and up to when all records
// are known. A backend server writes a record with each heartbeat, and hardly any of them
// says anything new, so what is told is some hundredths of what is read.

package registry

import (
	"time"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// tail is what is known of one stream.
type tail struct {
	// next is the offset that the next reading begins at; sharedlog.FromNewest before the
	// first one.
	next int64
	// readAt is a moment up to which all records are known.
	readAt time.Time
	// toldUntil is until when the word of another box counts, so that this one need not
	// read the stream itself.
	toldUntil time.Time
	// entries holds the newest record of each key, by key, those of keys that are gone
	// included. What is gone since before floor is not told of any more.
	entries map[string]entry
	floor   int64
	// marks sums up the entries, and latest is the offset of the last record among them.
	marks  uint64
	latest int64
	// differs says that another box knew otherwise when last compared.
	differs bool
}

// entry is the newest record of a key.
type entry struct {
	record sharedlog.Record
	// changed is the offset of the first record that said what the newest one says.
	changed int64
	// server is what a record of the servers' stream says; nil when it is gone.
	server *fleet.Server
}

// goneKept bounds the keys of a stream that are remembered though they are gone.
const goneKept = 2048

func newTail() *tail {
	return &tail{next: sharedlog.FromNewest, entries: map[string]entry{}, latest: -1}
}

// put sets the newest record of a key.
func (t *tail) put(next entry) {
	t.marks ^= t.entries[next.record.Key].mark() ^ next.mark()
	t.latest = max(t.latest, next.record.Offset)
	t.entries[next.record.Key] = next
}

// remember takes in a record, and reports whether it says anything new.
func (t *tail) remember(record sharedlog.Record, server *fleet.Server) bool {
	before, known := t.entries[record.Key]
	if known && record.Offset < before.record.Offset {
		return false
	}
	next := entry{record: record, changed: record.Offset, server: server}
	same := known && server != nil && before.server != nil && server.Same(before.server)
	if same {
		next.changed = before.changed
	}
	t.put(next)
	return !same
}

// forgetOthers marks what a whole reading up to an offset does not name as gone.
func (t *tail) forgetOthers(named map[string]bool, upTo int64) {
	for key, known := range t.entries {
		if named[key] || len(known.record.Value) == 0 {
			continue
		}
		last := max(upTo-1, known.record.Offset)
		t.put(entry{record: sharedlog.Record{Key: key, Offset: last}, changed: last})
	}
}

// forgetGone drops keys that are long gone once there are too many of them.
func (t *tail) forgetGone() {
	gone := 0
	for _, known := range t.entries {
		if len(known.record.Value) == 0 {
			gone++
		}
	}
	if gone <= goneKept {
		return
	}
	for key, known := range t.entries {
		if len(known.record.Value) == 0 {
			delete(t.entries, key)
		}
	}
	t.floor = t.next
}

// records lists the newest records of all keys that are not gone.
func (t *tail) records() []sharedlog.Record {
	var records []sharedlog.Record
	for _, known := range t.entries {
		if len(known.record.Value) > 0 {
			records = append(records, known.record)
		}
	}
	return records
}
