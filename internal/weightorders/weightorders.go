// Package weightorders brings the runners to the weight versions that operators declare.
//
// One box at a time sends the orders, under a lease in the platform's log (package orderlease),
// since runners do not check which box an order comes from. An order names the incarnation of its
// runner and the number of orders that this runner had accepted before. An order that is executed
// late therefore finds another number and is rejected. An order without an answer may have been
// accepted, so the runner is polled for its state before it is ordered again.
//
// Only a few runners load at the same time, because more would slow each other down and leave too
// few to serve. Others get no new calls meanwhile and drain, so that one of them is ready when a
// load ends. Package loadpace decides how many. Runners with the oldest weights come first, and
// among these those with the least work. Runs in flight at a runner end before it loads.
package weightorders

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadpace"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Errors of an order that was certainly not accepted.
var (
	// ErrConflict reports that the runner is executing another order, or had accepted more orders
	// than expected.
	ErrConflict = merry.Sentinel("runner has accepted other orders")
	// ErrOtherIncarnation reports that another runner, or another incarnation of this one, answers
	// at the address.
	ErrOtherIncarnation = merry.Sentinel("another incarnation answers at the address")
	// ErrRefused reports that the runner does not accept such an order.
	ErrRefused = merry.Sentinel("runner refused the order")
)

// Report is the state that a runner reports.
type Report struct {
	// Weights are the loaded versions, by model.
	Weights map[string]int
	// Busy reports that an order is being executed.
	Busy bool
	// Orders is the number of orders accepted in this incarnation.
	Orders int64
}

// Order instructs a runner to load a version of a model.
type Order struct {
	Model   string
	Version int
	// Holder is the name of the box that sends the order, and Fence the fencing token of its lease.
	Holder string
	Fence  int64
	// AfterOrders is the number of orders that the runner must have accepted before this one.
	AfterOrders int64
}

// RunnerClient sends requests to runners.
type RunnerClient interface {
	// Report requests the state of a runner.
	Report(ctx context.Context, server fleet.Server) (Report, error)
	// Order sends an order. done reports that the runner already has the version.
	Order(ctx context.Context, server fleet.Server, order Order) (done bool, err error)
}

// Config configures a Controller.
type Config struct {
	Runners RunnerClient
	Fleet   *fleet.Fleet
	Lease   *orderlease.Lease
	Logger  zerolog.Logger
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// OnPause is called when a runner stops getting new calls; it may be nil.
	OnPause func()
	// Holder is the name of this box in orders.
	Holder string
	// Models lists the models that have a declared version, and TargetVersion returns that version.
	Models        func() []string
	TargetVersion func(model string) int
	// TimeLeft returns the time until answers by a version are worthless, and false if that is
	// unknown; nil means that it always is.
	TimeLeft func(model string, version int) (time.Duration, bool)
	// Limits returns what calls may use at one runner of a service; nil means that it has no
	// limits.
	Limits func(service string) loadpace.Limits
	// Reaches reports whether this box reaches the servers of a service; nil means that it does.
	Reaches func(service string) bool
	// LoadsKnown reports whether this box knows the load of the other boxes; nil means that it
	// doesn't.
	LoadsKnown func() bool
}

const (
	// scanInterval is the time between two scans for runners with an older version.
	scanInterval = 100 * time.Millisecond
	// idleScanInterval is the same interval in a box that currently sends no orders.
	idleScanInterval = 250 * time.Millisecond
	// callTimeout bounds a request to a runner.
	callTimeout = 800 * time.Millisecond
	// loadTimeout is how long a runner may take to load before the task ends and a later scan
	// starts a new one. A load takes 1.1 s, and several times that when many runners load.
	loadTimeout = 6 * time.Second
	// pauseTimeout is how long a runner may wait for its order.
	pauseTimeout = 6 * time.Second
	// pollInterval is the time between two polls of a runner if it isn't known when its load began.
	pollInterval = 120 * time.Millisecond
	// maxDrainWait is how long a runner that has its order is not polled because of its known calls.
	maxDrainWait = time.Second
	// retryDelay is the pause before a runner whose order failed gets another.
	retryDelay = 700 * time.Millisecond
	// pauseBeforeOrder is how long a runner gets no new calls before it is ordered, so that all
	// boxes know of the pause.
	pauseBeforeOrder = 200 * time.Millisecond
	// drainLimit is how long a runner may drain before it takes a loading slot from runners that
	// have drained. It finishes the runs that are left and then loads.
	drainLimit = 3 * time.Second
	// slotInterval is the time between two checks for a free loading slot and for the end of the
	// last call, with up to tasksPerInterval tasks. With more it is longer in proportion.
	slotInterval     = 30 * time.Millisecond
	tasksPerInterval = 2000
)

// phase is the state of a runner with a task.
type phase uint8

const (
	// pausing runners get no new calls.
	pausing phase = iota + 1
	// loading runners have received an order.
	loading
	// watched runners may have received an order of another box.
	watched
)

