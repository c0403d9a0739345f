package configlog

import (
	"fmt"

	"github.com/cometlock/cometlock/internal/config"
)

// State is the result of applying the stream's records up to an offset. It is a value: Fold
// returns a new one.
type State struct {
	// Version is the offset of the change in force; config.NoVersion before the first change.
	Version int64 `msgpack:"v"`
	// ReadTo is the offset of the last applied record; -1 before the first one.
	ReadTo int64 `msgpack:"r"`
	// Digest is the digest of Entries.
	Digest config.Digest `msgpack:"d"`
	// Entries is the content in force.
	Entries config.Entries `msgpack:"e"`
}

// EmptyState returns the state before the first record of the stream.
func EmptyState() State {
	return State{Version: config.NoVersion, ReadTo: -1, Digest: config.Entries{}.Digest()}
}

// Verdict is the result of applying a record.
type Verdict uint8

const (
	// Accepted means that the change is now in force.
	Accepted Verdict = iota + 1
	// Conflict means that another change came first; the record has no effect.
	Conflict
	// Corrupt means that the record cannot be decoded, or that its change does not result in
	// its digest; it has no effect.
	Corrupt
	// Skipped means that the record was already applied or is a checkpoint.
	Skipped
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Conflict:
		return "beaten"
	case Corrupt:
		return "corrupt"
	case Skipped:
		return "skipped"
	default:
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
}

// Fold returns the state after the record at an offset. It is a pure function: every process
// must reach the same result, so the result depends only on the arguments.
func Fold(state State, offset int64, data []byte) (State, Verdict) {
	if offset <= state.ReadTo {
		return state, Skipped
	}
	state.ReadTo = offset
	record, err := Decode(data)
	if err != nil {
		return state, Corrupt
	}
	if record.Kind == KindCheckpoint {
		return state, Skipped
	}
	if record.BaseVersion != state.Version {
		return state, Conflict
	}
	entries := state.Entries.Apply(record.Change)
	digest := entries.Digest()
	if digest != record.Digest {
		return state, Corrupt
	}
	return State{Version: offset, ReadTo: offset, Digest: digest, Entries: entries}, Accepted
}

// CheckpointState returns the state in a checkpoint, and false if its content does not match
// its digest.
func (r Record) CheckpointState() (State, bool) {
	if r.Kind != KindCheckpoint || r.Entries.Digest() != r.Digest {
		return State{}, false
	}
	return State{Version: r.Version, ReadTo: r.AsOf, Digest: r.Digest, Entries: r.Entries}, true
}

// Checkpoint returns a checkpoint of the state.
func (s State) Checkpoint() Record {
	return Record{Kind: KindCheckpoint, Version: s.Version, AsOf: s.ReadTo, Digest: s.Digest, Entries: s.Entries}
}

// Valid reports whether the content matches its digest. It is checked for every state that
// another process sends.
func (s State) Valid() bool { return s.Entries.Digest() == s.Digest }
