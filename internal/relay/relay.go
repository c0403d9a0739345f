// Package relay passes an engine's answer on to the caller, whole and once.
//
// Each chunk has an index. When the engine's stream breaks, repeats itself or
// has a gap, the relay takes the run up again at exactly the next index, so the
// caller sees every chunk once and in order, byte for byte as the engine made
// it. A run that is lost for good is run anew only while nothing of it has been
// passed on; after that the caller is told.
package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/dispatch"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
)

// cancelTimeout bounds the telling of an engine that nobody waits.
const cancelTimeout = time.Second

// Sink takes an answer on its way to the caller.
type Sink interface {
	// Begin is called once, before the first chunk, with the run's place.
	Begin(server *config.BackendServer, run engine.Run)
	// Write passes a chunk on. More says that another is about to follow.
	Write(chunk engine.Chunk, more bool) error
}

// Config sets up a Relay.
type Config struct {
	Engines *engine.Client
	// Reopen runs a lost request on another server.
	Reopen func(request *flow.Request, lost *dispatch.Attempt) (*dispatch.Attempt, *apierror.Error)
}

// Relay passes answers on.
type Relay struct {
	engines *engine.Client
	reopen  func(request *flow.Request, lost *dispatch.Attempt) (*dispatch.Attempt, *apierror.Error)
}

// New makes a relay.
func New(cfg Config) *Relay { return &Relay{engines: cfg.Engines, reopen: cfg.Reopen} }

// Result says how passing an answer on ended.
type Result struct {
	// Chunks is how many chunks the caller got.
	Chunks int
	// Resumes and Reruns count what was needed for them.
	Resumes int
	Reruns  int
	// FirstChunk is when the first chunk came; zero if none did.
	FirstChunk time.Time
	// Failure is nil when the caller got the whole answer.
	Failure *apierror.Error
}

// Copy passes the answer of an attempt on until it is whole or lost.
func (r *Relay) Copy(request *flow.Request, attempt *dispatch.Attempt, sink Sink) Result {
	var result Result
	barren := 0 // times in a row that a stream brought nothing
	for {
		before := result.Chunks
		err := copyChunks(request, attempt, sink, &result)
		if barren++; result.Chunks > before {
			barren = 0
		}
		next := attempt.Stream.NextIndex()
		_ = attempt.Stream.Close() // the stream has ended or is given up
		if err == nil {
			return result
		}
		if errors.Is(err, errSink) || request.Gone() {
			r.cancel(attempt)
			result.Failure = callerGone(result.Chunks)
			return result
		}
		stream, resumeErr := r.engines.ResumeWithRetry(request.Context(), attempt.Server.Address, attempt.Run, next-1)
		if resumeErr == nil && barren >= engine.MaxResumeAttempts {
			_ = stream.Close() // the engine answers, but never with a chunk
			resumeErr = err
		}
		if resumeErr == nil {
			result.Resumes++
			attempt.Stream = stream
			continue
		}
		if request.Gone() {
			r.cancel(attempt)
			result.Failure = callerGone(result.Chunks)
			return result
		}
		if result.Chunks > 0 {
			result.Failure = apierror.Failed("answer_lost", apierror.Ran, "the engine lost the run after %d chunks", result.Chunks)
			return result
		}
		again, failure := r.reopen(request, attempt)
		if failure != nil {
			result.Failure = failure
			return result
		}
		result.Reruns++
		attempt = again
	}
}

// errSink says that the caller could not be written to.
var errSink = errors.New("the caller does not take the answer")

func copyChunks(request *flow.Request, attempt *dispatch.Attempt, sink Sink, result *Result) error {
	for {
		chunk, err := attempt.Stream.Next()
		if err != nil {
			return err
		}
		if result.Chunks == 0 {
			result.FirstChunk = time.Now()
			request.Placement.Handle.FirstToken()
			request.Forget()
			attempt.Run.Body = nil
			sink.Begin(attempt.Server, attempt.Run)
		}
		if err := sink.Write(chunk, attempt.Stream.HasBuffered()); err != nil {
			return errSink
		}
		result.Chunks++
		if chunk.Last {
			return nil
		}
	}
}

// Resume passes an answer on that another box, or another connection, began.
func (r *Relay) Resume(request *flow.Request, server *config.BackendServer, run engine.Run, after int, sink Sink) Result {
	// The caller has part of this very run; another run is no substitute.
	request.Repeatable = false
	stream, err := r.engines.Resume(request.Context(), server.Address, run, after)
	if errors.Is(err, engine.ErrUnknownRun) {
		return Result{Failure: apierror.Missing("answer_not_found", "the answer is no longer held")}
	}
	if err != nil {
		return Result{Failure: apierror.NotReady("engine_unreachable", time.Second, "the engine that holds the answer cannot be reached")}
	}
	return r.Copy(request, &dispatch.Attempt{Server: server, Run: run, Stream: stream}, sink)
}

// Cancel ends a run that nobody waits for.
func (r *Relay) Cancel(server *config.BackendServer, runID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return r.engines.Cancel(ctx, server.Address, runID)
}

func (r *Relay) cancel(attempt *dispatch.Attempt) {
	// An engine that cannot be reached ends the run by itself.
	_ = r.Cancel(attempt.Server, attempt.Run.ID)
}

func callerGone(chunks int) *apierror.Error {
	failure := flow.CallerGone()
	failure.Outcome = apierror.Unknown
	if chunks > 0 {
		failure.Outcome = apierror.Ran
	}
	return failure
}
