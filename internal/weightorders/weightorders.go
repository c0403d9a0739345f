// Package weightorders brings the runners to the weight versions that operators declare.
//
// One box at a time sends the orders, under a lease in the platform's log (package orderlease),
// since runners do not check which box an order comes from. An order names the incarnation of its
// runner and the number of orders that this runner had accepted before. An order that is executed
// late therefore finds another number and is rejected. An order without an answer may have been
// accepted, so the runner is polled for its state before it is ordered again.
//
// Only a few runners load at the same time, because more would slow each other down and leave too
// few to serve. Those with the oldest weights come first, and among these those with the least
// work. Runs in flight at a runner end before it loads.
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
	// pollInterval is the time between two polls of a loading runner. Each poll costs the runner
	// time, and its report is 100 to 200 ms old anyway.
	pollInterval = 120 * time.Millisecond
	// minLoadTime is the shortest duration of a load; no runner is polled earlier.
	minLoadTime = 1100 * time.Millisecond
	// initialLoadEstimate is the estimated duration of a load before any has been observed,
	// including the runs that end before it. loadSmoothing is the weight of the newest observation.
	initialLoadEstimate = 1400 * time.Millisecond
	loadSmoothing       = 0.3
	// retryDelay is the pause before a runner whose order failed gets another.
	retryDelay = 700 * time.Millisecond
	// pauseBeforeOrder is how long a runner gets no new calls before it is ordered, so that all
	// boxes know of the pause. Runs in flight then end at the runner, which starts loading as soon
	// as they have; its own report would show that 100 ms late.
	pauseBeforeOrder = 200 * time.Millisecond
	// slotInterval is the time between two checks for a free loading slot.
	slotInterval = 30 * time.Millisecond
)

// runnersPerLoad limits how many runners of a model load at the same time: one in five. With
// more, each load is slower and fewer runners are left to serve. With fewer, older weights serve
// for longer.
const runnersPerLoad = 5

// phase is the state of a runner with a task.
type phase uint8

const (
	// pausing runners get no new calls.
	pausing phase = iota + 1
	// loading runners have received an order.
	loading
)

// progress is a phase and the time at which it began.
type progress struct {
	phase phase
	since time.Time
}

// task is to bring one runner to a version of a model's weights.
type task struct {
	server  fleet.Server
	model   string
	version int
	// maxLoading is how many runners of the model may load at the same time.
	maxLoading int
}

// Controller sends the orders while this box holds the lease.
type Controller struct {
	cfg Config

	mu sync.Mutex
	// tasks holds the progress of runners with a task, by incarnation, and retryAt when runners
	// whose task failed may get another.
	tasks   map[string]progress
	retryAt map[string]time.Time
	// loadEstimate is the estimated duration of a load, from recent ones.
	loadEstimate time.Duration
	orders       sync.WaitGroup
}

// New returns a controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, tasks: map[string]progress{}, retryAt: map[string]time.Time{}, loadEstimate: initialLoadEstimate}
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
	for _, model := range c.cfg.Models() {
		version := c.cfg.TargetVersion(model)
		behind := c.cfg.Fleet.ServersBehind(model, version)
		if len(behind) == 0 {
			continue
		}
		if _, permitted := c.cfg.Lease.Permit(ctx); !permitted {
			return
		}
		maxLoading := (c.cfg.Fleet.CountHolders(model) + runnersPerLoad - 1) / runnersPerLoad
		for _, server := range behind {
			c.start(ctx, task{server, model, version, maxLoading})
		}
	}
}

// start starts a task for one runner if there is a slot. The pause of a runner begins shortly
// before the load of another ends, so that loads follow each other without a gap.
func (c *Controller) start(ctx context.Context, t task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := t.server.Incarnation
	if c.tasks[name].phase != 0 || boottime.Now().Before(c.retryAt[name]) || c.occupied() >= t.maxLoading {
		return
	}
	delete(c.retryAt, name)
	c.tasks[name] = progress{pausing, boottime.Now()}
	c.orders.Go(func() { c.runLoad(ctx, t) })
}

// countPhase returns the number of runners in a phase. The caller holds mu.
func (c *Controller) countPhase(wanted phase) int {
	count := 0
	for _, reached := range c.tasks {
		if reached.phase == wanted {
			count++
		}
	}
	return count
}

// occupied returns the number of runners with a task, except those whose loads are about to end.
// The caller holds mu.
func (c *Controller) occupied() int {
	count := 0
	for _, reached := range c.tasks {
		if reached.phase == pausing || boottime.Since(reached.since) < c.loadEstimate-pauseBeforeOrder {
			count++
		}
	}
	return count
}
