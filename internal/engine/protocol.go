// Package engine is the adapter to model engines.
//
// Engines speak the OpenAI-compatible HTTP protocol. What cometlock needs
// beyond it (resuming a stream, cancelling, cache events, load reports, orders)
// is known in this package alone, in the forms below:
//
//	POST   /v1/chat/completions, /v1/completions   start a run
//	GET    /v1/runs/{id}?starting_after=N          resume a run after chunk N
//	DELETE /v1/runs/{id}                           cancel a run
//	GET    /control/status                         load report
//	GET    /control/cache-events?after=N           cache events since N
//	POST   /control/orders                         fenced order
//	POST   /control/kv/import, /control/kv/export  move kept context
//
// A streamed run is server-sent events whose "id" field is the chunk's index,
// so that a stream that breaks can be taken up at exactly the next chunk.
package engine

import (
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/prefix"
)

// Headers of the engine protocol.
const (
	// HeaderRunID names the run that a request starts.
	HeaderRunID = "X-Request-Id"
	// HeaderWeights is the wanted weight version on a request, and the version
	// that answers on a response.
	HeaderWeights = "X-Weights-Version"
)

// Priorities of the engine protocol; the lowest number runs first.
const (
	PriorityInstant = 0
	PriorityNormal  = 10
	PriorityReview  = 20
)

// Status is an engine's load report. It describes a moment in the past.
type Status struct {
	// Incarnation changes when the engine restarts and has lost its cache.
	Incarnation string `json:"incarnation"`
	// Sequence counts the reports of an incarnation.
	Sequence int64 `json:"sequence"`
	// Running and Waiting count runs.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// QueuedTokens is the prompt work not yet prefilled, in tokens.
	QueuedTokens int `json:"queued_tokens"`
	// QueuedInstantTokens is the part of it that goes before all else.
	QueuedInstantTokens int `json:"queued_instant_tokens"`
	// Weights is the loaded version of each model.
	Weights []LoadedWeights `json:"weights"`
	// Leaving says that the engine is about to stop and wants no new work.
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

// EventKind tells the kinds of cache events apart.
type EventKind string

const (
	// BlockStored says that a block is in the cache now.
	BlockStored EventKind = "stored"
	// BlockRemoved says that a block is gone.
	BlockRemoved EventKind = "removed"
	// CacheCleared says that all blocks are gone.
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
	// Snapshot is set when the events list the whole cache, because the ones
	// asked for are no longer held.
	Snapshot bool `json:"snapshot"`
	// Last is the sequence number up to which the events tell everything.
	Last int64 `json:"last"`
}

// Order tells an engine what state to be in.
type Order struct {
	// Fence is the log offset of the order-giver's authority; an engine that
	// checks refuses an order with a lower fence than one it has obeyed.
	Fence int64 `json:"fence"`
	// Weights is the whole wanted state.
	Weights []LoadedWeights `json:"weights"`
}

// Transfer asks an engine to move kept context to or from a store box.
type Transfer struct {
	Store string       `json:"store"`
	Keys  []prefix.Key `json:"keys"`
}

// TransferResult says what a transfer moved.
type TransferResult struct {
	Blocks int   `json:"blocks"`
	Bytes  int64 `json:"bytes"`
	// Full says that the store box had no room for the rest.
	Full bool `json:"full,omitempty"`
}

// Errors of a run.
var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = merry.Sentinel("the engine could not be reached")
	// ErrNoResponse says that the request was handed over and nothing came back.
	ErrNoResponse = merry.Sentinel("the engine gave no answer")
	// ErrStreamBroken says that the stream ended before the answer was whole.
	ErrStreamBroken = merry.Sentinel("the engine's stream broke off")
	// ErrMissingChunk says that the next chunk is missing from the stream.
	ErrMissingChunk = merry.Sentinel("the engine's stream has a gap")
	// ErrProtocol says that the engine sent what is not its protocol.
	ErrProtocol = merry.Sentinel("the engine sent something that is not an answer")
	// ErrWrongWeights says that another weight version than the wanted answers.
	ErrWrongWeights = merry.Sentinel("the engine answers with another weight version")
	// ErrUnknownRun says that the engine does not know the run.
	ErrUnknownRun = merry.Sentinel("the engine does not know the run")
)

// RefusedError is an engine's own refusal: it answered, and did not run.
type RefusedError struct {
	// Status is the HTTP status of the refusal.
	Status int
	// Body is the engine's error body, in the OpenAI form.
	Body []byte
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the engine refused with status %d", e.Status)
}

// Busy reports whether the refusal is for want of room or of the wanted state,
// so that another engine may well take the request.
func (e *RefusedError) Busy() bool {
	return e.Status == http.StatusTooManyRequests || e.Status == http.StatusServiceUnavailable || e.Status == http.StatusConflict
}
