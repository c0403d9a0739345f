// Package pipeline connects the computing stages by bounded rings.
//
//	accept ─▶ [ring] authenticate ─▶ [ring] admit ─▶ [ring] place ─▶ dispatch, relay, settle
//
// A new stage needs its own package and one line in the daemon, which assembles the stages.
package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/ring"
)

// Config is the configuration of a Pipeline.
type Config struct {
	// Capacity bounds each ring.
	Capacity int
	// Stages are the computing stages in order.
	Stages []flow.Stage
}

// DefaultCapacity is the default of Config.Capacity.
const DefaultCapacity = 1024

// Pipeline runs the stages.
type Pipeline struct {
	stages  []flow.Stage
	rings   []*ring.Ring[*flow.Request]
	running sync.WaitGroup
	// stopped is closed when all loops have ended.
	stopped chan struct{}
}

// New connects the stages; Start runs them.
func New(cfg Config) *Pipeline {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	p := &Pipeline{stages: cfg.Stages, stopped: make(chan struct{})}
	for _, stage := range cfg.Stages {
		p.rings = append(p.rings, ring.New[*flow.Request](ring.Config{Name: stage.Name(), Capacity: cfg.Capacity}))
	}
	return p
}

// Start runs the stages until ctx is done.
func (p *Pipeline) Start(ctx context.Context) {
	for i, stage := range p.stages {
		p.running.Go(func() { stage.Loop(ctx, p.rings[i], p.next(i)) })
	}
	go p.awaitStages()
}

// awaitStages waits until all loops have ended and closes stopped.
func (p *Pipeline) awaitStages() {
	p.running.Wait()
	close(p.stopped)
}

// Wait waits until all stages have ended.
func (p *Pipeline) Wait() { <-p.stopped }

// next returns the function that passes a request from a stage to the next one.
func (p *Pipeline) next(stage int) func(*flow.Request) {
	if stage == len(p.stages)-1 {
		return (*flow.Request).Pass
	}
	return func(request *flow.Request) { p.enqueue(stage+1, request) }
}

func (p *Pipeline) enqueue(stage int, request *flow.Request) {
	if !p.rings[stage].TryPush(request) {
		request.Refuse(apierror.TooManyRequests("ring_full", time.Second, "stage %s has no room", p.stages[stage].Name()))
	}
}

// Run passes a request through all stages. It returns the error with which a stage rejected it, or nil if
// the request may be dispatched.
func (p *Pipeline) Run(request *flow.Request) *apierror.Error {
	p.enqueue(0, request)
	select {
	case refusal := <-request.Decision():
		return refusal
	case <-p.stopped:
	}
	// All loops have ended, so no stage will decide on the request. It may have been decided just before.
	select {
	case refusal := <-request.Decision():
		return refusal
	default:
		return apierror.ServiceUnavailable("stopping", time.Second, "this entry box is stopping")
	}
}

// State returns the states of the rings.
func (p *Pipeline) State() []ring.State {
	states := make([]ring.State, len(p.rings))
	for i, r := range p.rings {
		states[i] = r.State()
	}
	return states
}
