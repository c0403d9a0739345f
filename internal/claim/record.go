// Package claim decides once, for all entry boxes, who may run a request that
// may not be repeated.
//
// A caller that got no answer sends its request again, and the balancer hands it
// to another box, perhaps in another zone. Both requests carry the same key. So
// before such a request runs, its box appends a claim to the platform's log;
// the first claim of a key in log order wins, and only the process that made
// it may run the request, once, ever. There is no lease that runs out: a
// claimer that died leaves its key in the state "unknown", because nobody can
// tell whether it ran, and a claimer that was merely paused wakes up as the
// only one that may run.
//
//	offset  record              state of key K
//	4       claim K by box a    a may run it
//	5       claim K by box b    void: b answers "unknown"
//	6       done K by a, 200    b and all others answer with a's answer
//
// A claimer that certainly did not run, and never will, renounces; the next
// claim then wins.
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

// Kind tells the kinds of entries apart.
type Kind uint8

const (
	// KindClaim asks for the right to run.
	KindClaim Kind = 1
	// KindComplete states the response of the run.
	KindComplete Kind = 2
	// KindRelease states that the claimer did not run and never will.
	KindRelease Kind = 3
)

// Key is an organisation's idempotency key. Keys of different organisations
// never meet.
type Key struct {
	Organisation string `msgpack:"o"`
	Text         string `msgpack:"k"`
}

// Digest identifies the content of a request.
type Digest [32]byte

// StoredResponse is the response of a finished run, kept for callers that ask again.
type StoredResponse struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
	// BodyStored is false when the body was too large to keep.
	BodyStored bool `msgpack:"w"`
}

// Entry is one statement about a key.
type Entry struct {
	Kind   Kind   `msgpack:"t"`
	Key    Key    `msgpack:"k"`
	Digest Digest `msgpack:"d,omitempty"`
	// ClaimID names the claim; only its claimer knows it before the log does.
	ClaimID uuid.UUID `msgpack:"i"`
	// Claimer is the incarnation of the claiming process.
	Claimer  string         `msgpack:"p,omitempty"`
	Response StoredResponse `msgpack:"a,omitempty"`
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

// Decode reads a record of a claim stream.
func Decode(data []byte) ([]Entry, error) {
	var decoded batch
	if err := safepack.Unmarshal(data, &decoded); err != nil {
		return nil, merry.Prepend(err, "decode claims")
	}
	return decoded.Entries, nil
}

// StreamCount is the number of claim streams that keys are spread over.
const StreamCount = 16

// streamOf gives the stream of a key.
func streamOf(key Key) int {
	hash := fnv.New32a()
	// Writing to this hash never fails.
	_, _ = hash.Write([]byte(key.Organisation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key.Text))
	return int(hash.Sum32() % StreamCount)
}

// StreamName gives the name of a claim stream in the log.
func StreamName(stream int) string { return "claims-" + strconv.Itoa(stream) }

// KeyTime reads when a key was made. Keys are UUIDs of version 7, which carry
// their time, so that a key that is older than the log's memory can be told.
func KeyTime(text string) (time.Time, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return time.Time{}, merry.New("an idempotency key is a UUID of version 7")
	}
	seconds, nanos := id.Time().UnixTime()
	return time.Unix(seconds, nanos), nil
}
