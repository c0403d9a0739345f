// Package weightorders brings the runners to the weight versions that operators
// name.
//
// One box at a time gives the orders, by a lease through the platform's log
// (package orderlease), since runners do not check who orders them. An order names
// the life of the runner that it is for and how many orders that runner had taken,
// so an order that is carried out late finds another count and is refused. One that
// got no answer may have been taken: the runner is asked what it holds before it is
// ordered again.
//
// Few runners load at once, because more would slow each other down and leave too
// few to serve. Those with the oldest weights go first, of these those with the least
// work; a run that is under way ends before its runner loads.
package weightorders

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Errors of an order that was certainly not taken.
var (
	// ErrConflict says that the runner is carrying out another order, or had taken
	// more orders than expected.
	ErrConflict = merry.Sentinel("the runner has other orders")
	// ErrOtherIncarnation says that another runner, or another life of it, answers there.
	ErrOtherIncarnation = merry.Sentinel("another incarnation answers")
	// ErrRefused says that the runner does not take such an order.
	ErrRefused = merry.Sentinel("the runner refused the order")
)

// Report is what a runner says of itself.
type Report struct {
	// Weights are the versions of its models.
	Weights map[string]int
	// Busy says that an order is being carried out.
	Busy bool
	// Orders counts the orders that it has taken in this life.
	Orders int64
}

// Order asks a runner to load a version of a model.
type Order struct {
	Model   string
	Version int
	// Holder names the box that orders, Fence the tenure of the lease by
	// which it does.
	Holder string
	Fence  int64
	// AfterOrders is the number of orders that the runner must have taken.
	AfterOrders int64
}

// RunnerClient speaks to runners.
type RunnerClient interface {
	// Report asks a runner for its state.
	Report(ctx context.Context, server fleet.Server) (Report, error)
	// Order gives an order. done says that the runner already holds the version.
	Order(ctx context.Context, server fleet.Server, order Order) (done bool, err error)
}

// Config sets up a Controller.
type Config struct {
	Runners RunnerClient
	Fleet   *fleet.Fleet
	Lease   *orderlease.Lease
	Logger  zerolog.Logger
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// OnPause is told that a runner gets no new calls from now on; it may be nil.
	OnPause func()
	// Holder names this box in orders.
	Holder string
	// Models lists the models with a named version, and Wanted gives it.
	Models        func() []string
	TargetVersion func(model string) int
}

const (
	// lookEvery is the time between two looks for runners that are behind.
	lookEvery = 100 * time.Millisecond
	// idleLookEvery is the same in a box that gives no orders now.
	idleLookEvery = 250 * time.Millisecond
	// callLimit bounds a question or an order to a runner.
	callLimit = 800 * time.Millisecond
	// loadLimit is how long a runner may take to load before it is looked at
	// anew; a load takes 1.1 s, and several times that when many load.
	loadLimit = 6 * time.Second
	// askEvery is the time between two questions to a loading runner. Each
	// question has a price; its report is 100 to 200 ms old anyway.
	askEvery = 120 * time.Millisecond
	// shortestLoad is how long a load takes at least; nobody asks before.
	shortestLoad = 1100 * time.Millisecond
	// firstLoad is how long a load is taken to last before any has been seen, with the
	// runs that end before it, and loadWeight the weight of the newest that was.
	firstLoad  = 1400 * time.Millisecond
	loadWeight = 0.3
	// retryAfter is the pause before a runner that failed an order gets another.
	retryAfter = 700 * time.Millisecond
	// pauseBefore is how long a runner gets no new calls before it is ordered, so that
	// all boxes learn of it. The runs under way then end at the runner, which loads as
	// soon as they have; its own report tells of that 100 ms late.
	pauseBefore = 200 * time.Millisecond
	// slotEvery is the time between two looks for a free place to load.
	slotEvery = 30 * time.Millisecond
)

// runnersPerLoad gives how many runners load at once: one of five. More of them load
// more slowly, and fewer are left to serve; fewer leave older weights answering for
// longer.
const runnersPerLoad = 5

// phase says how far a runner under orders is.
type phase uint8

const (
	// pausing runners get no new calls.
	pausing phase = iota + 1
	// loading runners have an order.
	loading
)

// progress is a phase and when it began.
type progress struct {
	phase phase
	since time.Time
}

// task is to bring one runner to a version of a model's weights.
type task struct {
	server  fleet.Server
	model   string
	version int
	// atOnce is how many runners of the model may load at once.
	atOnce int
}

// Controller gives the orders while the lease lets this box.
type Controller struct {
	cfg Config

	mu sync.Mutex
	// under are the runners under orders, and how far each is; notBefore holds
	// those back that failed one.
	under     map[string]progress
	notBefore map[string]time.Time
	// usualLoad is how long loads lately took.
	usualLoad time.Duration
	orders    sync.WaitGroup
}

// New makes a giver.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, under: map[string]progress{}, notBefore: map[string]time.Time{}, usualLoad: firstLoad}
}

// Loop looks for runners that are behind until ctx ends.
func (g *Controller) Loop(ctx context.Context) {
	defer g.orders.Wait()
	for waiting.For(ctx, g.pauseBetweenLooks()) {
		g.look(ctx)
	}
}

// pauseBetweenLooks is longer in a box that another one reads for, which gives no orders.
func (g *Controller) pauseBetweenLooks() time.Duration {
	if g.cfg.Lease.Idle() {
		return idleLookEvery
	}
	return lookEvery
}

func (g *Controller) look(ctx context.Context) {
	for _, model := range g.cfg.Models() {
		version := g.cfg.TargetVersion(model)
		behind := g.cfg.Fleet.Behind(model, version)
		if len(behind) == 0 {
			continue
		}
		if _, may := g.cfg.Lease.Permit(ctx); !may {
			return
		}
		atOnce := (g.cfg.Fleet.Holders(model) + runnersPerLoad - 1) / runnersPerLoad
		for _, server := range behind {
			g.begin(ctx, task{server, model, version, atOnce})
		}
	}
}

// begin starts with one runner if there is room. A runner's pause begins shortly
// before a load of another ends, so that loads follow each other at once.
func (g *Controller) begin(ctx context.Context, t task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	name := t.server.Incarnation
	if g.under[name].phase != 0 || boottime.Now().Before(g.notBefore[name]) || g.occupied() >= t.atOnce {
		return
	}
	delete(g.notBefore, name)
	g.under[name] = progress{pausing, boottime.Now()}
	g.orders.Go(func() { g.runLoad(ctx, t) })
}

// count counts the runners in a phase. The caller holds mu.
func (g *Controller) count(wanted phase) int {
	count := 0
	for _, reached := range g.under {
		if reached.phase == wanted {
			count++
		}
	}
	return count
}

// occupied counts the runners under orders but for those whose loads are about to
// end. The caller holds mu.
func (g *Controller) occupied() int {
	count := 0
	for _, reached := range g.under {
		if reached.phase == pausing || boottime.Since(reached.since) < g.usualLoad-pauseBefore {
			count++
		}
	}
	return count
}
