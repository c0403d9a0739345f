// Package relay streams an engine's answer to the caller, with each chunk exactly once.
//
// Chunks are numbered. When the engine's stream breaks, repeats a chunk or skips one, the relay
// resumes the run at the next index. The caller thus gets every chunk once and in order, byte for
// byte as the engine produced it. A run that is lost for good is rerun only if none of its chunks
// has been sent to the caller; otherwise the caller gets an error.
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

// cancelTimeout bounds the request that cancels a run.
const cancelTimeout = time.Second

// Sink writes an answer to the caller.
type Sink interface {
	// Begin is called once, before the first chunk, with the server and the run.
	Begin(server *config.BackendServer, run engine.Run)
	// Write sends a chunk. more means that another chunk is about to follow.
	Write(chunk engine.Chunk, more bool) error
}

// Config configures a Relay.
type Config struct {
	Engines *engine.Client
	// Rerun runs a lost request on another server.
	Rerun func(request *flow.Request, lost *dispatch.Attempt) (*dispatch.Attempt, *apierror.Error)
}

// Relay streams answers to callers.
type Relay struct {
	engines *engine.Client
	rerun   func(request *flow.Request, lost *dispatch.Attempt) (*dispatch.Attempt, *apierror.Error)
}

// New returns a relay.
func New(cfg Config) *Relay { return &Relay{engines: cfg.Engines, rerun: cfg.Rerun} }

// Result describes the outcome of streaming an answer.
type Result struct {
	// Chunks is the number of chunks that the caller received.
	Chunks int
	// Resumes and Reruns count how often the run was resumed and rerun.
	Resumes int
	Reruns  int
	// FirstChunk is when the first chunk was received from the engine; zero if there was none.
	FirstChunk time.Time
	// Failure is nil if the caller received the whole answer.
	Failure *apierror.Error
}

// Copy streams the answer of an attempt to the caller until it is complete or lost.
func (r *Relay) Copy(request *flow.Request, attempt *dispatch.Attempt, sink Sink) Result {
	var result Result
	emptyStreams := 0 // consecutive streams without a new chunk
	for {
		before := result.Chunks
		err := copyChunks(request, attempt, sink, &result)
		if emptyStreams++; result.Chunks > before {
			emptyStreams = 0
		}
		next := attempt.Stream.NextIndex()
		_ = attempt.Stream.Close() // the stream has ended or is abandoned
		if err == nil {
			return result
		}
		if errors.Is(err, errSink) || request.Canceled() {
			r.cancel(attempt)
			result.Failure = canceled(request, result.Chunks)
			return result
		}
		stream, resumeErr := r.engines.ResumeWithRetry(request.Context(), attempt.Server.Address, attempt.Run, next-1)
		if resumeErr == nil && emptyStreams >= engine.MaxResumeAttempts {
			_ = stream.Close() // the engine responds, but sends no chunk
			resumeErr = err
		}
		if resumeErr == nil {
			result.Resumes++
			attempt.Stream = stream
			continue
		}
		if request.Canceled() {
			r.cancel(attempt)
			result.Failure = canceled(request, result.Chunks)
			return result
		}
		if result.Chunks > 0 {
			result.Failure = apierror.BadGateway("answer_lost", apierror.Ran, "the engine lost the run after %d chunks", result.Chunks)
			return result
		}
		replacement, failure := r.rerun(request, attempt)
		if failure != nil {
			result.Failure = failure
			return result
		}
		result.Reruns++
		attempt = replacement
	}
}

// errSink means that writing to the caller failed.
var errSink = errors.New("write to the caller failed")

func copyChunks(request *flow.Request, attempt *dispatch.Attempt, sink Sink, result *Result) error {
	for {
		chunk, err := attempt.Stream.Next()
		if err != nil {
			return err
		}
		if result.Chunks == 0 {
			result.FirstChunk = time.Now()
			request.Placement.Handle.FirstToken()
			request.DropBody()
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

// Resume streams the rest of an answer that another box or connection began.
func (r *Relay) Resume(request *flow.Request, server *config.BackendServer, run engine.Run, after int, sink Sink) Result {
	// The caller already has part of this run, so another run can't replace it.
	request.Repeatable = false
	stream, err := r.engines.Resume(request.Context(), server.Address, run, after)
	if errors.Is(err, engine.ErrUnknownRun) {
		return Result{Failure: apierror.NotFound("answer_not_found", "the answer is no longer held")}
	}
	if err != nil {
		return Result{Failure: apierror.ServiceUnavailable("engine_unreachable", time.Second, "the engine that holds the answer cannot be reached")}
	}
	return r.Copy(request, &dispatch.Attempt{Server: server, Run: run, Stream: stream}, sink)
}

// Cancel cancels a run whose caller has disconnected.
func (r *Relay) Cancel(server *config.BackendServer, runID string) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return r.engines.Cancel(ctx, server.Address, runID)
}

func (r *Relay) cancel(attempt *dispatch.Attempt) {
	// An engine that can't be reached cancels the run by itself.
	_ = r.Cancel(attempt.Server, attempt.Run.ID)
}

// canceled returns the error of a request that was canceled after its caller had received a number of chunks.
func canceled(request *flow.Request, chunks int) *apierror.Error {
	failure := request.CancelError(true)
	failure.Outcome = apierror.Unknown
	if chunks > 0 {
		failure.Outcome = apierror.Ran
	}
	return failure
}
