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
type location struct {
	offsets []int64
	// at is the log's time of the last part.
	appendedAt time.Time
}

func (p location) last() int64 { return p.offsets[len(p.offsets)-1] }

func (p location) isSet() bool { return len(p.offsets) > 0 }

// entry is what the log says of one review.
type entry struct {
	meta    Meta
	request location
	// firstAccepted is the offset of the original accepted record.
	acceptedOffset int64
	// end is how the review ended; zero while it has not.
	endKind Kind
	// endedFirst is the offset of the original record of the end, endedAt its
	// time, and ended where its content lies.
	endOffset int64
	endedAt   time.Time
	result    location
	deleted   bool
	deletion  location
}

func (e *entry) status() Status {
	switch e.endKind {
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
func (e *entry) waiting() bool { return e.endKind == 0 && !e.deleted && e.request.isSet() }

// fold is the state of the stream. It depends on nothing but the log.
type reviewTable struct {
	reviews map[string]*entry
	// parts collects contents of which not all parts have come.
	partials map[uuid.UUID]partial
}

// partial is a content of which not all parts have come.
type partial struct {
	offsets    []int64
	appendedAt time.Time
}

// maxPartAge is the time, by the log, after which the rest of a content is no
// longer expected: its sender has died. Should it come all the same, the content
// is not whole, as if its beginning had expired, and nobody was told otherwise.
const maxPartAge = 10 * time.Minute

func newReviewTable() *reviewTable {
	return &reviewTable{reviews: map[string]*entry{}, partials: map[uuid.UUID]partial{}}
}

// apply takes over one record that the log took at an offset and time. It gives
// the review that the record completed a statement about, or nil.
func (t *reviewTable) apply(offset int64, at time.Time, data []byte) *entry {
	record, err := decode(data)
	if err != nil {
		return nil
	}
	loc, whole := t.collectParts(record, offset, at)
	if !whole {
		return nil
	}
	e := t.reviews[record.Meta.ID]
	if e == nil {
		e = &entry{meta: record.Meta}
		t.reviews[record.Meta.ID] = e
	}
	if e.meta.Organisation != record.Meta.Organisation {
		return nil // another organisation has no say in a review
	}
	first := loc.offsets[0]
	if record.CopyOf != original {
		first = record.CopyOf
	}
	t.applyStatement(e, record, loc, first)
	return e
}

// collect gives where a content lies once all its parts have come in order.
func (t *reviewTable) collectParts(record Record, offset int64, at time.Time) (location, bool) {
	if record.PartCount == 1 {
		return location{offsets: []int64{offset}, appendedAt: at}, true
	}
	t.dropStaleParts(at)
	offsets := t.partials[record.ContentID].offsets
	if len(offsets) != record.PartIndex {
		return location{}, false // a part is missing: it has expired
	}
	offsets = append(offsets, offset)
	if len(offsets) < record.PartCount {
		t.partials[record.ContentID] = partial{offsets: offsets, appendedAt: at}
		return location{}, false
	}
	delete(t.partials, record.ContentID)
	return location{offsets: offsets, appendedAt: at}, true
}

func (t *reviewTable) dropStaleParts(now time.Time) {
	for set, incomplete := range t.partials {
		if now.Sub(incomplete.appendedAt) > maxPartAge {
			delete(t.partials, set)
		}
	}
}

func (t *reviewTable) applyStatement(e *entry, record Record, loc location, first int64) {
	switch {
	case record.Kind == KindAccepted:
		t.applyAccepted(e, record, loc, first)
	case record.Kind == KindDeleted:
		e.deleted, e.deletion = true, loc
	case e.endKind == 0 || first < e.endOffset:
		// The first end counts. It may be read after a later one when only its
		// repetition is still held.
		e.endKind, e.endOffset, e.result, e.endedAt = record.Kind, first, loc, loc.appendedAt
		e.meta.Reason = record.Meta.Reason
	case first == e.endOffset:
		e.result = loc
	}
}

// accept takes over an accepted record. Of two different requests under the
// same name the first counts.
func (t *reviewTable) applyAccepted(e *entry, record Record, loc location, first int64) {
	if !e.request.isSet() || first < e.acceptedOffset {
		e.meta, e.acceptedOffset, e.request = record.Meta, first, loc
		return
	}
	if first == e.acceptedOffset || record.Meta.Digest == e.meta.Digest {
		e.request = loc
	}
}

// forgettable reports whether nothing of a review is needed any more at a time:
// it ended longer ago than answers are kept, and no record is held that would
// make a new box take it for one that waits.
func (e *entry) evictable(now time.Time, keepAnswers, retention time.Duration) bool {
	if e.waiting() {
		return false
	}
	if e.request.isSet() && now.Sub(e.request.appendedAt) < retention {
		return false
	}
	return e.deleted || now.Sub(e.endedAt) > keepAnswers
}

// due reports which content of a review must be appended again, so that it
// outlives the log's retention. A statement that ends a review must also lie
// behind every record that accepts it: a new box may find only the later one.
func (e *entry) reappendKind(now time.Time, retention time.Duration) Kind {
	old := func(p location) bool { return now.Sub(p.appendedAt) > retention/2 }
	switch {
	case e.waiting():
		if old(e.request) {
			return KindAccepted
		}
	case e.deleted:
		if old(e.deletion) || (e.request.isSet() && e.request.last() > e.deletion.last()) {
			return KindDeleted
		}
	case e.endKind.isEnd():
		if old(e.result) || (e.request.isSet() && e.request.last() > e.result.last()) {
			return e.endKind
		}
	}
	return 0
}
