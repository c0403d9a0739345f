package pipeline_test

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/pipeline"
	"github.com/cometlock/cometlock/internal/ring"
)

// stage is a stage that calls handle for each request.
type stage struct {
	name   string
	handle func(request *flow.Request, next func(*flow.Request))
}

func (s stage) Name() string { return s.name }

func (s stage) Loop(ctx context.Context, in *ring.Ring[*flow.Request], next func(*flow.Request)) {
	for {
		request, err := in.Pop(ctx)
		if err != nil {
			return
		}
		s.handle(request, next)
	}
}

func pass(request *flow.Request, next func(*flow.Request)) { next(request) }

func TestRequestsPassAllStagesOrAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var visited []string
		record := func(name string) func(*flow.Request, func(*flow.Request)) {
			return func(request *flow.Request, next func(*flow.Request)) {
				visited = append(visited, name)
				if request.Model == name {
					request.Refuse(apierror.BadRequest("no", "refused by %s", name))
					return
				}
				next(request)
			}
		}
		p := pipeline.New(pipeline.Config{Stages: []flow.Stage{stage{"a", record("a")}, stage{"b", record("b")}}})
		ctx, stop := context.WithCancel(context.Background())
		p.Start(ctx)
		g.Expect(p.Run(flow.NewRequest(ctx))).To(BeNil())
		refused := flow.NewRequest(ctx)
		refused.Model = "a"
		g.Expect(p.Run(refused).Message).To(Equal("refused by a"))
		g.Expect(visited).To(Equal([]string{"a", "b", "a"}))
		stop()
		p.Wait()
	})
}

// When the box stops, a request that waits in a stage must not hang.
func TestStopRejectsWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hold := func(*flow.Request, func(*flow.Request)) {}
		p := pipeline.New(pipeline.Config{Stages: []flow.Stage{stage{"a", pass}, stage{"hold", hold}}})
		ctx, stop := context.WithCancel(context.Background())
		p.Start(ctx)
		ended := make(chan *apierror.Error)
		go func() { ended <- p.Run(flow.NewRequest(context.Background())) }()
		synctest.Wait()
		stop()
		refusal := <-ended
		g.Expect(refusal.Code).To(Equal("stopping"))
		g.Expect(refusal.Outcome).To(Equal(apierror.NotRun))
	})
}

func TestFullRingRejectsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		block := make(chan struct{})
		p := pipeline.New(pipeline.Config{Capacity: 1, Stages: []flow.Stage{stage{"slow", func(request *flow.Request, next func(*flow.Request)) {
			<-block
			next(request)
		}}}})
		ctx, stop := context.WithCancel(context.Background())
		p.Start(ctx)
		results := make(chan *apierror.Error, 3)
		for range 3 {
			go func() { results <- p.Run(flow.NewRequest(ctx)) }()
			synctest.Wait()
		}
		refusal := <-results
		g.Expect(refusal.Code).To(Equal("ring_full"))
		g.Expect(refusal.RetryAfterSeconds()).To(Equal(1))
		close(block)
		g.Expect(<-results).To(BeNil())
		g.Expect(<-results).To(BeNil())
		stop()
		p.Wait()
	})
}
