package admit_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/admit"
	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/ring"
)

// stageRun runs the stage and records the admitted requests in order.
type stageRun struct {
	stage    *admit.Stage
	in       *ring.Ring[*flow.Request]
	admitted []*flow.Request
	limit    int
	stop     context.CancelFunc
}

func startStage(limit int) *stageRun {
	g := &stageRun{in: ring.New[*flow.Request](ring.Config{Capacity: 1000}), limit: limit}
	g.stage = admit.New(admit.Config{InFlightLimit: func() int { return g.limit }})
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	go g.stage.Loop(ctx, g.in, func(request *flow.Request) { g.admitted = append(g.admitted, request) })
	return g
}

var snapshot = func() *config.Snapshot {
	entries, err := (&config.File{Limits: config.Limits{QueueLength: 50}}).Entries()
	if err != nil {
		panic(err)
	}
	made, err := config.NewSnapshot(0, entries)
	if err != nil {
		panic(err)
	}
	return made
}()

func organisation(name string, share int) *config.Organisation {
	return &config.Organisation{Name: name, Share: share, MaxInFlight: 100}
}

func (g *stageRun) send(ctx context.Context, owner *config.Organisation, priority config.Priority) *flow.Request {
	request := flow.NewRequest(ctx)
	request.Kind, request.Organisation, request.Priority, request.Snapshot = flow.KindModel, owner, priority, snapshot
	g.in.TryPush(request)
	return request
}

// order returns the organisations of the admitted requests, one letter each.
func (g *stageRun) order() string {
	var names strings.Builder
	for _, request := range g.admitted {
		names.WriteString(request.Organisation.Name)
	}
	return names.String()
}

// finish releases the first admitted requests one after the other, so that others are admitted.
func (g *stageRun) finish(count int) {
	for i := range count {
		g.admitted[i].Release()
		synctest.Wait()
	}
}

func TestOrderByUrgencyAndShare(t *testing.T) {
	type sent struct {
		name     string
		share    int
		priority config.Priority
		count    int
	}
	cases := []struct {
		name string
		sent []sent
		want string
	}{
		{"first come, first served in one organisation", []sent{{"a", 1, config.PriorityNormal, 3}}, "aaa"},
		{"shares 2 to 1", []sent{{"a", 2, config.PriorityNormal, 6}, {"b", 1, config.PriorityNormal, 3}}, "abaabaaba"},
		{"a large organisation does not delay a small one's instant request", []sent{{"a", 8, config.PriorityNormal, 6}, {"b", 1, config.PriorityInstant, 1}}, "baaaaaa"},
		{"reviews last", []sent{{"r", 8, config.PriorityReview, 2}, {"a", 1, config.PriorityNormal, 2}, {"i", 1, config.PriorityInstant, 1}}, "iaarr"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startStage(1)
				defer g.stop()
				ctx := t.Context()
				blocker := g.send(ctx, organisation("-", 1), config.PriorityInstant)
				synctest.Wait()
				total := 0
				for _, s := range c.sent {
					for range s.count {
						g.send(ctx, organisation(s.name, s.share), s.priority)
						total++
					}
				}
				synctest.Wait()
				blocker.Release()
				synctest.Wait()
				for i := 1; i < total; i++ {
					g.admitted[i].Release()
					synctest.Wait()
				}
				NewWithT(t).Expect(g.order()).To(Equal("-" + c.want))
			})
		})
	}
}

func TestIdleOrganisationsAccumulateNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startStage(1)
		defer g.stop()
		a, b := organisation("a", 1), organisation("b", 1)
		for range 10 {
			g.send(t.Context(), a, config.PriorityNormal)
		}
		synctest.Wait()
		g.finish(6)
		for range 4 {
			g.send(t.Context(), b, config.PriorityNormal)
		}
		synctest.Wait()
		for i := 6; i < 13; i++ {
			g.admitted[i].Release()
			synctest.Wait()
		}
		NewWithT(t).Expect(g.order()[7:]).To(Equal("bababab"), "b gets every second slot, not the next four")
	})
}

func TestReviewsLeaveCapacityForInstantRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := startStage(10)
		defer g.stop()
		reviews, interactive := organisation("r", 1), organisation("p", 1)
		for range 20 {
			g.send(t.Context(), reviews, config.PriorityReview)
		}
		synctest.Wait()
		w.Expect(g.order()).To(Equal("rrrrrrrr"), "reviews use 8 of 10 slots")
		g.send(t.Context(), interactive, config.PriorityInstant)
		synctest.Wait()
		w.Expect(g.order()).To(HaveSuffix("p"))
	})
}

func TestReviewsDoNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startStage(1)
		defer g.stop()
		interactive := organisation("p", 1)
		g.send(t.Context(), interactive, config.PriorityNormal)
		synctest.Wait()
		g.send(t.Context(), organisation("r", 1), config.PriorityReview)
		// At least one normal request is waiting at any time.
		g.send(t.Context(), interactive, config.PriorityNormal)
		for next := range 100 {
			g.send(t.Context(), interactive, config.PriorityNormal)
			time.Sleep(time.Second)
			g.admitted[next].Release()
			synctest.Wait()
		}
		NewWithT(t).Expect(g.order()).To(ContainSubstring("r"))
	})
}

func TestLimitsAreEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := startStage(1)
		defer g.stop()
		small := organisation("s", 1)
		small.MaxInFlight = 2
		var requests []*flow.Request
		for range 3 {
			requests = append(requests, g.send(t.Context(), small, config.PriorityNormal))
		}
		synctest.Wait()
		refusal := <-requests[2].Decision()
		w.Expect(refusal.Code).To(Equal("organisation_limit"))
		w.Expect(refusal.Outcome).To(Equal(apierror.NotRun))
		w.Expect(refusal.RetryAfterSeconds()).To(BeNumerically(">=", 1))
		for range 60 {
			requests = append(requests, g.send(t.Context(), organisation("l", 1), config.PriorityNormal))
		}
		synctest.Wait()
		last := <-requests[len(requests)-1].Decision()
		w.Expect(last.Code).To(Equal("queue_full"))
	})
}

func TestCanceledRequestsTakeNoCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := startStage(1)
		defer g.stop()
		ctx, cancel := context.WithCancel(t.Context())
		g.send(t.Context(), organisation("a", 1), config.PriorityNormal)
		canceled := g.send(ctx, organisation("b", 1), config.PriorityNormal)
		g.send(t.Context(), organisation("c", 1), config.PriorityNormal)
		synctest.Wait()
		cancel()
		g.admitted[0].Release()
		synctest.Wait()
		w.Expect(g.order()).To(Equal("ac"))
		w.Expect((<-canceled.Decision()).Code).To(Equal("caller_gone"))
		w.Expect(g.stage.State().InFlight).To(Equal(1))
	})
}
