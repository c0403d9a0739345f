// The steps that bring one runner to another version. The runner gets no new calls, drains, waits
// for a free loading slot, receives an order, and is polled until it has the version. An order
// without an answer may have been accepted, so only the reports of the runner count.

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

// errLeaseLost reports that no order may be sent. A runner does not stay out of service for one then.
var errLeaseLost = merry.Sentinel("lease not held: another box may be sending orders")

// runLoad performs one task.
func (c *Controller) runLoad(ctx context.Context, t task) {
	name := t.server.Incarnation
	c.cfg.Fleet.BeginOrder(name, t.started.Add(pauseTimeout))
	if c.cfg.OnPause != nil {
		c.cfg.OnPause()
	}
	drained, err := c.pause(ctx, t)
	if err == nil {
		c.cfg.Fleet.BeginOrder(name, boottime.Now().Add(loadTimeout))
		err = c.load(ctx, &t, drained)
	}
	c.cfg.Fleet.EndOrder(name)
	c.logTask(t, err, boottime.Since(t.started), c.end(t, err))
}

// logTask logs the result of a task, and the pace when it ended.
func (c *Controller) logTask(t task, err error, took time.Duration, at paceReport) {
	event := c.cfg.Logger.Info()
	if err != nil {
		event = c.cfg.Logger.Warn().Str("error", err.Error())
	}
	event.Str("server", t.server.Incarnation).Str("model", t.model).Int("weights", t.version).Dur("took", took).
		Int("out", at.out).Int("allowed_out", at.allowed)
	if at.demandKnown {
		event.Float64("demand", at.demand)
	}
	event.Msg("weights_ordered")
}

// pause waits until all boxes have stopped sending new calls to a runner and there is a loading slot
// for it. drained reports that the runner has no known calls.
func (c *Controller) pause(ctx context.Context, t task) (drained bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pauseTimeout)
	defer cancel()
	if c.cfg.Mechanisms.Enabled(mechanism.PausedLoading) {
		waiting.For(ctx, pauseBeforeOrder)
	}
	for {
		if !drained && c.cfg.Fleet.KnownCalls(t.server.Incarnation) == 0 {
			drained = true
			c.addDrain(t, boottime.Since(t.started))
		}
		if c.cfg.Lease.MayBeLost() {
			return drained, errLeaseLost
		}
		if !c.reaches(t.server) {
			return drained, errUnreachable
		}
		if c.claimSlot(t, drained) {
			return drained, nil
		}
		if !waiting.For(ctx, c.checkInterval()) {
			return drained, ctx.Err()
		}
	}
}

// load orders a runner to load a version and waits until it has it. If a newer version was
// declared since the task started, that one is loaded instead.
func (c *Controller) load(ctx context.Context, t *task, drained bool) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	report, err := c.poll(ctx, t.server)
	if err != nil {
		return err
	}
	t.version = max(t.version, c.cfg.TargetVersion(t.model))
	if c.recordAndCheck(*t, report) {
		return nil
	}
	if report.Busy {
		return c.awaitOtherLoad(ctx, *t)
	}
	began := boottime.Now()
	if done, err := c.order(ctx, *t, report.Orders); err != nil || done {
		return err
	}
	if !drained {
		if !c.awaitDrain(ctx, *t) {
			return c.awaitOtherLoad(ctx, *t)
		}
		began = boottime.Now()
		c.addDrain(*t, began.Sub(t.started))
	}
	return c.awaitLoad(ctx, *t, began)
}

// awaitDrain waits until a runner that has its order has no known calls, after which it loads. It
// returns false if that takes too long: the known calls may be those of a box that is gone.
func (c *Controller) awaitDrain(ctx context.Context, t task) bool {
	started := boottime.Now()
	for c.cfg.Fleet.KnownCalls(t.server.Incarnation) > 0 {
		if boottime.Since(started) >= maxDrainWait || !waiting.For(ctx, c.checkInterval()) {
			return false
		}
	}
	return true
}

// awaitLoad polls a runner until it has the version. It learns from a load that began at the given
// time.
func (c *Controller) awaitLoad(ctx context.Context, t task, began time.Time) error {
	for first := true; waiting.For(ctx, c.nextPoll(t, boottime.Since(began))); first = false {
		elapsed := boottime.Since(began)
		held, err := c.pollLoading(ctx, t)
		if err != nil {
			return err
		}
		if held {
			c.addLoad(t, elapsed, first)
			return nil
		}
	}
	return ctx.Err()
}

// awaitOtherLoad polls a runner until it has the version, if it isn't known when the load began.
func (c *Controller) awaitOtherLoad(ctx context.Context, t task) error {
	for {
		if held, err := c.pollLoading(ctx, t); held || err != nil {
			return err
		}
		if !waiting.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// pollLoading polls a runner that has accepted an order, and reports whether it has the version.
func (c *Controller) pollLoading(ctx context.Context, t task) (held bool, err error) {
	report, err := c.poll(ctx, t.server)
	if err != nil {
		return false, err
	}
	if c.recordAndCheck(t, report) {
		return true, nil
	}
	if !report.Busy {
		return false, merry.New("runner is idle without the ordered version")
	}
	return false, nil
}

// recordAndCheck records the version that a runner has and reports whether it is new enough.
func (c *Controller) recordAndCheck(t task, report Report) bool {
	held := report.Weights[t.model]
	c.cfg.Fleet.NoteWeights(t.server.Incarnation, t.model, held)
	return held >= t.version
}

func (c *Controller) poll(ctx context.Context, server fleet.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := c.cfg.Runners.Report(ctx, server)
	c.noteReach(server, err)
	return report, err
}

// order sends the order. The permission of the lease is checked last, right before sending.
func (c *Controller) order(ctx context.Context, t task, accepted int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, permitted := c.permit(ctx, t.server)
	if !permitted {
		return false, errLeaseLost
	}
	order := Order{Model: t.model, Version: t.version, Holder: c.cfg.Holder, Fence: fence, AfterOrders: accepted}
	done, err := c.cfg.Runners.Order(ctx, t.server, order)
	if done {
		c.cfg.Fleet.NoteWeights(t.server.Incarnation, t.model, t.version)
	}
	return done, err
}
