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
	// included.
	entries map[string]entry
	// floor is the offset since which all that was added is known: a reading of the newest
	// records does not name the keys that went before it. Told of additions since an earlier
	// one, a box went on handing calls to a server whose entry had gone, until it refused
	// connections: 2.0 to 3.6 s after its leaving.
	floor int64
	// marks sums up the entries, and latest is the offset of the last record among them.
	marks  uint64
	latest int64
	// differs says that another box knew otherwise when last compared, and reread that all
	// is to be read anew since then.
	differs bool
	reread  bool
}

// readFrom gives the offset that the next reading of the log begins at.
func (t *tail) readFrom() int64 {
	if t.reread {
		return sharedlog.FromNewest
	}
	return t.next
}

// said is a record with what it says of its server, in the servers' stream; nil when that
// is gone, or when the record is not understood, which unclear says.
type said struct {
	record  sharedlog.Record
	server  *fleet.Server
	unclear bool
}

// same reports whether a record says of a server what an earlier one said.
func (s said) same(before said) bool {
	if s.unclear || before.unclear {
		return s.unclear == before.unclear
	}
	return s.server != nil && before.server != nil && s.server.SameEntry(before.server)
}

// entry is the newest record of a key.
type entry struct {
	said
	// changed is the offset of the first record that said what the newest one says.
	changed int64
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

// reading is what was read of a stream, or told of it.
type reading struct {
	records []said
	// next is the offset up to which the records lead.
	next int64
	// whole says that keys which are not in records were gone at next; otherwise the records are all that was added since what is known.
	whole bool
	// raw says that records are all that were added, rather than the newest of each key.
	raw bool
}

// take takes in a reading and gives the entries that say anything new. It may be older than
// what is known: each key goes forward by offsets, and a key that is not known though the
// stream is known up to a later offset was gone by then.
func (t *tail) take(read reading) (news []entry) {
	knownTo := t.next
	for _, said := range read.records {
		offset := said.record.Offset
		before, found := t.entries[said.record.Key]
		if offset < before.record.Offset || !found && offset < knownTo {
			continue
		}
		next := entry{said: said, changed: offset}
		same := next.same(before.said)
		if same && read.raw {
			next.changed = before.changed // no record between the two said otherwise
		}
		t.put(next)
		if !same {
			news = append(news, next)
		}
	}
	if read.whole && read.next >= knownTo {
		news = append(news, t.forgetOthers(read)...)
		t.floor = read.next
	}
	t.next = max(t.next, read.next)
	t.forgetGone()
	return news
}

// forgetOthers marks the keys as gone that a whole reading does not name, and gives those
// that were not gone before. All are gone as of the reading, so that no older word brings
// one back. What another box handed over before the first reading counts less than that.
func (t *tail) forgetOthers(read reading) (gone []entry) {
	named := make(map[string]bool, len(read.records))
	for _, said := range read.records {
		named[said.record.Key] = true
	}
	first := t.next < 0
	for key, known := range t.entries {
		last := read.next - 1
		if first {
			last = max(last, known.record.Offset)
		}
		if named[key] || known.record.Offset > last {
			continue
		}
		next := entry{said: said{record: sharedlog.Record{Key: key, Offset: last}}, changed: last}
		t.put(next)
		if len(known.record.Value) > 0 {
			gone = append(gone, next)
		}
	}
	return gone
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
