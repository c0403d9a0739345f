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

// ConflictError means that another change came first.
type ConflictError struct {
	// Version is the version in force.
	Version int64
	// ApplyID identifies the apply operation that created Version; empty if unknown.
	ApplyID string
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	if e.ApplyID == "" {
		return fmt.Sprintf("version %d is in force, which is not the one that was planned against", e.Version)
	}
	return fmt.Sprintf("another change came first: version %d by apply %s is in force", e.Version, e.ApplyID)
}

// ErrOutcomeUnknown means that the change was not read back from the log in time: it may still
// appear.
var ErrOutcomeUnknown = merry.Sentinel("the log service gave no answer; whether the change will take effect is unknown")

// ErrNoChange means that the file equals the configuration in force.
var ErrNoChange = merry.Sentinel("the file equals the configuration in force")

// ApplyConfig configures one Apply.
type ApplyConfig struct {
	Log logservice.Log
	// ApplyID identifies this apply operation; it must be unique.
	ApplyID string
	// BaseVersion, if set, is the version that the operator's plan is based on; if another
	// version is in force, Apply fails.
	BaseVersion *int64
	// ReadBackTimeout bounds the time to read the change back from the log after its append.
	ReadBackTimeout time.Duration
}

// Apply makes a whole file the configuration in force and returns its version. It reports
// success only after the record was read back from the log, in order.
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

// readBack reads the log from the state that the change was based on until the change or one
// that conflicts with it was applied. An append without a response is never retried: its record
// may already be in the log, or may still arrive.
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

// Wait of each read, and delay between two reads, while a change is read back.
const (
	pollWait  = 100 * time.Millisecond
	pollDelay = 50 * time.Millisecond
)

// applySearch searches the records of the stream for one apply operation.
type applySearch struct {
	applyID string
	verdict Verdict
	offset  int64
	// winner is the first other change that was accepted before the verdict.
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
		return 0, merry.Errorf("the record of the change at offset %d of the log is corrupt", s.offset)
	}
}

// AppendCheckpoint appends a checkpoint of a state. If two processes append the same one,
// readers can use either.
func AppendCheckpoint(ctx context.Context, log logservice.Log, state State) error {
	data, err := state.Checkpoint().Encode()
	if err != nil {
		return err
	}
	if len(data) > logservice.MaxRecordBytes {
		return merry.Errorf("a checkpoint of %d bytes does not fit into a record", len(data))
	}
	_, err = log.Append(ctx, Stream, data)
	return err
}
