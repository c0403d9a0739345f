// Package dispatch sends a placed request to its backend server, and retries it on
// another one where that is safe.
//
// After a failed attempt, a retry depends on whether a byte of the request may have left
// this process. If not, any request may be sent to another server. Otherwise only a
// repeatable request may, and only as long as no part of a response has reached the
// caller. In all other cases the request fails with the outcome "unknown".
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

// maxTriedServers is the maximum number of servers that a request is sent to.
const maxTriedServers = 3

// Config configures a Dispatcher.
type Config struct {
	Engines *engine.Client
	// Choose places a request on a server that is not one of the excluded ones.
	Choose func(request *flow.Request, exclude []string) *apierror.Error
	// OnFailure is called for servers that could not be reached or sent no valid response.
	OnFailure func(server string)
	Budget    *retrybudget.Budget
	// Incarnation returns the current incarnation of a server, and whether the server is leaving. It is
	// nil if neither is known.
	Incarnation func(server string) (incarnation string, leaving bool)
	Logger      zerolog.Logger
}

// Dispatcher sends requests to engines.
type Dispatcher struct {
	engines   *engine.Client
	choose    func(request *flow.Request, exclude []string) *apierror.Error
	onFailure func(server string)
	budget    *retrybudget.Budget
	crashes   *crashTracker
}

// New creates a Dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{engines: cfg.Engines, choose: cfg.Choose, onFailure: cfg.OnFailure, budget: cfg.Budget, crashes: newCrashTracker(cfg)}
}

// Loop checks in the background which servers have crashed, until ctx is cancelled.
func (d *Dispatcher) Loop(ctx context.Context) { d.crashes.detector.Loop(ctx) }

// Attempt is a run that an engine has accepted.
type Attempt struct {
	// Server is the backend server of the run.
	Server *config.BackendServer
	// Run is the request to the engine, with the ID of the run.
	Run engine.Run
	// Stream is the engine's response.
	Stream *engine.Stream
	// tried contains the names of the servers tried so far, including this one.
	tried []string
}

// Dispatch sends the request to the server of its placement. If that fails, it retries
// on other servers as far as the rules of the package allow. A request that is dispatched
// adds to the retry budget.
func (d *Dispatcher) Dispatch(request *flow.Request) (*Attempt, *apierror.Error) {
	d.budget.Deposit()
	request.Fingerprint = fingerprintOf(request)
	return d.open(request, nil, false)
}

// Redispatch sends a request to another server after its run was lost. The caller must
// make sure that no part of the response was passed on.
func (d *Dispatcher) Redispatch(request *flow.Request, failed *Attempt) (*Attempt, *apierror.Error) {
	request.Placement.Handle.Done(false)
	if !request.Repeatable {
		return nil, apierror.BadGateway("run_lost", apierror.Unknown, "the run was lost and may not be repeated")
	}
	if d.crashes.crashesServers(request, failed.Server) {
		return nil, correctOutcome(d.crashes.refusal(request), true)
	}
	if !d.placeElsewhere(request, failed.tried) {
		return nil, noServerLeft(true)
	}
	return d.open(request, failed.tried, true)
}

// open sends the request to one server after the other until one accepts it. mayHaveRun
// is set if an earlier attempt may have run; the outcome is then never "not run", even if
// a later server refuses the request.
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

// start sends a run to an engine. If there is no response, the engine may still have
// accepted the run, so start tries to resume it by its ID, which does not start a second
// run.
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

// failureOf returns the error with which a request fails after a failed attempt on a
// server, or nil if the request may be sent to another server.
func (d *Dispatcher) failureOf(request *flow.Request, server string, err error) *apierror.Error {
	if request.Canceled() {
		return request.CancelError(!errors.Is(err, engine.ErrNotSent))
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
	return apierror.BadGateway("no_answer", outcome, "the request was handed to a backend server and may not be repeated")
}

// placeElsewhere places the request on a server that was not tried yet. It returns false
// if there is none, after maxTriedServers, or if the retry budget is exhausted.
func (d *Dispatcher) placeElsewhere(request *flow.Request, tried []string) bool {
	if len(tried) >= maxTriedServers || !d.budget.TryWithdraw() {
		return false
	}
	if d.choose(request, tried) != nil {
		d.budget.Refund() // the retry does not take place
		return false
	}
	return true
}

// provesNotRun reports whether a failed attempt certainly had no effect: the engine
// itself refused the request, or no connection was made.
func provesNotRun(err error) bool {
	_, refused := errors.AsType[*engine.RefusedError](err)
	return refused || errors.Is(err, engine.ErrNotSent)
}

// correctOutcome changes the outcome of a failure from "not run" to "unknown" if an
// earlier attempt may have run.
func correctOutcome(failure *apierror.Error, mayHaveRun bool) *apierror.Error {
	if mayHaveRun && failure.Outcome == apierror.NotRun {
		failure.Outcome = apierror.Unknown
	}
	return failure
}

// noServerLeft is the error when no other server may be tried.
func noServerLeft(mayHaveRun bool) *apierror.Error {
	if mayHaveRun {
		return apierror.BadGateway("engine_failed", apierror.Unknown, "the engine failed and no other took the request")
	}
	return apierror.ServiceUnavailable("no_runner", time.Second, "no runner took the request")
}

// engineRefusal converts an engine's refusal of the request itself to an error for the
// caller.
func engineRefusal(refused *engine.RefusedError) *apierror.Error {
	var body apierror.Body
	message := "the engine refused the request"
	if err := json.Unmarshal(refused.Body, &body); err == nil && body.Error.Message != "" {
		message = body.Error.Message
	}
	if refused.Status/100 == 4 {
		return &apierror.Error{Status: refused.Status, Type: apierror.TypeInvalidRequest, Code: "engine_refused", Message: message, Outcome: apierror.NotRun}
	}
	return &apierror.Error{Status: http.StatusBadGateway, Type: apierror.TypeBackend, Code: "engine_error", Message: message, Outcome: apierror.Unknown}
}
