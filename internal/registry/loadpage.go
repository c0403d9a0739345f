// Full views in pages: a follower that knows nothing of a stream, or too little for the changes
// since then, gets the newest record of every key in pages of bounded size. The view of 10,000
// servers takes 2.5 MB, and a box with a link of 20 Mbit/s needs more than a second to receive it,
// while a request to a reader times out sooner than that.
//
// The pages list the entries in the order of their changes. An entry that changes in the meantime
// moves to the end and is sent again, so the pages together are the reader's view at the last one.

package registry

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

// LoadCursor is the position of a follower in the pages of a reader's view. The zero value begins a
// load.
type LoadCursor struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	// Start is the end of the stream at the first page.
	Start int64 `msgpack:"s"`
	// Floor is the offset from which the reader knew all changes at the first page. It increases
	// when the reader forgets deleted keys, and then the load begins again.
	Floor int64 `msgpack:"f"`
	// Offset and Key are the last change in the pages so far.
	Offset int64  `msgpack:"o"`
	Key    string `msgpack:"k"`
	// Begun is set after the first page.
	Begun bool `msgpack:"b"`
}

// LoadPage is one page of a reader's view.
type LoadPage struct {
	// Update has the records of the page. Its other fields are those of the view.
	Update StreamUpdate
	// Next is the cursor for the next page, and Restarted means that the pages before this one are
	// void.
	Next      LoadCursor
	Restarted bool
	// More means that this is not the last page.
	More bool
}

// LoadPage returns the page of this box's view of a stream at a cursor, with about maxBytes of
// records.
func (r *Registry) LoadPage(stream sharedlog.Stream, cursor LoadCursor, maxBytes int) LoadPage {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	page := LoadPage{Update: s.view(stream)}
	page.Update.Full = true
	if !cursor.Begun || cursor.Floor != s.deltaFloor {
		page.Restarted = true
		cursor = LoadCursor{Start: s.next, Floor: s.deltaFloor, Begun: true, Offset: -1}
	}
	page.Next = cursor
	bytes := 0
	for known := range s.changedSince(change{cursor.Offset, cursor.Key}) {
		position := change{known.changed, known.record.Key}
		if position == (change{cursor.Offset, cursor.Key}) || known.isDeleted() && known.changed < cursor.Start {
			continue // it was on an earlier page, or was deleted before the load began
		}
		if position.offset >= s.next {
			// A full read returned it early. Other changes before it may follow, so the cursor stays.
			page.Update.Records = append(page.Update.Records, known.record)
			continue
		}
		if bytes >= maxBytes {
			page.More = true
			break
		}
		bytes += len(known.record.Key) + len(known.record.Value)
		page.Update.Records = append(page.Update.Records, known.record)
		page.Next.Offset, page.Next.Key = position.offset, position.key
	}
	return page
}

// NeedsLoad reports whether the changes since an offset are not enough for a follower there.
func (r *Registry) NeedsLoad(stream sharedlog.Stream, from int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(stream)
	return s.next >= 0 && from < s.next && (from < 0 || from < s.deltaFloor)
}

const (
	// maxReaderWait bounds the time for which a box waits for a reader that has begun to send a
	// view, or is still reading it, before it reads the log itself. If all boxes of a large fleet
	// that start together read the log, each of them takes longer than that.
	maxReaderWait = 5 * time.Second
	// readerWaitStep is how long each sign of progress postpones the direct read.
	readerWaitStep = 800 * time.Millisecond
)

// AwaitReader postpones the first direct read of a stream, since the reader of this box makes progress
// but has no complete view for it yet. A box that has a view serves calls by it, so it reads the log
// as soon as that view is too old.
func (r *Registry) AwaitReader(stream sharedlog.Stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, now := r.state(stream), boottime.Now()
	if s.next >= 0 {
		return
	}
	if s.awaitedSince.IsZero() {
		s.awaitedSince = now
		r.cfg.Logger.Info().Stringer("stream", stream).Dur("longest", maxReaderWait).Msg("reader_awaited")
	}
	if until := now.Add(readerWaitStep); now.Sub(s.awaitedSince) < maxReaderWait && until.After(s.validUntil) {
		s.validUntil = until
	}
}
