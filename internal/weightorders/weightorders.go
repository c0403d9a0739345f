// Package weightorders brings the runners to the weight versions that operators
// name.
//
// One box at a time gives the orders: the holder of a duty. A new holder first
// waits until no order of the one before can be about, since runners do not check
// who orders them. An order names the life of the runner that it is for and how
// many orders that runner had taken, so an order that is carried out late finds
// another count and is refused. One that got no answer may have been taken: the
// runner is asked what it holds before it is ordered again.
//
// Few runners load at once, because more would slow each other down and leave too
// few to serve. Those with the least work go first; a run that is under way ends
// before its runner loads.
package weightorders

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/duty"
	"github.com/cometlock/cometlock/internal/fleet"
)

// Duty is the number of the duty whose holder gives the orders.
const Duty = 0

// Errors of an order that was certainly not taken.
var (
	// ErrConflict says that the runner is carrying out another order, or had taken
	// more orders than expected.
	ErrConflict = merry.Sentinel("the runner has other orders")
	// ErrOtherLife says that another runner, or another life of it, answers there.
	ErrOtherLife = merry.Sentinel("another incarnation answers")
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
	// Holder names the box that orders, Fence its tenure of the duty.
	Holder string
	Fence  int64
	// AfterOrders is the number of orders that the runner must have taken.
	AfterOrders int64
}

// Runners speaks to runners.
type Runners interface {
	// Report asks a runner for its state.
	Report(ctx context.Context, server fleet.Server) (Report, error)
	// Order gives an order. done says that the runner already holds the version.
	Order(ctx context.Context, server fleet.Server, order Order) (done bool, err error)
}

// Config sets up a Giver.
type Config struct {
	Runners Runners
	Fleet   *fleet.Fleet
	Member  *duty.Member
	Logger  zerolog.Logger
	// Holder names this box in orders.
	Holder string
	// Models lists the models with a named version, and Wanted gives it.
	Models func() []string
	Wanted func(model string) (version int, since time.Time)
	// Settle is how long a new holder waits before its first order.
	Settle time.Duration
}

const (
	// lookEvery is the time between two looks for runners that are behind.
	lookEvery = 100 * time.Millisecond
	// callLimit bounds a question or an order to a runner.
	callLimit = 800 * time.Millisecond
	// loadLimit is how long a runner may take to load before it is looked at
	// anew; a load takes 1.1 s, and several times that when many load.
	loadLimit = 6 * time.Second
	// askEvery is the time between two questions to a loading runner. Each
	// question has a price; its report is 100 to 200 ms old anyway.
	askEvery = 250 * time.Millisecond
	// expectedLoad is about how long a load takes; nobody asks before.
	expectedLoad = 1200 * time.Millisecond
	// retryAfter is the pause before a runner that failed an order gets another.
	retryAfter = 700 * time.Millisecond
	// settleMargin is added to the time after which an earlier holder is silent.
	settleMargin = 300 * time.Millisecond
)

// runnersPerLoad gives how many runners load at once: one of seven. With loads of
// a second, all are done in eight seconds of the twelve that there are.
const runnersPerLoad = 7

// DefaultSettle is the time that holders must lie apart, by the platform.
const DefaultSettle = 3 * time.Second

// Giver gives the orders while this box holds the duty.
type Giver struct {
	cfg Config

	mu sync.Mutex
	// loading are the runners under orders; notBefore holds those back that
	// failed one.
	loading   map[string]bool
	notBefore map[string]time.Time
	orders    sync.WaitGroup
}

// New makes a giver.
func New(cfg Config) *Giver {
	if cfg.Settle == 0 {
		cfg.Settle = DefaultSettle
	}
	return &Giver{cfg: cfg, loading: map[string]bool{}, notBefore: map[string]time.Time{}}
}

// Loop looks for runners that are behind until ctx ends.
func (g *Giver) Loop(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	defer g.orders.Wait()
	for {
		select {
		case <-ticker.C:
			g.look(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// tenure gives the fence of this box's orders, if it may give any now.
func (g *Giver) tenure() (int64, bool) {
	tenure, held := g.cfg.Member.Holds(Duty)
	if !held || time.Since(tenure.Since) < g.cfg.Settle+settleMargin {
		return 0, false
	}
	return tenure.Generation, true
}

func (g *Giver) look(ctx context.Context) {
	if _, may := g.tenure(); !may {
		return
	}
	for _, model := range g.cfg.Models() {
		version, _ := g.cfg.Wanted(model)
		behind := g.cfg.Fleet.Behind(model, version)
		if len(behind) == 0 {
			continue
		}
		atOnce := (g.cfg.Fleet.Holders(model) + runnersPerLoad - 1) / runnersPerLoad
		for _, server := range behind {
			g.begin(ctx, server, model, version, atOnce)
		}
	}
}

// begin starts a load if there is room for one more and the runner is free.
func (g *Giver) begin(ctx context.Context, server fleet.Server, model string, version, atOnce int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.loading) >= atOnce || g.loading[server.Incarnation] || time.Now().Before(g.notBefore[server.Incarnation]) {
		return
	}
	g.loading[server.Incarnation] = true
	g.orders.Go(func() { g.runLoad(ctx, server, model, version) })
}

// runLoad brings one runner to a version.
func (g *Giver) runLoad(ctx context.Context, server fleet.Server, model string, version int) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	started := time.Now()
	g.cfg.Fleet.Pause(server.Incarnation, started.Add(loadLimit))
	err := g.load(ctx, server, model, version)
	g.cfg.Fleet.Resume(server.Incarnation)
	event := g.cfg.Logger.Info()
	if err != nil {
		event = g.cfg.Logger.Warn().Str("error", err.Error())
	}
	event.Str("server", server.Incarnation).Str("model", model).Int("weights", version).Dur("took", time.Since(started)).Msg("weights_ordered")
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.loading, server.Incarnation)
	if err != nil {
		g.notBefore[server.Incarnation] = time.Now().Add(retryAfter)
	}
}

func (g *Giver) load(ctx context.Context, server fleet.Server, model string, version int) error {
	report, err := g.ask(ctx, server)
	if err != nil {
		return err
	}
	if g.reached(server, report, model, version) {
		return nil
	}
	if !report.Busy {
		if done, err := g.order(ctx, server, model, version, report.Orders); err != nil || done {
			return err
		}
		wait(ctx, expectedLoad)
	}
	for {
		if report, err = g.ask(ctx, server); err != nil {
			return err
		}
		if g.reached(server, report, model, version) {
			return nil
		}
		if !report.Busy {
			return merry.New("the order was lost")
		}
		if !wait(ctx, askEvery) {
			return ctx.Err()
		}
	}
}

func (g *Giver) reached(server fleet.Server, report Report, model string, version int) bool {
	g.cfg.Fleet.NoteWeights(server.Incarnation, model, report.Weights[model])
	return report.Weights[model] >= version
}

func (g *Giver) ask(ctx context.Context, server fleet.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return g.cfg.Runners.Report(ctx, server)
}

// order gives the order. Whether this box may is asked last, right before.
func (g *Giver) order(ctx context.Context, server fleet.Server, model string, version int, after int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	fence, may := g.tenure()
	if !may {
		return false, merry.New("the duty was lost")
	}
	order := Order{Model: model, Version: version, Holder: g.cfg.Holder, Fence: fence, AfterOrders: after}
	done, err := g.cfg.Runners.Order(ctx, server, order)
	if done {
		g.cfg.Fleet.NoteWeights(server.Incarnation, model, version)
	}
	return done, err
}

// wait waits for a time, and reports false when ctx ended before.
func wait(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
