// One runner's way to another version. It gets no new calls for a moment, waits for a
// free place to load, is ordered, and is asked until it holds the version. An order that
// got no answer may have been taken, so what counts is only what the runner reports.

package weightorders

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waiting"
)

// takeSlot moves a runner on to loading, if there is room.
func (g *Controller) takeSlot(t task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count(loading) >= t.atOnce {
		return false
	}
	g.under[t.server.Incarnation] = progress{loading, boottime.Now()}
	return true
}

// runLoad carries out one task.
func (g *Controller) runLoad(ctx context.Context, t task) {
	ctx, cancel := context.WithTimeout(ctx, loadLimit)
	defer cancel()
	started := boottime.Now()
	name := t.server.Incarnation
	g.cfg.Fleet.BeginOrder(name, started.Add(loadLimit))
	if g.cfg.OnPause != nil {
		g.cfg.OnPause()
	}
	err := g.pause(ctx, t)
	if err == nil {
		err = g.load(ctx, &t)
	}
	g.cfg.Fleet.EndOrder(name)
	event := g.cfg.Logger.Info()
	if err != nil {
		event = g.cfg.Logger.Warn().Str("error", err.Error())
	}
	event.Str("server", name).Str("model", t.model).Int("weights", t.version).Dur("took", boottime.Since(started)).Msg("weights_ordered")
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.under, name)
	if err != nil {
		g.notBefore[name] = boottime.Now().Add(retryAfter)
	}
}

// pause waits until all boxes keep new calls from a runner, and there is room to load.
func (g *Controller) pause(ctx context.Context, t task) error {
	if g.cfg.Off.On(mechanism.PausedLoading) {
		waiting.For(ctx, pauseBefore)
	}
	for !g.takeSlot(t) {
		if !waiting.For(ctx, slotEvery) {
			return ctx.Err()
		}
	}
	return nil
}

// load orders a runner, and waits until it holds the version. A version that was named
// since the task began takes the place of the task's.
func (g *Controller) load(ctx context.Context, t *task) error {
	report, err := g.ask(ctx, t.server)
	if err != nil {
		return err
	}
	t.version = max(t.version, g.cfg.TargetVersion(t.model))
	if g.reached(*t, report) {
		return nil
	}
	if report.Busy {
		return g.awaitLoad(ctx, *t) // when that load began is not known, so nothing is learnt of it
	}
	began := boottime.Now()
	if done, err := g.order(ctx, *t, report.Orders); err != nil || done {
		return err
	}
	waiting.For(ctx, shortestLoad)
	if err := g.awaitLoad(ctx, *t); err != nil {
		return err
	}
	g.learnLoad(boottime.Since(began))
	return nil
}

// awaitLoad asks a runner that loads until it holds the version.
func (g *Controller) awaitLoad(ctx context.Context, t task) error {
	for {
		report, err := g.ask(ctx, t.server)
		if err != nil {
			return err
		}
		if g.reached(t, report) {
			return nil
		}
		if !report.Busy {
			return merry.New("the order was lost")
		}
		if !waiting.For(ctx, askEvery) {
			return ctx.Err()
		}
	}
}

// learnLoad learns from a load how long the next ones take.
func (g *Controller) learnLoad(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usualLoad += time.Duration(loadWeight * float64(took-g.usualLoad))
}

// reached notes what a runner holds, and reports whether that is enough.
func (g *Controller) reached(t task, report Report) bool {
	held := report.Weights[t.model]
	g.cfg.Fleet.NoteWeights(t.server.Incarnation, t.model, held)
	return held >= t.version
}

func (g *Controller) ask(ctx context.Context, server fleet.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return g.cfg.Runners.Report(ctx, server)
}

// order gives the order. Whether this box may is asked last, right before.
func (g *Controller) order(ctx context.Context, t task, after int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	fence, may := g.cfg.Lease.Permit(ctx)
	if !may {
		return false, merry.New("another box may be giving orders")
	}
	order := Order{Model: t.model, Version: t.version, Holder: g.cfg.Holder, Fence: fence, AfterOrders: after}
	done, err := g.cfg.Runners.Order(ctx, t.server, order)
	if done {
		g.cfg.Fleet.NoteWeights(t.server.Incarnation, t.model, t.version)
	}
	return done, err
}
