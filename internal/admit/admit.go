// Package admit is the stage that decides when a request may run.
//
// Requests wait here, not at the engines, because only here the order can still
// change: the most urgent go first, and among them organisations by fair
// shares. An engine gets little more than its batch holds. Reviews may take
// only part of the room, so that an instant request never waits for a batch
// full of long ones.
//
// Shares need no message to a central place: the balancer spreads each
// organisation over the boxes of a zone, so a share that holds in every box
// holds in the zone.
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

// Config sets up a Stage.
type Config struct {
	// InFlightLimit gives how many model requests this box may have at the engines.
	InFlightLimit func() int
	// ReviewFraction is the part of the room that reviews may take.
	ReviewFraction float64
	// AgingInterval is how long a request waits before it becomes more urgent.
	AgingInterval time.Duration
}

// Defaults of Config.
const (
	DefaultReviewFraction = 0.8
	DefaultAgingInterval  = 30 * time.Second
)

// tick is how often the stage looks at what waits without being woken up.
const tick = 100 * time.Millisecond

// Stage holds the waiting requests.
type Stage struct {
	room       func() int
	reviewPart float64
	ageStep    time.Duration
	released   *ring.Ring[*ticket]
	queue      *queue
	// inFlight counts the requests passed on and not released; reviews those
	// of them that can wait; byName the requests of each organisation, waiting
	// ones included.
	inFlight int
	reviews  int
	byName   map[string]int
	// interval is the learnt time between two releases.
	interval    time.Duration
	lastRelease time.Time

	state atomic.Pointer[State]
}

// ticket is a request's claim on room.
type ticket struct {
	organisation string
	review       bool
	// passed is set once the request has left the queue.
	passed bool
}

// releasedCapacity bounds the ring of finished requests. The stage empties it
// at once; a full ring makes a finishing request wait for a moment.
const releasedCapacity = 1024

// New makes the stage.
func New(cfg Config) *Stage {
	if cfg.ReviewFraction == 0 {
		cfg.ReviewFraction = DefaultReviewFraction
	}
	if cfg.AgingInterval == 0 {
		cfg.AgingInterval = DefaultAgingInterval
	}
	s := &Stage{
		room: cfg.InFlightLimit, reviewPart: cfg.ReviewFraction, ageStep: cfg.AgingInterval,
		released: ring.New[*ticket](ring.Config{Name: "released", Capacity: releasedCapacity}),
		queue:    newQueue(), byName: map[string]int{},
	}
	s.state.Store(&State{})
	return s
}

// Name implements flow.Stage.
func (s *Stage) Name() string { return "admit" }

// Loop implements flow.Stage.
func (s *Stage) Loop(ctx context.Context, in *ring.Ring[*flow.Request], next func(*flow.Request)) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case request := <-in.Items():
			s.take(ctx, request, next)
		case done := <-s.released.Items():
			s.giveBack(done)
		case <-ticker.C:
			s.queue.age(time.Now(), s.ageStep)
		case <-ctx.Done():
			return
		}
		s.passOn(next)
		s.state.Store(&State{Waiting: s.queue.len(), InFlight: s.inFlight, Reviews: s.reviews, InFlightLimit: s.room()})
	}
}

func (s *Stage) take(ctx context.Context, request *flow.Request, next func(*flow.Request)) {
	if request.Canceled() {
		request.Refuse(flow.CallerGone())
		return
	}
	organisation := request.Organisation
	if s.byName[organisation.Name] >= organisation.MaxInFlight {
		request.Refuse(apierror.Busy("organisation_limit", s.expectedWait(), "the organisation has %d requests in flight, its limit", organisation.MaxInFlight))
		return
	}
	if s.queue.len() >= request.Snapshot.File().Limits.QueueLength {
		request.Refuse(apierror.Busy("queue_full", s.expectedWait(), "too many requests are waiting"))
		return
	}
	s.byName[organisation.Name]++
	claim := &ticket{organisation: organisation.Name, review: request.Priority == config.PriorityReview}
	request.OnRelease(func() {
		// When the stage has ended nobody counts any more.
		_ = s.released.Push(ctx, claim)
	})
	if request.Kind == flow.KindService {
		next(request) // plain services limit themselves; only the organisation's count holds
		return
	}
	s.queue.push(request, claim)
}

func (s *Stage) giveBack(done *ticket) {
	if s.byName[done.organisation]--; s.byName[done.organisation] <= 0 {
		delete(s.byName, done.organisation)
	}
	if !done.passed {
		return
	}
	s.inFlight--
	if done.review {
		s.reviews--
	}
	s.learn()
}

// passOn lets as many requests go as there is room for.
func (s *Stage) passOn(next func(*flow.Request)) {
	room := s.room()
	reviewRoom := max(1, int(s.reviewPart*float64(room)))
	for s.queue.len() > 0 && s.inFlight < room {
		first := s.queue.peek()
		if first.request.Canceled() {
			s.queue.pop()
			first.request.Refuse(flow.CallerGone())
			continue
		}
		if first.claim.review && s.reviews >= reviewRoom {
			return // all that wait behind a review are reviews
		}
		s.queue.pop()
		first.claim.passed = true
		s.inFlight++
		if first.claim.review {
			s.reviews++
		}
		next(first.request)
	}
}

// learnWeight is the weight of the newest interval between two releases.
const learnWeight = 0.05

func (s *Stage) learn() {
	now := time.Now()
	if !s.lastRelease.IsZero() {
		s.interval += time.Duration(learnWeight * float64(now.Sub(s.lastRelease)-s.interval))
	}
	s.lastRelease = now
}

// expectedWait is how long the queue takes to empty at the present pace, and at
// least a second: what Retry-After tells.
func (s *Stage) expectedWait() time.Duration {
	return max(time.Second, s.interval*time.Duration(s.queue.len()))
}

// State is the part of a state dump that describes the stage.
type State struct {
	Waiting       int `json:"waiting"`
	InFlight      int `json:"in_flight"`
	Reviews       int `json:"reviews"`
	InFlightLimit int `json:"room"`
}

// State describes the stage as it was after its last step.
func (s *Stage) State() State { return *s.state.Load() }
