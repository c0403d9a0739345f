// Package pipeline joins the computing stages with bounded rings.
//
//	accept ─▶ [ring] authenticate ─▶ [ring] admit ─▶ [ring] place ─▶ dispatch, relay, settle
//
// A new stage is one package and one line where the daemon assembles them.
package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/ring"
)

// Config sets up a Pipeline.
type Config struct {
	// Capacity bounds each ring.
	Capacity int
	// Stages are the computing stages in order.
	Stages []flow.Stage
}

// DefaultCapacity is the capacity where none is given.
const DefaultCapacity = 1024

// Pipeline runs the stages.
type Pipeline struct {
	stages []flow.Stage
	rings  []*ring.Ring[*flow.Request]
	ended  sync.WaitGroup
	// stopped is closed once all loops have ended.
	stopped chan struct{}
}

// New joins the stages; they do nothing before Start.
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

// Start runs the stages until ctx ends.
func (p *Pipeline) Start(ctx context.Context) {
	for i, stage := range p.stages {
		p.ended.Go(func() { stage.Loop(ctx, p.rings[i], p.next(i)) })
	}
	go p.loopEnd()
}

// loopEnd waits for the end of all loops.
func (p *Pipeline) loopEnd() {
	p.ended.Wait()
	close(p.stopped)
}

// Wait waits until all stages have ended.
func (p *Pipeline) Wait() { <-p.stopped }

// next gives the function that hands a request from a stage to the one after.
func (p *Pipeline) next(stage int) func(*flow.Request) {
	if stage == len(p.stages)-1 {
		return (*flow.Request).Pass
	}
	return func(request *flow.Request) { p.offer(stage+1, request) }
}

func (p *Pipeline) offer(stage int, request *flow.Request) {
	if !p.rings[stage].TryPush(request) {
		request.Refuse(apierror.Busy("ring_full", time.Second, "stage %s has no room", p.stages[stage].Name()))
	}
}

// Run takes a request through all stages and gives the refusal, or nil when
// the request may be dispatched.
func (p *Pipeline) Run(request *flow.Request) *apierror.Error {
	p.offer(0, request)
	select {
	case refusal := <-request.Decision():
		return refusal
	case <-p.stopped:
	}
	// All loops have ended, so nobody decides on the request any more; it may
	// have been decided just before.
	select {
	case refusal := <-request.Decision():
		return refusal
	default:
		return apierror.NotReady("stopping", time.Second, "this entry box is stopping")
	}
}

// State describes the rings.
func (p *Pipeline) State() []ring.State {
	states := make([]ring.State, len(p.rings))
	for i, r := range p.rings {
		states[i] = r.State()
	}
	return states
}
