package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/logservice"
)

// ConflictError says that another change came first.
type ConflictError struct {
	// Version is the version that beat this one.
	Version int64
	// ApplyID is the apply that made it, as far as it is known.
	ApplyID string
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if e.ApplyID == "" {
		return fmt.Sprintf("version %d is in force, which is not the one that was planned against", e.Version)
	}
	return fmt.Sprintf("another change came first: version %d by apply %s is in force", e.Version, e.ApplyID)
}

// ErrOutcomeUnknown says that the log gave no answer and that the change was not
// found in it yet: it may still appear.
var ErrOutcomeUnknown = merry.Sentinel("the log service gave no answer; whether the change will take effect is unknown")

// ErrNoChange says that the file says what is already in force.
var ErrNoChange = merry.Sentinel("the file says what is in force already")

// ApplyConfig sets up one Apply.
type ApplyConfig struct {
	Log logservice.Log
	// ApplyID names this apply; it must be new.
	ApplyID string
	// BaseVersion, when set, is the version that the operator planned against; any
	// other version in force is refused.
	BaseVersion *int64
	// ReadBackTimeout is how long to look for a change whose append got no answer.
	ReadBackTimeout time.Duration
}

// Apply puts a whole file into force and gives its version. "Accepted" is said
// only after the record was read back from the log, in order.
func Apply(ctx context.Context, cfg ApplyConfig, file *config.File) (int64, error) {
	reader := NewReader(cfg.Log)
	if err := reader.CatchUp(ctx); err != nil {
		return 0, merry.Prepend(err, "read the version in force")
	}
	state, _ := reader.State()
	if cfg.BaseVersion != nil && *cfg.BaseVersion != state.Version {
		return 0, &ConflictError{Version: state.Version}
	}
	record, err := newChangeRecord(state, file, cfg.ApplyID)
	if err != nil {
		return 0, err
	}
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	if _, err := cfg.Log.Append(ctx, Stream, data); err != nil && !errors.Is(err, logservice.ErrAmbiguous) {
		return 0, merry.Prepend(err, "append the change")
	}
	return readBack(ctx, cfg, reader)
}

func newChangeRecord(state State, file *config.File, applyID string) (Record, error) {
	target, err := file.Entries()
	if err != nil {
		return Record{}, err
	}
	change := state.Entries.Diff(target)
	if change.Empty() {
		return Record{}, ErrNoChange
	}
	return Record{Kind: KindChange, ApplyID: applyID, BaseVersion: state.Version, Change: change, Digest: target.Digest()}, nil
}

// readBack reads on from the state the change was made against until the fold
// meets it, or a change that beats it. An append without an answer is looked for
// but never sent again: it may be in the log already, or still on its way.
func readBack(ctx context.Context, cfg ApplyConfig, reader *Reader) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.ReadBackTimeout)
	defer cancel()
	search := &applySearch{applyID: cfg.ApplyID}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		if _, err := reader.Poll(ctx, pollWait, search.observe); err != nil {
			return struct{}{}, err
		}
		if search.verdict == 0 {
			return struct{}{}, ErrOutcomeUnknown
		}
		return struct{}{}, nil
	}, backoff.WithBackOff(backoff.NewConstantBackOff(pollDelay)), backoff.WithMaxElapsedTime(cfg.ReadBackTimeout))
	if err != nil {
		return 0, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessage(err.Error()))
	}
	return search.result()
}

// Pace of looking for a change in the log.
const (
	pollWait  = 100 * time.Millisecond
	pollDelay = 50 * time.Millisecond
)

// search looks for one apply among the records of the stream.
type applySearch struct {
	applyID string
	verdict Verdict
	offset  int64
	// winner is the first other change accepted before the verdict.
	winner ConflictError
}

func (s *applySearch) observe(event Event) {
	switch {
	case s.verdict != 0 || event.Record.Kind == KindCheckpoint:
	case event.Record.ApplyID == s.applyID:
		s.verdict, s.offset = event.Verdict, event.Offset
	case event.Verdict == Accepted && s.winner.ApplyID == "":
		s.winner = ConflictError{Version: event.Offset, ApplyID: event.Record.ApplyID}
	}
}

func (s *applySearch) result() (int64, error) {
	switch s.verdict {
	case Accepted:
		return s.offset, nil
	case Conflict:
		return 0, &s.winner
	default:
		return 0, merry.Errorf("the log holds the change in a damaged form, at offset %d", s.offset)
	}
}

// AppendCheckpoint writes a checkpoint of a state. Two processes may write the
// same one: a reader takes either.
func AppendCheckpoint(ctx context.Context, log logservice.Log, state State) error {
	data, err := state.Checkpoint().Encode()
	if err != nil {
		return err
	}
	if len(data) > logservice.MaxRecordBytes {
		return merry.Errorf("a checkpoint of %d bytes does not fit a record", len(data))
	}
	_, err = log.Append(ctx, Stream, data)
	return err
}
