// Package dispatch hands a placed request to its backend server, once.
//
// What may follow a failed try depends on one question: can a byte of the
// request have left this process? If not, another server may be tried, whatever
// the request is. If it can, only a repeatable request may run elsewhere, and
// only while nothing of an answer has reached the caller. Everything else ends
// with "unknown".
package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/retrybudget"
)

// maxTries bounds the servers that one request is handed to.
const maxAttempts = 3

// Config sets up a Dispatcher.
type Config struct {
	Engines *engine.Client
	// Choose places a request anew, on none of the excluded servers.
	Choose func(request *flow.Request, exclude []string) *apierror.Error
	// OnFailure is told of servers that could not be reached.
	OnFailure func(server string)
	Budget    *retrybudget.Budget
	// Incarnation gives the life of a server that is there now, and whether it is to end; nil where
	// nothing is known of either.
	Incarnation func(server string) (life string, leaving bool)
	Logger      zerolog.Logger
}

// Dispatcher hands requests to engines.
type Dispatcher struct {
	engines   *engine.Client
	choose    func(request *flow.Request, exclude []string) *apierror.Error
	onFailure func(server string)
	budget    *retrybudget.Budget
	crashes   *crashTracker
}

// New makes a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{engines: cfg.Engines, choose: cfg.Choose, onFailure: cfg.OnFailure, budget: cfg.Budget, crashes: newCrashTracker(cfg)}
}

// Loop finds out later which servers ended, until ctx ends.
func (d *Dispatcher) Loop(ctx context.Context) { d.crashes.detector.Loop(ctx) }

// Attempt is a run that an engine has taken.
type Attempt struct {
	// Server runs it.
	Server *config.BackendServer
	// Run is what was asked for, with the run's name.
	Run engine.Run
	// Stream is the engine's answer.
	Stream *engine.Stream
	// tried names the servers that were asked, this one included.
	tried []string
}

// Dispatch hands the request to the server of its placement, or to others as far
// as that is allowed. It counts as a first try.
func (d *Dispatcher) Dispatch(request *flow.Request) (*Attempt, *apierror.Error) {
	d.budget.Deposit()
	request.Fingerprint = fingerprintOf(request)
	return d.open(request, nil, false)
}

// Redispatch runs a request on another server after its run was lost. The caller
// vouches that nothing of the answer was passed on.
func (d *Dispatcher) Redispatch(request *flow.Request, lost *Attempt) (*Attempt, *apierror.Error) {
	request.Placement.Handle.Done(false)
	if !request.Repeatable {
		return nil, apierror.Failed("run_lost", apierror.Unknown, "the run was lost and may not be repeated")
	}
	if d.crashes.crashesServers(request, lost.Server) {
		return nil, correctOutcome(d.crashes.refusal(request), true)
	}
	if !d.placeElsewhere(request, lost.tried) {
		return nil, noServerLeft(true)
	}
	return d.open(request, lost.tried, true)
}

// open hands the request over, to one server after the other. MayHaveRun says
// that an earlier try may have run; then no later refusal makes it "not run".
func (d *Dispatcher) open(request *flow.Request, tried []string, mayHaveRun bool) (*Attempt, *apierror.Error) {
	for {
		if refusal := d.crashes.admit(request); refusal != nil {
			request.Placement.Handle.Done(false)
			return nil, correctOutcome(refusal, mayHaveRun)
		}
		server := request.Placement.Server
		tried = append(tried, server.Name)
		attempt := &Attempt{Server: server, Run: newRun(request), tried: tried}
		if request.Placement.Prepare != nil {
			request.Placement.Prepare(request.Context())
		}
		stream, err := d.start(request.Context(), attempt)
		if err == nil {
			attempt.Stream = stream
			return attempt, nil
		}
		request.Placement.Handle.Done(false)
		mayHaveRun = mayHaveRun || !provesNotRun(err)
		failure := d.failureOf(request, server.Name, err)
		if errors.Is(err, engine.ErrNoResponse) && d.crashes.crashesServers(request, server) && failure == nil {
			failure = d.crashes.refusal(request)
		}
		if failure != nil {
			return nil, correctOutcome(failure, mayHaveRun)
		}
		if !d.placeElsewhere(request, tried) {
			return nil, noServerLeft(mayHaveRun)
		}
	}
}

