package review

import (
	"time"

	"github.com/google/uuid"
)

// Status is the status of a review, with the values of the OpenAI protocol.
type Status string

// Values of Status.
const (
	StatusQueued    Status = "queued"
	StatusRunning   Status = "in_progress"
	StatusCompleted Status = "completed"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
)

// location lists the records of the log that contain a whole content.
type location struct {
	offsets []int64
	// appendedAt is the log's timestamp of the last part.
	appendedAt time.Time
}

func (p location) last() int64 { return p.offsets[len(p.offsets)-1] }

func (p location) isSet() bool { return len(p.offsets) > 0 }

// entry is the state of one review according to the log.
type entry struct {
	meta    Meta
	request location
	// acceptedOffset is the offset of the original accepted record, request the location of its
	// content or of the newest copy.
	acceptedOffset int64
	// endKind is the kind of the record that ended the review; zero until then.
	endKind Kind
	// endOffset is the offset of the original record that ended the review, endedAt the log's
	// timestamp of the one that was read, and result the location of its content or of the
	// newest copy.
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

// waiting reports whether the review still has to run.
func (e *entry) waiting() bool { return e.endKind == 0 && !e.deleted && e.request.isSet() }

// reviewTable is the state of the stream: the result of applying its records in order. It
// depends only on the log.
type reviewTable struct {
	reviews map[string]*entry
	// partials holds the contents of which only some parts have been read.
	partials map[uuid.UUID]partial
}

// partial is a content of which only some parts have been read.
type partial struct {
	offsets    []int64
	appendedAt time.Time
}

// maxPartAge is the time between parts, by the log's timestamps, after which the rest of a
// content is no longer expected because its sender has crashed. If the rest is appended later
// all the same, the content is incomplete, as if its first parts had expired; its sender has
// not confirmed it to any caller.
const maxPartAge = 10 * time.Minute

func newReviewTable() *reviewTable {
	return &reviewTable{reviews: map[string]*entry{}, partials: map[uuid.UUID]partial{}}
}

// apply applies the record that the log stored at an offset and time. It returns the review
// that the record completed a change of, or nil.
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
		return nil // a review can be changed only by its own organisation
	}
	originalOffset := loc.offsets[0]
	if record.CopyOf != original {
		originalOffset = record.CopyOf
	}
	t.applyStatement(e, record, loc, originalOffset)
	return e
}

// collectParts returns the location of a content once all its parts have been read in order.
func (t *reviewTable) collectParts(record Record, offset int64, at time.Time) (location, bool) {
	if record.PartCount == 1 {
		return location{offsets: []int64{offset}, appendedAt: at}, true
	}
	t.dropStaleParts(at)
	offsets := t.partials[record.ContentID].offsets
	if len(offsets) != record.PartIndex {
		return location{}, false // an earlier part has expired
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
	for contentID, incomplete := range t.partials {
		if now.Sub(incomplete.appendedAt) > maxPartAge {
			delete(t.partials, contentID)
		}
	}
}

func (t *reviewTable) applyStatement(e *entry, record Record, loc location, originalOffset int64) {
	switch {
	case record.Kind == KindAccepted:
		t.applyAccepted(e, record, loc, originalOffset)
	case record.Kind == KindDeleted:
		e.deleted, e.deletion = true, loc
	case e.endKind == 0 || originalOffset < e.endOffset:
		// The first end in log order is in force. It may be read after a later one if only its
		// copy is still stored.
		e.endKind, e.endOffset, e.result, e.endedAt = record.Kind, originalOffset, loc, loc.appendedAt
		e.meta.Reason = record.Meta.Reason
	case originalOffset == e.endOffset:
		e.result = loc
	}
}

// applyAccepted applies an accepted record. Of two different requests with the same ID, the
// first is in force.
func (t *reviewTable) applyAccepted(e *entry, record Record, loc location, originalOffset int64) {
	if !e.request.isSet() || originalOffset < e.acceptedOffset {
		e.meta, e.acceptedOffset, e.request = record.Meta, originalOffset, loc
		return
	}
	if originalOffset == e.acceptedOffset || record.Meta.Digest == e.meta.Digest {
		e.request = loc
	}
}

// evictable reports whether a review can be removed from memory: the retention of its result
// has passed, and the log no longer stores an accepted record that would make a new box
// consider it waiting.
func (e *entry) evictable(now time.Time, resultRetention, retention time.Duration) bool {
	if e.waiting() {
		return false
	}
	if e.request.isSet() && now.Sub(e.request.appendedAt) < retention {
		return false
	}
	return e.deleted || now.Sub(e.endedAt) > resultRetention
}

// reappendKind returns the kind of the record that must be appended again before the log's
// retention expires it, or zero. The record that ends a review must also come after every
// record that accepts it, since a new box may find only the later one.
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
