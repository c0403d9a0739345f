// Package claim enforces at-most-once execution of requests that must not be repeated, by
// idempotency keys that all entry boxes claim in a shared log.
//
// A caller that got no response retries its request, and the balancer may send the retry to
// another box, perhaps in another zone. Both requests have the same key. Before such a request
// runs, its box appends a claim to the platform's log; the first claim of a key in log order is
// granted, and only the process that appended it may run the request, once. A claim is not a
// lease and does not time out. If the claiming process crashed, the outcome for its key stays
// unknown, because no other process can determine whether the request ran; if it was only
// paused, it is still the only process that may run it when it resumes.
//
//	offset  record                state of key K
//	4       claim K by box a      a may run the request
//	5       claim K by box b      rejected: b responds "outcome unknown"
//	6       complete K by a, 200  b and all others respond with a's response
//
// A process whose request did not run, and never will, releases the claim; the next claim of
// the key is then granted.
package claim

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// Kind is the kind of an entry.
type Kind uint8

const (
	// KindClaim requests the right to run.
	KindClaim Kind = 1
	// KindComplete records the response of the run.
	KindComplete Kind = 2
	// KindRelease records that the claiming process did not run the request and never will.
	KindRelease Kind = 3
)

// Key is an organisation's idempotency key. Keys of different organisations are independent,
// even with the same text.
type Key struct {
	Organisation string `msgpack:"o"`
	Text         string `msgpack:"k"`
}

// Digest is the hash of a request's content.
type Digest [32]byte

// StoredResponse is the response of a finished run, stored for callers that retry.
type StoredResponse struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
	// BodyStored is false if the body was too large to store.
	BodyStored bool `msgpack:"w"`
}

// Entry is one change to the state of a key.
type Entry struct {
	Kind   Kind   `msgpack:"t"`
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d,omitempty"`
	// ClaimID identifies the claim. It is random, and no other process has it before the claim
	// is in the log.
	ClaimID uuid.UUID `msgpack:"i"`
	// Incarnation is the incarnation of the claiming process.
	Incarnation string         `msgpack:"p,omitempty"`
	Response    StoredResponse `msgpack:"a,omitempty"`
}

// batch is one record of a claim stream.
type batch struct {
	Entries []Entry `msgpack:"e"`
}

func encode(entries []Entry) ([]byte, error) {
	data, err := msgpack.Marshal(&batch{Entries: entries})
	if err != nil {
		return nil, merry.Prepend(err, "encode claims")
	}
	return data, nil
}

// Decode decodes a record of a claim stream.
func Decode(data []byte) ([]Entry, error) {
	var decoded batch
	if err := safepack.Unmarshal(data, &decoded); err != nil {
		return nil, merry.Prepend(err, "decode claims")
	}
	return decoded.Entries, nil
}

// StreamCount is the number of claim streams that keys are distributed over.
const StreamCount = 16

// streamOf returns the number of a key's stream.
func streamOf(key Key) int {
	hash := fnv.New32a()
	// Write never returns an error for this hash.
	_, _ = hash.Write([]byte(key.Organisation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key.Text))
	return int(hash.Sum32() % StreamCount)
}

// StreamName returns the name of a claim stream in the log.
func StreamName(stream int) string { return "claims-" + strconv.Itoa(stream) }

// KeyTime returns the creation time of a key. Keys are UUIDs of version 7, which contain a
// timestamp, so that keys older than the log's retention can be detected.
func KeyTime(text string) (time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, merry.New("the idempotency key is not a UUID of version 7")
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), nil
}