func newRun(request *flow.Request) engine.Run {
	return engine.Run{
		ID: uuid.NewString(), Path: request.Path, Body: request.EngineBody(),
		Weights: request.Weights, Stream: request.Stream,
	}
}

// start hands a run over. When no answer comes back, the engine may have taken
// the run all the same; asking it for the run by name is no second run.
func (d *Dispatcher) start(ctx context.Context, attempt *Attempt) (*engine.Stream, error) {
	stream, err := d.engines.Start(ctx, attempt.Server.Address, attempt.Run)
	if !errors.Is(err, engine.ErrNoResponse) || ctx.Err() != nil {
		return stream, err
	}
	resumed, resumeErr := d.engines.ResumeWithRetry(ctx, attempt.Server.Address, attempt.Run, -1)
	if resumeErr != nil {
		return nil, err
	}
	return resumed, nil
}

// judge decides whether a request that failed on a server may go to another:
// nil says that it may.
func (d *Dispatcher) failureOf(request *flow.Request, server string, err error) *apierror.Error {
	if request.Gone() {
		return flow.CallerGone()
	}
	if refused, ok := errors.AsType[*engine.RefusedError](err); ok {
		if refused.Busy() {
			return nil
		}
		return engineRefusal(refused)
	}
	d.onFailure(server)
	if errors.Is(err, engine.ErrNotSent) || request.Repeatable {
		return nil
	}
	outcome := apierror.Unknown
	if errors.Is(err, engine.ErrWrongWeights) {
		outcome = apierror.Ran
	}
	return apierror.Failed("no_answer", outcome, "the request was handed to a backend server and may not be repeated")
}

// moveOn places the request on a server that was not tried, and reports whether
// there is one and the budget allows it.
func (d *Dispatcher) placeElsewhere(request *flow.Request, tried []string) bool {
	if len(tried) >= maxAttempts || !d.budget.TryWithdraw() {
		return false
	}
	if d.choose(request, tried) != nil {
		d.budget.Refund() // a retry that is not made costs nothing
		return false
	}
	return true
}

// provesNotRun reports whether a failed try certainly had no effect: the engine
// itself refused, or no connection was made.
func provesNotRun(err error) bool {
	_, refused := errors.AsType[*engine.RefusedError](err)
	return refused || errors.Is(err, engine.ErrNotSent)
}

// honest takes "not run" back from a failure when an earlier try may have run.
func correctOutcome(failure *apierror.Error, mayHaveRun bool) *apierror.Error {
	if mayHaveRun && failure.Outcome == apierror.NotRun {
		failure.Outcome = apierror.Unknown
	}
	return failure
}

// exhausted is the answer when no further server is to be tried.
func noServerLeft(mayHaveRun bool) *apierror.Error {
	if mayHaveRun {
		return apierror.Failed("engine_failed", apierror.Unknown, "the engine failed and no other took the request")
	}
	return apierror.NotReady("no_runner", time.Second, "no runner took the request")
}

// passRefusal gives the caller the engine's own refusal, which is about the
// request itself.
func engineRefusal(refused *engine.RefusedError) *apierror.Error {
	var body apierror.Body
	message := "the engine refused the request"
	if err := json.Unmarshal(refused.Body, &body); err == nil && body.Error.Message != "" {
		message = body.Error.Message
	}
	if refused.Status/100 == 4 {
		return &apierror.Error{Status: refused.Status, Type: apierror.InvalidRequest, Code: "engine_refused", Message: message, Outcome: apierror.NotRun}
	}
	return &apierror.Error{Status: http.StatusBadGateway, Type: apierror.Backend, Code: "engine_error", Message: message, Outcome: apierror.Unknown}
}
