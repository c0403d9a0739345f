// Package admit is the admission control stage: it queues requests and decides when each may run.
//
// Requests are queued here and not at the engines, because only here can they still be reordered: by
// priority, and within a priority by fair queueing among organisations. An engine gets little more
// than fits into its batch. Reviews may use only a fraction of the capacity, so that an instant
// request never waits for a batch full of long reviews.
//
// Fair shares need no central coordination: the load balancer distributes each organisation's requests
// over the boxes of a zone, so shares that hold in every box also hold in the zone.
package admit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/ring"
)

// Config is the configuration of a Stage.
type Config struct {
	// InFlightLimit returns how many model requests this box may have in flight at the engines.
	InFlightLimit func() int
	// ReviewFraction is the fraction of InFlightLimit that reviews may use.
	ReviewFraction float64
	// AgingInterval is how long a request waits before its priority is raised.
	AgingInterval time.Duration
}

// Defaults of Config.
const (
	DefaultReviewFraction = 0.8
	DefaultAgingInterval  = 30 * time.Second
)

// agingTick is the interval at which the stage raises the priority of waiting requests and checks for
// capacity without another event.
const agingTick = 100 * time.Millisecond

// Stage queues requests and admits them.
type Stage struct {
	inFlightLimit  func() int
	reviewFraction float64
	agingInterval  time.Duration
	released       *ring.Ring[*reservation]
	queue          *queue
	// inFlight is the number of requests that were admitted and not yet released, and reviews the
	// number of reviews among them. perOrganisation is the number of requests of each organisation,
	// including waiting ones.
	inFlight        int
	reviews         int
	perOrganisation map[string]int
	// interval is the moving average of the time between two releases.
	interval    time.Duration
	lastRelease time.Time

	state atomic.Pointer[State]
}

// reservation is the capacity that one request uses.
type reservation struct {
	organisation string
	review       bool
	// admitted is set when the request leaves the queue to run.
	admitted bool
}

// releasedCapacity bounds the ring of finished requests. The stage empties the ring immediately; while
// it is full, finishing requests block briefly.
const releasedCapacity = 1024

// New creates the stage.
func New(cfg Config) *Stage {
	if cfg.ReviewFraction == 0 {
		cfg.ReviewFraction = DefaultReviewFraction
	}
	if cfg.AgingInterval == 0 {
		cfg.AgingInterval = DefaultAgingInterval
	}
	s := &Stage{
		inFlightLimit: cfg.InFlightLimit, reviewFraction: cfg.ReviewFraction, agingInterval: cfg.AgingInterval,
		released: ring.New[*reservation](ring.Config{Name: "released", Capacity: releasedCapacity}),
		queue:    newQueue(), perOrganisation: map[string]int{},
	}
	s.state.Store(&State{})
	return s
}

// Name implements flow.Stage.
func (s *Stage) Name() string { return "admit" }

// Loop implements flow.Stage.
func (s *Stage) Loop(ctx context.Context, in *ring.Ring[*flow.Request], next func(*flow.Request)) {
	ticker := time.NewTicker(agingTick)
	defer ticker.Stop()
	for {
		select {
		case request := <-in.Items():
			s.enqueue(ctx, request, next)
		case done := <-s.released.Items():
			s.handleRelease(done)
		case <-ticker.C:
			s.queue.age(time.Now(), s.agingInterval)
		case <-ctx.Done():
			return
		}
		s.admitWaiting(next)
		s.state.Store(&State{Waiting: s.queue.len(), InFlight: s.inFlight, Reviews: s.reviews, InFlightLimit: s.inFlightLimit()})
	}
}

func (s *Stage) enqueue(ctx context.Context, request *flow.Request, next func(*flow.Request)) {
	if request.Canceled() {
		request.Refuse(request.CancelError(false))
		return
	}
	organisation := request.Organisation
	if s.perOrganisation[organisation.Name] >= organisation.MaxInFlight {
		request.Refuse(apierror.TooManyRequests("organisation_limit", s.expectedWait(), "the organisation has %d requests in flight, its limit", organisation.MaxInFlight))
		return
	}
	if s.queue.len() >= request.Snapshot.File().Limits.QueueLength {
		request.Refuse(apierror.TooManyRequests("queue_full", s.expectedWait(), "too many requests are waiting"))
		return
	}
	s.perOrganisation[organisation.Name]++
	reserved := &reservation{organisation: organisation.Name, review: request.Priority == config.PriorityReview}
	request.OnRelease(func() {
		// An error means that the stage has stopped and the counts no longer matter.
		_ = s.released.Push(ctx, reserved)
	})
	if request.Kind == flow.KindService {
		next(request) // plain services limit themselves; only the organisation's limit applies
		return
	}
	s.queue.push(request, reserved)
}

func (s *Stage) handleRelease(done *reservation) {
	if s.perOrganisation[done.organisation]--; s.perOrganisation[done.organisation] <= 0 {
		delete(s.perOrganisation, done.organisation)
	}
	if !done.admitted {
		return
	}
	s.inFlight--
	if done.review {
		s.reviews--
	}
	s.updateInterval()
}

// admitWaiting admits waiting requests until the limit is reached.
func (s *Stage) admitWaiting(next func(*flow.Request)) {
	limit := s.inFlightLimit()
	reviewLimit := max(1, int(s.reviewFraction*float64(limit)))
	for s.queue.len() > 0 && s.inFlight < limit {
		first := s.queue.peek()
		if first.request.Canceled() {
			s.queue.pop()
			first.request.Refuse(first.request.CancelError(false))
			continue
		}
		if first.reserved.review && s.reviews >= reviewLimit {
			return // all requests behind a review are reviews too
		}
		s.queue.pop()
		first.reserved.admitted = true
		s.inFlight++
		if first.reserved.review {
			s.reviews++
		}
		next(first.request)
	}
}

// intervalWeight is the weight of the newest sample in the moving average of interval.
const intervalWeight = 0.05

func (s *Stage) updateInterval() {
	now := time.Now()
	if !s.lastRelease.IsZero() {
		s.interval += time.Duration(intervalWeight * float64(now.Sub(s.lastRelease)-s.interval))
	}
	s.lastRelease = now
}

// expectedWait returns the value of Retry-After: the time to drain the queue at the current rate, and
// at least a second.
func (s *Stage) expectedWait() time.Duration {
	return max(time.Second, s.interval*time.Duration(s.queue.len()))
}

// State is the stage's part of a state dump.
type State struct {
	Waiting       int `json:"waiting"`
	InFlight      int `json:"in_flight"`
	Reviews       int `json:"reviews"`
	InFlightLimit int `json:"room"`
}

// State returns the state after the last event that the stage processed.
func (s *Stage) State() State { return *s.state.Load() }
