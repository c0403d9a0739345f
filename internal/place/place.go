// Package place is the pipeline stage that chooses the backend server of a request.
package place

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/kept"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/ring"
	"github.com/cometlock/cometlock/internal/zone"
)

// Config configures a Stage.
type Config[P decide.Policy] struct {
	// View is the state of the zone's backend servers.
	View *zone.View
	// Policy chooses among the runners.
	Policy P
	// Offloader finds stored contexts in the store boxes; nil if there are none.
	Offloader *kept.Offloader
}

// Stage chooses the runners of requests by a policy.
type Stage[P decide.Policy] struct {
	view      *zone.View
	policy    P
	offloader *kept.Offloader
}

// New creates the stage.
func New[P decide.Policy](cfg Config[P]) *Stage[P] {
	return &Stage[P]{view: cfg.View, policy: cfg.Policy, offloader: cfg.Offloader}
}

// Name implements flow.Stage.
func (s *Stage[P]) Name() string { return "place" }

// Loop implements flow.Stage.
func (s *Stage[P]) Loop(ctx context.Context, in *ring.Ring[*flow.Request], next func(*flow.Request)) {
	flow.Filter(ctx, in, next, s.place)
}

func (s *Stage[P]) place(request *flow.Request) *apierror.Error {
	if request.Kind == flow.KindService {
		return nil // the dispatch stage tries the servers of the service in turn
	}
	model, ok := request.Snapshot.Model(request.Model)
	if !ok {
		return apierror.NotFound("model_not_found", "there is no model %q", request.Model)
	}
	if refusal := s.Choose(request, nil); refusal != nil {
		return refusal
	}
	if request.Chain.Tokens() > model.MaxPromptTokens {
		request.Placement.Handle.Done(false)
		return apierror.BadRequest("context_length_exceeded", "the prompt has about %d tokens, the model takes %d", request.Chain.Tokens(), model.MaxPromptTokens)
	}
	return rejectLate(request)
}

// Choose chooses a runner for a request that is not one of the excluded servers. It uses
// the current weight version, or one of the versions that the operators accept if no
// runner of the zone has loaded the current one yet. The hash chain is seeded with the
// version, so stored context of one version never matches a prompt for another.
func (s *Stage[P]) Choose(request *flow.Request, exclude []string) *apierror.Error {
	model, ok := request.Snapshot.Model(request.Model)
	if !ok {
		return apierror.NotFound("model_not_found", "there is no model %q", request.Model)
	}
	for _, version := range append([]string{model.Weights}, model.AcceptWeights...) {
		s.setWeights(request, version)
		if s.choose(request, model, exclude) {
			return nil
		}
	}
	return apierror.ServiceUnavailable("no_runner", max(time.Second, s.view.UnavailableFor(request.Model)), "no runner of the availability zone can serve %q now", request.Model)
}

// setWeights sets the weight version of a request, and recomputes its hash chain if the
// version has changed.
func (s *Stage[P]) setWeights(request *flow.Request, version string) {
	salt := prefix.NewSalt(request.Organisation.Name, request.Model, version)
	if salt == request.Salt {
		return
	}
	request.Weights, request.Salt = version, salt
	request.Chain = prefix.NewChain(salt, request.Prompt)
}

func (s *Stage[P]) choose(request *flow.Request, model *config.Model, exclude []string) bool {
	fetch, _ := s.bestFetch(request, model)
	choice, ok := zone.Choose(s.view, s.policy, zone.Query{
		Model: request.Model, Weights: request.Weights, Chain: request.Chain, Exclude: exclude, Fetch: fetch.Fetch,
		Instant: request.Priority == config.PriorityInstant, RequestHash: xxhash.Sum64String(request.ID),
	})
	if !ok {
		return false
	}
	request.Placement = flow.Placement{
		Server: choice.Server, WarmTokens: choice.WarmTokens, Handle: choice.Handle,
		FirstToken: time.Duration(choice.Decision.FirstTokenSeconds * float64(time.Second)),
	}
	if choice.Decision.WithFetch {
		server := choice.Server
		request.Placement.Prepare = func(ctx context.Context) { s.offloader.Fetch(ctx, server, fetch) }
	}
	return true
}

// bestFetch returns the best fetch of the request's context from a store box.
func (s *Stage[P]) bestFetch(request *flow.Request, model *config.Model) (kept.FetchOption, bool) {
	if s.offloader == nil {
		return kept.FetchOption{}, false
	}
	return s.offloader.BestFetch(request.Chain, model.KVBytesPerToken)
}

// rejectLate rejects a request whose first token is expected after its deadline: running
// it would take capacity from requests that can still meet theirs.
func rejectLate(request *flow.Request) *apierror.Error {
	if request.Deadline.IsZero() {
		return nil
	}
	late := time.Until(request.Deadline) - request.Placement.FirstToken
	if late >= 0 {
		return nil
	}
	request.Placement.Handle.Done(false)
	return apierror.ServiceUnavailable("deadline", max(-late, time.Second), "the first token is expected in %s, after the deadline", request.Placement.FirstToken.Round(time.Millisecond))
}
