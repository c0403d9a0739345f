package configlog

import (
	"fmt"

	"github.com/cometlock/cometlock/internal/config"
)

// State is the result of folding the stream up to an offset. It is a value:
// folding gives a new one.
type State struct {
	// Version is the offset of the change in force; config.NoVersion at first.
	Version int64 `msgpack:"v"`
	// ReadTo is the offset of the last folded record; -1 at first.
	ReadTo int64 `msgpack:"r"`
	// Digest is the digest of Entries.
	Digest config.Digest `msgpack:"d"`
	// Entries is the content in force.
	Entries config.Entries `msgpack:"e"`
}

// EmptyState is the state before the first record of the stream.
func EmptyState() State {
	return State{Version: config.NoVersion, ReadTo: -1, Digest: config.Entries{}.Digest()}
}

// Verdict says what the fold made of a record.
type Verdict uint8

const (
	// Accepted means that the change is now in force.
	Accepted Verdict = iota + 1
	// Conflict means that another change came first; the record is void.
	Conflict
	// Corrupt means that the record does not give the digest it names, or is
	// no record at all; it is void.
	Corrupt
	// Skipped means that the record was folded before, or changes nothing.
	Skipped
)

// String names the verdict for logs.
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

// Fold gives the state after the record at an offset. It is a pure function;
// every process must come to the same result, so nothing but its arguments may
// have a say.
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

// CheckpointState gives the state that a checkpoint states, if its content is whole.
func (r Record) CheckpointState() (State, bool) {
	if r.Kind != KindCheckpoint || r.Entries.Digest() != r.Digest {
		return State{}, false
	}
	return State{Version: r.Version, ReadTo: r.AsOf, Digest: r.Digest, Entries: r.Entries}, true
}

// Checkpoint gives the record that states this state.
func (s State) Checkpoint() Record {
	return Record{Kind: KindCheckpoint, Version: s.Version, AsOf: s.ReadTo, Digest: s.Digest, Entries: s.Entries}
}

// Valid reports whether the content matches its digest, which is checked of
// every state that another process sends.
func (s State) Valid() bool { return s.Entries.Digest() == s.Digest }