// progress is the state of a task.
type progress struct {
	phase  phase
	runner orderlease.Runner
	model  string
	zone   string
	// held is the version that the runner had when the task began.
	held  int
	since time.Time
	// drained means that the runner has no known calls.
	drained bool
}

// task is to bring one runner to a version of a model's weights.
type task struct {
	server fleet.Server
	model  string
	// held is the version that the runner has, and version that which it is to load.
	held, version int
	// started is when the task began, and state the state of the model's loads.
	started time.Time
	state   *modelState
}

// Controller sends the orders while this box holds the lease.
type Controller struct {
	cfg Config

	mu sync.Mutex
	// tasks holds the progress of runners with a task, by incarnation, and retryAt when runners
	// whose task failed may get another.
	tasks   map[string]progress
	retryAt map[string]time.Time
	// models holds the state of the loads of each model.
	models map[string]*modelState
	// zones holds whether the runners of each zone respond.
	zones  map[string]*zoneReach
	orders sync.WaitGroup

	// minoritySince is since when more than half of the runners are to load and out of reach. Only
	// the scans use it.
	minoritySince time.Time
}

// New returns a controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, tasks: map[string]progress{}, retryAt: map[string]time.Time{}, models: map[string]*modelState{}, zones: map[string]*zoneReach{}}
}

// Loop scans for runners with an older version until ctx ends.
func (c *Controller) Loop(ctx context.Context) {
	defer c.orders.Wait()
	for waiting.For(ctx, c.scanPause()) {
		c.scan(ctx)
	}
}

// scanPause returns the interval between scans, which is longer in a box that follows another one
// and sends no orders.
func (c *Controller) scanPause() time.Duration {
	if c.cfg.Lease.Idle() {
		return idleScanInterval
	}
	return scanInterval
}

func (c *Controller) scan(ctx context.Context) {
	holds := c.cfg.Lease.Held()
	if !holds && (c.cfg.Lease.Idle() || !c.cfg.Lease.Free()) {
		return
	}
	models := c.cfg.Models()
	reachable := make([][]fleet.BehindServer, len(models))
	reached, behind, runners := 0, 0, 0
	for i, model := range models {
		servers := c.cfg.Fleet.ServersBehind(model, c.cfg.TargetVersion(model))
		behind += len(servers)
		if len(servers) > 0 {
			runners += c.cfg.Fleet.CountHolders(model)
		}
		reachable[i] = c.reachable(ctx, servers, holds)
		reached += len(reachable[i])
	}
	if behind == 0 {
		return
	}
	if !c.mayHold(reached, behind-reached, runners) {
		c.cfg.Lease.Release(ctx)
		return
	}
	for i, model := range models {
		if len(reachable[i]) == 0 {
			continue
		}
		if !c.hold(ctx) {
			return
		}
		c.startTasks(ctx, model, c.cfg.TargetVersion(model), reachable[i])
	}
}

// startTasks starts tasks for as many runners as may be out of service.
func (c *Controller) startTasks(ctx context.Context, model string, version int, behind []fleet.BehindServer) {
	work := c.cfg.Fleet.ModelWork(model)
	listed := c.cfg.Fleet.CountHolders(model)
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.model(model)
	c.updatePace(state, model, listed, work, behind)
	open := c.watchClosed(ctx, state, model, version, behind)
	next := c.newSelection(state, model, work, behind)
	behind = open
	for len(behind) > 0 {
		count := countSameVersion(behind)
		for _, exceed := range []bool{false, true} {
			for _, server := range behind[:count] {
				t := task{server: server.Server, held: server.Held, model: model, version: version, started: boottime.Now(), state: state}
				if next.allows(server.Zone, exceed) && c.start(ctx, t) {
					next.add(server.Zone)
				}
			}
		}
		behind = behind[count:]
	}
}

// start starts a task for one runner, and reports whether it did. The caller holds mu.
func (c *Controller) start(ctx context.Context, t task) bool {
	name := t.server.Incarnation
	if c.tasks[name].phase != 0 || boottime.Now().Before(c.retryAt[name]) {
		return false
	}
	delete(c.retryAt, name)
	c.tasks[name] = progress{phase: pausing, runner: leaseRunner(t.server), model: t.model, zone: t.server.Zone, held: t.held, since: t.started}
	t.state.pausing++
	c.orders.Go(func() { c.runLoad(ctx, t) })
	return true
}

// end removes a task, whose runner gets another one after retryDelay if it failed. It returns the
// pace for the log.
func (c *Controller) end(t task, err error) paceReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := t.state
	report := paceReport{state.pausing + state.loading, state.pace.Out, state.latest, state.known}
	name := t.server.Incarnation
	if c.tasks[name].phase == pausing {
		state.pausing--
	} else {
		state.loading--
	}
	delete(c.tasks, name)
	if err != nil {
		c.retryAt[name] = boottime.Now().Add(retryDelay)
	}
	return report
}
