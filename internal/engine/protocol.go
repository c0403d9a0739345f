// Package engine is the client for model engines.
//
// Engines implement the OpenAI-compatible HTTP protocol. Cometlock also needs to resume
// and cancel runs, and to exchange cache events, load reports and orders. Only this
// package depends on the form of these extensions:
//
//	POST   /v1/chat/completions, /v1/completions   start a run
//	GET    /v1/runs/{id}?starting_after=N          resume a run after chunk N
//	DELETE /v1/runs/{id}                           cancel a run
//	GET    /control/status                         load report
//	GET    /control/cache-events?after=N           cache events since N
//	POST   /control/orders                         order with a fencing token
//	POST   /control/kv/import, /control/kv/export  transfer stored context
//
// A streamed run is a stream of server-sent events whose "id" field is the chunk's index,
// so that a stream can be resumed at exactly the next chunk after the connection breaks.
package engine

import (
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/prefix"
)

// Headers of the engine protocol.
const (
	// HeaderRunID is the ID of the run that a request starts.
	HeaderRunID = "X-Request-Id"
	// HeaderWeights is the required weight version in a request, and the version that
	// produced the response in a response.
	HeaderWeights = "X-Weights-Version"
)

// Priorities of the engine protocol; the lowest number runs first.
const (
	PriorityInstant = 0
	PriorityNormal  = 10
	PriorityReview  = 20
)

// Status is an engine's load report. It may be out of date when it arrives.
type Status struct {
	// Incarnation changes when the engine restarts and has lost its cache.
	Incarnation string `json:"incarnation"`
	// Sequence is the number of the report within the incarnation.
	Sequence int64 `json:"sequence"`
	// Running and Waiting are numbers of runs.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens is the number of prompt tokens not yet prefilled.
	QueuedTokens int `json:"queued_tokens"`
	// QueuedInstantTokens is the part of QueuedTokens that belongs to instant requests,
	// which are prefilled first.
	QueuedInstantTokens int `json:"queued_instant_tokens"`
	// Weights is the loaded version of each model.
	Weights []LoadedWeights `json:"weights"`
	// Leaving is set when the engine is about to stop and accepts no new runs.
	Leaving bool `json:"leaving"`
	// LastEvent is the sequence number of the newest cache event.
	LastEvent int64 `json:"last_event"`
}

// LoadedWeights is one loaded model of an engine.
type LoadedWeights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Loading string `json:"loading,omitempty"`
}

// EventKind is the kind of a cache event.
type EventKind string

const (
	// BlockStored is the kind of event for a block added to the cache.
	BlockStored EventKind = "stored"
	// BlockRemoved is the kind of event for a block removed from the cache.
	BlockRemoved EventKind = "removed"
	// CacheCleared is the kind of event for the removal of all blocks.
	CacheCleared EventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence int64      `json:"sequence"`
	Kind     EventKind  `json:"kind"`
	Key      prefix.Key `json:"key"`
	// Depth is the number of blocks up to and including this one.
	Depth int `json:"depth"`
}

// CacheEvents is a part of an engine's event stream.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
	// Snapshot is set if the events list the whole cache, because the engine no longer
	// has all of the requested ones.
	Snapshot bool `json:"snapshot"`
	// Last is the sequence number up to which the events are complete.
	Last int64 `json:"last"`
}

// Order sets the target state of an engine.
type Order struct {
	// Fence is a fencing token: the log offset from which the sender derives its
	// authority. An engine that checks it rejects an order with a lower token than the
	// last one it obeyed.
	Fence int64 `json:"fence"`
	// Weights is the complete target state.
	Weights []LoadedWeights `json:"weights"`
}

// Transfer is a request to an engine to transfer context to or from a store box.
type Transfer struct {
	Store string       `json:"store"`
	Keys  []prefix.Key `json:"keys"`
}

// TransferResult is the amount of context that was transferred.
type TransferResult struct {
	Blocks int   `json:"blocks"`
	Bytes  int64 `json:"bytes"`
	// Full is set if the store box had no space for the remaining blocks.
	Full bool `json:"full,omitempty"`
}

// Errors of a run.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = merry.Sentinel("the engine could not be reached")
	// ErrNoResponse means that the request may have been sent and no response arrived.
	ErrNoResponse = merry.Sentinel("the engine sent no response")
	// ErrStreamBroken means that the stream ended before the response was complete.
	ErrStreamBroken = merry.Sentinel("the engine's stream ended before the response was complete")
	// ErrMissingChunk means that the next chunk is missing from the stream.
	ErrMissingChunk = merry.Sentinel("a chunk is missing from the engine's stream")
	// ErrProtocol means that the engine's response violates the protocol.
	ErrProtocol = merry.Sentinel("the engine's response violates the protocol")
	// ErrWrongWeights means that the response is from another weight version than required.
	ErrWrongWeights = merry.Sentinel("the response is from another weight version")
	// ErrUnknownRun means that the engine has no run with the given ID.
	ErrUnknownRun = merry.Sentinel("the engine has no run with this ID")
)

// RefusedError is a refusal by the engine itself: it responded, and did not run the request.
type RefusedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// Body is the engine's error body, in the OpenAI form.
	Body []byte
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused the request with status %d", e.Status)
}

// Busy reports whether the engine refused because it is overloaded or not in the required
// state, so that another engine may accept the request.
func (e *RefusedError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable || e.Status == http.StatusConflict
}
