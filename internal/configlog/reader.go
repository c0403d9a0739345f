package configlog

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/logservice"

	"github.com/ansel1/merry/v2"
)

// ErrNoCheckpoint says that records before the earliest held one are missing
// and that no checkpoint in the log makes up for them.
var ErrNoCheckpoint = merry.Sentinel("the log holds neither the whole stream nor a usable checkpoint")

// Reader follows the configuration stream. It is not safe for concurrent use.
type Reader struct {
	log   logservice.Log
	state State
	// known is false until the state is the fold of the stream from its
	// beginning, of a checkpoint, or of what a peer sent.
	hasState bool
	// next is the offset to read next.
	next int64
	// pending holds the records that wait for a checkpoint to build on.
	pending []logservice.Record
}

// NewReader makes a reader that knows nothing yet.
func NewReader(log logservice.Log) *Reader { return &Reader{log: log, state: EmptyState()} }

// State gives the folded state and whether it is known yet.
func (r *Reader) State() (State, bool) { return r.state, r.hasState }

// ApplySnapshot takes over the state of a peer if it is whole and newer, and reports
// whether it did. A version never goes back, also while this reader has lost
// the thread of the log and is waiting for a checkpoint.
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

// Event is what the fold made of one record; checkpoints are skipped ones.
type Event struct {
	Offset  int64
	Verdict Verdict
	Record  Record
}

// Poll reads what is new, waiting up to wait for a first record, and folds it.
// It reports whether it has reached the end of the stream.
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
		// The log is shorter than what was read of it: this is not the log
		// that the state came from, and nothing in it can be trusted.
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

// restart begins again at the earliest held record. What was known stays in
// force until a checkpoint gives something newer, but it can no longer be built
// upon: changes between it and the earliest held record are lost to this reader.
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
	// The checkpoint serves only if every record after its "as of" is here:
	// as of 7 needs record 8 to be the first of the pending ones, or later.
	if checkpoint.AsOf+1 < r.pending[0].Offset {
		return
	}
	state, whole := checkpoint.CheckpointState()
	if !whole || state.Version < r.state.Version {
		return
	}
	r.state, r.hasState = state, true
	pending := r.pending
	r.pending = nil
	for _, held := range pending {
		r.fold(held, each)
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

// CatchUp polls to the end of the stream.
func (r *Reader) CatchUp(ctx context.Context) error {
	for {
		atEnd, err := r.Poll(ctx, 0, nil)
		if err != nil || atEnd {
			return err
		}
	}
}
