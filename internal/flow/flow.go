// Package flow defines the request that is processed by the stages of the pipeline, and the interface of
// a stage.
//
// A computing stage (authenticate, admit, place) runs in a single goroutine. It takes requests from its
// ring, processes each, and passes it to the ring of the next stage or rejects it. Stages that wait for
// network I/O (dispatch, relay) run in the HTTP server's goroutine for the request instead, because a
// goroutine that waits for one engine cannot serve other requests.
package flow

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/ring"
)

// Kind is the kind of a request, which depends on the API that the caller uses.
type Kind uint8

const (
	// KindModel is an inference request.
	KindModel Kind = iota + 1
	// KindService is a call of a plain service.
	KindService
)

// Request is a request in the pipeline. Fields are grouped by the stage that writes them; later stages
// only read them, apart from these exceptions. Authenticate sets Priority if accept has not, and the
// initial Weights. Accept sets the Organisation of reviews. Relay may clear Repeatable. The API sets
// Placement.Server of calls of plain services.
type Request struct {
	// Written by accept.
	ID             string
	Kind           Kind
	Arrived        time.Time
	APIKey         string // the caller's bearer key; never logged
	Path           string // path that is sent to the backend server
	Model          string
	Service        string
	Method         string
	Prompt         []byte // the part of the body that the engine prefills
	Stream         bool
	Priority       config.Priority
	Deadline       time.Time // zero if none
	Repeatable     bool
	IdempotencyKey string
	Digest         [32]byte // of the request as the caller sent it; only set with an idempotency key
	Snapshot       *config.Snapshot

	// Written by authenticate.
	Organisation *config.Organisation

	// Written by admit: releases the capacity that the request uses.
	release func()

	// Written by place.
	Weights   string
	Salt      prefix.Salt
	Chain     prefix.Chain
	Placement Placement

	// Written by dispatch: the same for each attempt.
	Fingerprint fingerprint.Fingerprint

	ctx  context.Context
	done chan *apierror.Error
	// encode encodes the body for the engine; body is the cached result for bodySalt.
	encode   func() []byte
	body     []byte
	bodySalt prefix.Salt
}

// Placement is where a request runs.
type Placement struct {
	// Server is the chosen backend server.
	Server *config.BackendServer
	// WarmTokens is the estimated number of prompt tokens in the server's KV cache.
	WarmTokens int
	// Prepare, if set, is called before the request is sent.
	Prepare func(ctx context.Context)
	// Handle is the request's reservation of capacity at the server.
	Handle Hold
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
}

// Hold is a request's reservation of capacity at a backend server.
type Hold interface {
	// FirstToken records that the first token has been received.
	FirstToken()
	// Done releases the reservation; ran states whether the request ran to completion.
	Done(ran bool)
}

// NewRequest creates a request that is canceled when ctx is done.
func NewRequest(ctx context.Context) *Request {
	return &Request{
		ctx: ctx, done: make(chan *apierror.Error, 1), Repeatable: true,
		Placement: Placement{Handle: noHold{}},
	}
}

// noHold is the Hold of a request that has not been placed.
type noHold struct{}

func (noHold) FirstToken() {}

func (noHold) Done(bool) {}

// Context returns the request's context, which is canceled when the caller disconnects.
func (r *Request) Context() context.Context { return r.ctx }

// Canceled reports whether the caller has disconnected, or the box stops.
func (r *Request) Canceled() bool { return r.ctx.Err() != nil }

// SetEncoder sets the function that encodes the body for the engine from the request's fields.
func (r *Request) SetEncoder(encode func() []byte) { r.encode = encode }

// EngineBody returns the body for the engine on which the request is placed. The body contains the cache
// salt, which depends on the weight version, so it is encoded again if the request was moved to another
// weight version.
func (r *Request) EngineBody() []byte {
	if r.body == nil || r.bodySalt != r.Salt {
		r.body, r.bodySalt = r.encode(), r.Salt
	}
	return r.body
}

// DropBody frees the data that is needed only to send the request. A request is never sent again after
// part of its answer has been forwarded, and the answer may take minutes, during which a prompt of 64 KiB
// must not stay in memory.
func (r *Request) DropBody() { r.Prompt, r.body, r.encode = nil, nil, nil }

// Pass completes the computing stages: the request may run.
func (r *Request) Pass() { r.done <- nil }

// Refuse rejects the request with an error and releases its capacity.
func (r *Request) Refuse(err *apierror.Error) {
	r.Release()
	r.done <- err
}

// Decision returns a channel that receives nil when the request has passed the computing stages, or the
// error with which a stage rejected it.
func (r *Request) Decision() <-chan *apierror.Error { return r.done }

// OnRelease sets the function with which admit releases the capacity that the request uses.
func (r *Request) OnRelease(release func()) { r.release = release }

// Release releases the capacity that the request uses; a second call does nothing.
func (r *Request) Release() {
	if r.release == nil {
		return
	}
	release := r.release
	r.release = nil
	release()
}

// Stage is a computing stage.
type Stage interface {
	// Name identifies the stage in metrics, logs and state dumps.
	Name() string
	// Loop takes requests from in until ctx is done, and passes each to next or rejects it.
	Loop(ctx context.Context, in *ring.Ring[*Request], next func(*Request))
}

// Filter runs the loop of a stage that passes or rejects each request immediately.
func Filter(ctx context.Context, in *ring.Ring[*Request], next func(*Request), handle func(*Request) *apierror.Error) {
	for {
		request, err := in.Pop(ctx)
		if err != nil {
			return
		}
		if request.Canceled() {
			request.Refuse(request.CancelError(false))
			continue
		}
		if refusal := handle(request); refusal != nil {
			request.Refuse(refusal)
			continue
		}
		next(request)
	}
}

// ErrStopping is the cause for canceling the requests that outlast the stop of their box.
var ErrStopping = merry.Sentinel("the box stops")

// CancelError returns the error of a canceled request. mayHaveRun is set if a backend server may have received it.
func (r *Request) CancelError(mayHaveRun bool) *apierror.Error {
	if !errors.Is(context.Cause(r.ctx), ErrStopping) {
		return CallerGone()
	}
	if mayHaveRun {
		return apierror.BadGateway("box_stopping", apierror.Unknown, "the entry box stops, and the request may have run")
	}
	return apierror.ServiceUnavailable("box_stopping", time.Second, "the entry box stops")
}

// statusCallerGone is the status that is logged for a request whose caller disconnected. It is never
// sent.
const statusCallerGone = 499

// CallerGone returns the error of a request whose caller disconnected before it ran.
func CallerGone() *apierror.Error {
	return &apierror.Error{
		Status: statusCallerGone, Type: apierror.TypeInvalidRequest, Code: "caller_gone",
		Message: "the caller closed the connection", Outcome: apierror.NotRun,
	}
}
