package configlog

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/logservice"

	"github.com/ansel1/merry/v2"
)

// ErrNoCheckpoint means that records before the earliest one stored have expired and that no
// checkpoint in the log replaces them.
var ErrNoCheckpoint = merry.Sentinel("the log holds neither the whole stream nor a usable checkpoint")

// Reader reads the configuration stream and applies its records. It is not safe for concurrent
// use.
type Reader struct {
	log   logservice.Log
	state State
	// hasState is false until the state was derived from the beginning of the stream, from a
	// checkpoint, or from a snapshot of a peer.
	hasState bool
	next     int64
	// pending holds the records read before a usable checkpoint.
	pending []logservice.Record
}

// NewReader creates a reader without a state.
func NewReader(log logservice.Log) *Reader { return &Reader{log: log, state: EmptyState()} }

// State returns the state, and whether further records can be applied to it: not before the
// first read, and not after records expired unread until a checkpoint or snapshot replaces the
// state.
func (r *Reader) State() (State, bool) { return r.state, r.hasState }

// ApplySnapshot replaces the state with that of a peer if the peer's is valid and newer, and
// reports whether it did. The version never decreases, not even while this reader has missed
// expired records and waits for a checkpoint.
func (r *Reader) ApplySnapshot(state State) bool {
	if !state.Valid() || state.Version < r.state.Version {
		return false
	}
	if r.hasState && state.ReadTo <= r.state.ReadTo {
		return false
	}
	r.state, r.hasState = state, true
	r.next = state.ReadTo + 1
	r.pending = nil
	return true
}

// Event is the result of applying one record. Checkpoints are skipped.
type Event struct {
	Offset  int64
	Verdict Verdict
	Record  Record
}

// Poll reads new records, waits up to wait for the first one, and applies them. It reports
// whether it has reached the end of the stream.
func (r *Reader) Poll(ctx context.Context, wait time.Duration, each func(Event)) (atEnd bool, err error) {
	page, err := r.log.Read(ctx, Stream, logservice.ReadOptions{From: r.next, Wait: wait})
	if expired, ok := errors.AsType[*logservice.ExpiredError](err); ok {
		r.restartAt(expired.Earliest)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if page.Next < r.next {
		// The log is shorter than the part already read. It is not the log that the state was
		// derived from, so none of its records can be used.
		return false, ErrNoCheckpoint
	}
	if !r.hasState && r.next == 0 {
		r.hasState = true
	}
	for _, record := range page.Records {
		r.next = record.Offset + 1
		r.ingest(record, each)
	}
	atEnd = r.next >= page.Next
	if atEnd && !r.hasState {
		return true, ErrNoCheckpoint
	}
	return atEnd, nil
}

// restartAt continues at the earliest stored record. The state stays in force until a
// checkpoint provides a newer one, but no record can be applied to it, since this reader has
// missed the changes between it and the earliest stored record.
func (r *Reader) restartAt(earliest int64) {
	r.next = earliest
	r.pending = nil
	r.hasState = false
}

func (r *Reader) ingest(record logservice.Record, each func(Event)) {
	if r.hasState {
		r.fold(record, each)
		return
	}
	r.pending = append(r.pending, record)
	checkpoint, err := Decode(record.Data)
	if err != nil || checkpoint.Kind != KindCheckpoint {
		return
	}
	// The checkpoint is usable only if every record after its "as of" offset is pending: one as
	// of 7 needs the first pending record to be record 8 or an earlier one.
	if checkpoint.AsOf+1 < r.pending[0].Offset {
		return
	}
	state, valid := checkpoint.CheckpointState()
	if !valid || state.Version < r.state.Version {
		return
	}
	r.state, r.hasState = state, true
	pending := r.pending
	r.pending = nil
	for _, waiting := range pending {
		r.fold(waiting, each)
	}
}

func (r *Reader) fold(record logservice.Record, each func(Event)) {
	if record.Offset <= r.state.ReadTo {
		return
	}
	state, verdict := Fold(r.state, record.Offset, record.Data)
	r.state = state
	if each == nil {
		return
	}
	decoded, err := Decode(record.Data)
	if err != nil {
		decoded = Record{}
	}
	each(Event{Offset: record.Offset, Verdict: verdict, Record: decoded})
}

// CatchUp polls until the end of the stream.
func (r *Reader) CatchUp(ctx context.Context) error {
	for {
		atEnd, err := r.Poll(ctx, 0, nil)
		if err != nil || atEnd {
			return err
		}
	}
}
