package review

import (
	"time"

	"github.com/google/uuid"
)

// Status is where a review stands, in the words of the OpenAI protocol.
type Status string

// The statuses of a review.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "in_progress"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// place is where a whole content lies in the log.
type place struct {
	offsets []int64
	// at is the log's time of the last part.
	at time.Time
}

func (p place) last() int64 { return p.offsets[len(p.offsets)-1] }

func (p place) known() bool { return len(p.offsets) > 0 }

// entry is what the log says of one review.
type entry struct {
	meta     Meta
	accepted place
	// firstAccepted is the offset of the original accepted record.
	firstAccepted int64
	// end is how the review ended; zero while it has not.
	end Kind
	// endedFirst is the offset of the original record of the end, endedAt its
	// time, and ended where its content lies.
	endedFirst int64
	endedAt    time.Time
	ended      place
	deleted    bool
	deletedAt  place
}

func (e *entry) status() Status {
	switch e.end {
	case KindCompleted:
		return StatusCompleted
	case KindFailed:
		return StatusFailed
	case KindCancelled:
		return StatusCancelled
	default:
		return StatusQueued
	}
}

// waiting reports whether the review still has to be run.
func (e *entry) waiting() bool { return e.end == 0 && !e.deleted && e.accepted.known() }

// fold is the state of the stream. It depends on nothing but the log.
type fold struct {
	reviews map[string]*entry
	// parts collects contents of which not all parts have come.
	parts map[uuid.UUID]partial
}

// partial is a content of which not all parts have come.
type partial struct {
	offsets []int64
	at      time.Time
}

// maxPartAge is the time, by the log, after which the rest of a content is no
// longer expected: its sender has died. Should it come all the same, the content
// is not whole, as if its beginning had expired, and nobody was told otherwise.
const maxPartAge = 10 * time.Minute

func newFold() *fold {
	return &fold{reviews: map[string]*entry{}, parts: map[uuid.UUID]partial{}}
}

// apply takes over one record that the log took at an offset and time. It gives
// the review that the record completed a statement about, or nil.
func (f *fold) apply(offset int64, at time.Time, data []byte) *entry {
	record, err := decode(data)
	if err != nil {
		return nil
	}
	lies, whole := f.collect(record, offset, at)
	if !whole {
		return nil
	}
	e := f.reviews[record.Meta.ID]
	if e == nil {
		e = &entry{meta: record.Meta}
		f.reviews[record.Meta.ID] = e
	}
	if e.meta.Organisation != record.Meta.Organisation {
		return nil // another organisation has no say in a review
	}
	first := lies.offsets[0]
	if record.CopyOf != original {
		first = record.CopyOf
	}
	f.state(e, record, lies, first)
	return e
}

// collect gives where a content lies once all its parts have come in order.
func (f *fold) collect(record Record, offset int64, at time.Time) (place, bool) {
	if record.PartCount == 1 {
		return place{offsets: []int64{offset}, at: at}, true
	}
	f.dropOldParts(at)
	offsets := f.parts[record.ContentID].offsets
	if len(offsets) != record.PartIndex {
		return place{}, false // a part is missing: it has expired
	}
	offsets = append(offsets, offset)
	if len(offsets) < record.PartCount {
		f.parts[record.ContentID] = partial{offsets: offsets, at: at}
		return place{}, false
	}
	delete(f.parts, record.ContentID)
	return place{offsets: offsets, at: at}, true
}

func (f *fold) dropOldParts(now time.Time) {
	for set, begun := range f.parts {
		if now.Sub(begun.at) > maxPartAge {
			delete(f.parts, set)
		}
	}
}

func (f *fold) state(e *entry, record Record, lies place, first int64) {
	switch {
	case record.Kind == KindAccepted:
		f.accept(e, record, lies, first)
	case record.Kind == KindDeleted:
		e.deleted, e.deletedAt = true, lies
	case e.end == 0 || first < e.endedFirst:
		// The first end counts. It may be read after a later one when only its
		// repetition is still held.
		e.end, e.endedFirst, e.ended, e.endedAt = record.Kind, first, lies, lies.at
		e.meta.Reason = record.Meta.Reason
	case first == e.endedFirst:
		e.ended = lies
	}
}

// accept takes over an accepted record. Of two different requests under the
// same name the first counts.
func (f *fold) accept(e *entry, record Record, lies place, first int64) {
	if !e.accepted.known() || first < e.firstAccepted {
		e.meta, e.firstAccepted, e.accepted = record.Meta, first, lies
		return
	}
	if first == e.firstAccepted || record.Meta.Digest == e.meta.Digest {
		e.accepted = lies
	}
}

// forgettable reports whether nothing of a review is needed any more at a time:
// it ended longer ago than answers are kept, and no record is held that would
// make a new box take it for one that waits.
func (e *entry) forgettable(now time.Time, keepAnswers, retention time.Duration) bool {
	if e.waiting() {
		return false
	}
	if e.accepted.known() && now.Sub(e.accepted.at) < retention {
		return false
	}
	return e.deleted || now.Sub(e.endedAt) > keepAnswers
}

// due reports which content of a review must be appended again, so that it
// outlives the log's retention. A statement that ends a review must also lie
// behind every record that accepts it: a new box may find only the later one.
func (e *entry) due(now time.Time, retention time.Duration) Kind {
	old := func(p place) bool { return now.Sub(p.at) > retention/2 }
	switch {
	case e.waiting():
		if old(e.accepted) {
			return KindAccepted
		}
	case e.deleted:
		if old(e.deletedAt) || (e.accepted.known() && e.accepted.last() > e.deletedAt.last()) {
			return KindDeleted
		}
	case e.end.ends():
		if old(e.ended) || (e.accepted.known() && e.accepted.last() > e.ended.last()) {
			return e.end
		}
	}
	return 0
}
