// Words between boxes: what one box has read of the log, for those that follow it. To
// read the log has a price for each call, so in a zone one box reads and the others are
// told. A word says how old its knowledge is, counted by the box that read, and the
// receiver counts that from before it asked; however long the word was on its way, it
// never counts as newer than it is. A box reads for itself as soon as what it was told is
// too old, so what the platform asks for in time does not rest on the box that tells.

package registry

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Word is what a box knows of a stream.
type StreamUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Stream sharedlog.Stream `msgpack:"s"`
	// Whole says that Records holds the newest record of all keys rather than what was
	// added.
	Full    bool               `msgpack:"w,omitempty"`
	Records []sharedlog.Record `msgpack:"r,omitempty"`
	// Next is the offset after all that is known.
	Next int64 `msgpack:"n"`
	// Age is how long ago all records were known; Unread says that they never were.
	Age       time.Duration `msgpack:"a"`
	NeverRead bool          `msgpack:"u,omitempty"`
	// Digest shows whether two boxes that know as much know the same; see digest.go. It goes
	// beside the word, since boxes of another version read only words with as many fields.
	Digest uint64 `msgpack:"-"`
}

// How old what another box told may be before a box reads for itself. The box that tells
// reads the servers' stream each 0.6 s and the operators' stream in reads that are held for
// up to 0.8 s, and is asked each 0.4 s, so words are 1.0 s and 1.2 s old at most as long as
// all is well. A leaving server must get nothing new after 2 s, and a configuration be in
// force by then: what is left is for a read on a connection that has gone silent
// (urgentLimit), the pause after it, and the read that brings the answer.
const (
	serversToldFor  = 1300 * time.Millisecond
	operatorToldFor = 1400 * time.Millisecond
	// boxesToldFor is more than the time for which a read of that stream is held, with its
	// answer and its pause.
	boxesToldFor = 30 * time.Second
)

// toldFor gives how old a word on a stream may be.
func toldFor(stream sharedlog.Stream) time.Duration {
	switch stream {
	case sharedlog.Servers:
		return serversToldFor
	case sharedlog.Boxes:
		return boxesToldFor
	default:
		return operatorToldFor
	}
}

// Followed lists the streams that boxes tell each other of.
func ForwardedStreams() []sharedlog.Stream {
	return []sharedlog.Stream{sharedlog.Operator, sharedlog.Servers, sharedlog.Boxes}
}

// Position gives the offset after all that this box knows of a stream.
func (r *Registry) Position(stream sharedlog.Stream) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail(stream).next
}

// WordSince gives what this box knows of a stream past an offset, and whether that is
// anything new.
func (r *Registry) UpdateSince(stream sharedlog.Stream, from int64) (word StreamUpdate, news bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(stream)
	word = StreamUpdate{Stream: stream, Next: t.next, Age: boottime.Since(t.readAt), NeverRead: t.readAt.IsZero(), Digest: t.digest()}
	switch {
	case t.next < 0 || from >= t.next:
		return word, false
	case from < 0 || from < t.floor:
		word.Full, word.Records = true, t.records()
		return word, true
	}
	for _, known := range t.entries {
		if known.changed >= from {
			word.Records = append(word.Records, known.record)
		}
	}
	return word, len(word.Records) > 0
}

// TakeWord takes over what another box knew at asOf, or later. It reports whether that is
// recent enough to go by.
func (r *Registry) ApplyUpdate(word StreamUpdate, asOf time.Time) bool {
	if word.NeverRead || word.Next < 0 {
		return false
	}
	readAt := asOf.Add(-word.Age)
	fresh := boottime.Since(readAt) < toldFor(word.Stream)
	if fresh {
		r.noteBack(word.Stream, word.Next)
	}
	if word.Full || len(word.Records) > 0 {
		r.logWord(word)
		r.take(word.Stream, word.Records, reading{next: word.Next, whole: word.Full})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tail(word.Stream)
	if word.Next < t.next {
		return fresh // this box knew more already, and when
	}
	t.next = word.Next
	r.knownUpTo(word.Stream, readAt)
	t.toldUntil = readAt.Add(toldFor(word.Stream))
	r.noteCompared(t, word)
	return fresh
}

// logWord tells what a word brings: all that is known, or what was added since the offset
// that this box knew.
func (r *Registry) logWord(word StreamUpdate) {
	r.cfg.Logger.Info().Stringer("stream", word.Stream).Bool("whole", word.Full).Int("records", len(word.Records)).
		Int64("from", r.Position(word.Stream)).Int64("offset", word.Next).Dur("age", word.Age).Msg("told")
}

// noteCompared has this box read the stream whole when another one that knows as much knows
// otherwise, and tells of it and of its end. A teller that stays wrong causes one such
// reading. The caller holds mu.
func (r *Registry) noteCompared(t *tail, word StreamUpdate) {
	asFar, differs := t.compare(word)
	if !asFar || differs == t.differs {
		return
	}
	t.differs = differs
	if !differs {
		r.cfg.Logger.Info().Stringer("stream", word.Stream).Int64("offset", word.Next).Msg("view_agrees")
		return
	}
	r.cfg.Logger.Warn().Stringer("stream", word.Stream).Int64("offset", word.Next).Msg("view_differs")
	t.reread, t.toldUntil = true, time.Time{}
	r.readItself.Send()
}

// Told reports whether this box goes by what another one reads of the operators' stream.
func (r *Registry) UsesReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return boottime.Now().Before(r.tail(sharedlog.Operator).toldUntil)
}

// Lost reports whether this box cannot read the operators' stream.
func (r *Registry) LogLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[sharedlog.Operator]
}

// ReadItself has this box read the log for itself from now on, until it is told anew.
func (r *Registry) ReadDirectly() {
	r.mu.Lock()
	r.reads = true
	for _, t := range r.tails {
		t.toldUntil = time.Time{}
	}
	r.mu.Unlock()
	r.readItself.Send()
}

// waitWhileTold waits while what another box told of a stream counts, and reports whether
// there was any such time.
func (r *Registry) waitWhileTold(ctx context.Context, stream sharedlog.Stream) (waited bool) {
	for ctx.Err() == nil {
		wake := r.readItself.Wait()
		r.mu.Lock()
		left := boottime.Until(r.tail(stream).toldUntil)
		r.mu.Unlock()
		if left <= 0 {
			return waited
		}
		waited = true
		waiting.ForOr(ctx, left, wake)
	}
	return waited
}
