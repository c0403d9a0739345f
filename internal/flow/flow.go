// Package flow holds the request that travels through the stages, and the loop
// that a stage runs.
//
// A stage has one duty and one goroutine. It takes requests from its ring, does
// its duty, and passes each on to the next stage's ring or ends it. Stages that
// compute (authenticate, admit, place) work this way. Stages that wait for
// sockets (dispatch, relay) run on the goroutine that the HTTP server gave the
// request, since a goroutine that waits for one engine cannot serve another.
package flow

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/ring"
)

// Kind tells the protocols that callers speak apart.
type Kind uint8

const (
	// KindModel is a request for a model's answer.
	KindModel Kind = iota + 1
	// KindService is a call of a plain service.
	KindService
)

// Request is one request on its way through the stages. Each field is written
// by the one stage named with it and only read afterwards.
type Request struct {
	// Written by accept.
	ID             string
	Kind           Kind
	Arrived        time.Time
	APIKey         string // the caller's bearer key; never logged
	Path           string // path at the backend server
	Model          string
	Service        string
	Method         string
	Prompt         []byte // the part of the body that the engine prefills
	Stream         bool
	Priority       config.Priority
	Deadline       time.Time // zero: none
	Repeatable     bool
	IdempotencyKey string
	Digest         [32]byte // of the request as the caller sent it; only with a key
	Snapshot       *config.Snapshot

	// Written by authenticate.
	Organisation *config.Organisation

	// Written by admit: gives back the room the request takes.
	release func()

	// Written by place.
	Weights   string
	Salt      prefix.Salt
	Chain     prefix.Chain
	Placement Placement

	// Written by dispatch: the same for each sending of the request.
	Fingerprint fingerprint.Fingerprint

	ctx  context.Context
	done chan *apierror.Error
	// encode writes the engine's body; body is what it wrote for bodySalt.
	encode   func() []byte
	body     []byte
	bodySalt prefix.Salt
}

// Placement is where a request runs.
type Placement struct {
	// Server is the chosen backend server.
	Server *config.BackendServer
	// WarmTokens is how much of the prompt is thought to be there already.
	WarmTokens int
	// Prepare, when set, is run before the request is handed over.
	Prepare func(ctx context.Context)
	// Handle is the request's hold on the server.
	Handle Hold
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
}

// Hold is a request's place at a backend server.
type Hold interface {
	// FirstToken notes that the first token has come.
	FirstToken()
	// Done gives the place back, and says whether the request ran to its end.
	Done(ran bool)
}

// NewRequest makes a request whose life is bounded by ctx.
func NewRequest(ctx context.Context) *Request {
	return &Request{
		ctx: ctx, done: make(chan *apierror.Error, 1), Repeatable: true,
		Placement: Placement{Handle: noHold{}},
	}
}

// noHold is the hold of a request that has no place at a backend server.
type noHold struct{}

func (noHold) FirstToken() {}

func (noHold) Done(bool) {}

// Context ends when the caller goes away.
func (r *Request) Context() context.Context { return r.ctx }

// Canceled reports whether the caller has gone away.
func (r *Request) Canceled() bool { return r.ctx.Err() != nil }

// SetEncoder sets how the engine's body is written, from what the stages found.
func (r *Request) SetEncoder(encode func() []byte) { r.encode = encode }

// EngineBody gives the body for the engine that the request is placed on. The
// body names the salt of the kept context that the engine may use, so it is
// written anew when the request has moved to another weight version.
func (r *Request) EngineBody() []byte {
	if r.body == nil || r.bodySalt != r.Salt {
		r.body, r.bodySalt = r.encode(), r.Salt
	}
	return r.body
}

// DropBody drops what is needed only to hand the request over. Once part of an
// answer has been passed on, the request is never handed over again, and an
// answer may take minutes: a prompt of 64 KiB must not stay for all of them.
func (r *Request) DropBody() { r.Prompt, r.body, r.encode = nil, nil, nil }

// Pass ends the way through the computing stages: the request may run.
func (r *Request) Pass() { r.done <- nil }

// Refuse ends the request with an error.
func (r *Request) Refuse(err *apierror.Error) {
	r.Release()
	r.done <- err
}

// Decision brings the refusal of the computing stages, or nil when they passed
// the request.
func (r *Request) Decision() <-chan *apierror.Error { return r.done }

// OnRelease sets how admit gets back the room the request takes.
func (r *Request) OnRelease(release func()) { r.release = release }

// Release gives back the room the request takes; a second call does nothing.
func (r *Request) Release() {
	if r.release == nil {
		return
	}
	release := r.release
	r.release = nil
	release()
}

// Stage is one computing duty.
type Stage interface {
	// Name identifies the stage in metrics, logs and state dumps.
	Name() string
	// Loop takes requests from in until ctx ends, and hands each to next or
	// refuses it.
	Loop(ctx context.Context, in *ring.Ring[*Request], next func(*Request))
}

// Filter runs the loop of a stage that decides on each request at once.
func Filter(ctx context.Context, in *ring.Ring[*Request], next func(*Request), handle func(*Request) *apierror.Error) {
	for {
		request, err := in.Pop(ctx)
		if err != nil {
			return
		}
		if request.Canceled() {
			request.Refuse(CallerGone())
			continue
		}
		if refusal := handle(request); refusal != nil {
			request.Refuse(refusal)
			continue
		}
		next(request)
	}
}

// statusCallerGone is what the log shows for a caller that went away; nobody
// is left to read it.
const statusCallerGone = 499

// CallerGone is the end of a request whose caller went away before it ran.
func CallerGone() *apierror.Error {
	return &apierror.Error{
		Status: statusCallerGone, Type: apierror.InvalidRequest, Code: "caller_gone",
		Message: "the caller closed the connection", Outcome: apierror.NotRun,
	}
}
