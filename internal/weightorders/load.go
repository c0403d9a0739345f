// The steps that bring one runner to another version. The runner gets no new calls for a moment,
// waits for a free loading slot, receives an order, and is polled until it has the version. An
// order without an answer may have been accepted, so only the reports of the runner count.

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

// claimSlot moves a runner to the loading phase if there is a free slot.
func (c *Controller) claimSlot(t task) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.countPhase(loading) >= t.maxLoading {
		return false
	}
	c.tasks[t.server.Incarnation] = progress{loading, boottime.Now()}
	return true
}

// runLoad performs one task.
func (c *Controller) runLoad(ctx context.Context, t task) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := boottime.Now()
	name := t.server.Incarnation
	c.cfg.Fleet.BeginOrder(name, started.Add(loadTimeout))
	if c.cfg.OnPause != nil {
		c.cfg.OnPause()
	}
	err := c.pause(ctx, t)
	if err == nil {
		err = c.load(ctx, &t)
	}
	c.cfg.Fleet.EndOrder(name)
	event := c.cfg.Logger.Info()
	if err != nil {
		event = c.cfg.Logger.Warn().Str("error", err.Error())
	}
	event.Str("server", name).Str("model", t.model).Int("weights", t.version).Dur("took", boottime.Since(started)).Msg("weights_ordered")
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tasks, name)
	if err != nil {
		c.retryAt[name] = boottime.Now().Add(retryDelay)
	}
}

// pause waits until all boxes have stopped sending new calls to a runner and there is a free
// loading slot.
func (c *Controller) pause(ctx context.Context, t task) error {
	if c.cfg.Mechanisms.Enabled(mechanism.PausedLoading) {
		waiting.For(ctx, pauseBeforeOrder)
	}
	for !c.claimSlot(t) {
		if !waiting.For(ctx, slotInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// load orders a runner to load a version and waits until it has it. If a newer version was
// declared since the task started, that one is loaded instead.
func (c *Controller) load(ctx context.Context, t *task) error {
	report, err := c.poll(ctx, t.server)
	if err != nil {
		return err
	}
	t.version = max(t.version, c.cfg.TargetVersion(t.model))
	if c.recordAndCheck(*t, report) {
		return nil
	}
	if report.Busy {
		return c.awaitLoad(ctx, *t) // the start of that load is not known, so it cannot be used for the estimate
	}
	began := boottime.Now()
	if done, err := c.order(ctx, *t, report.Orders); err != nil || done {
		return err
	}
	waiting.For(ctx, minLoadTime)
	if err := c.awaitLoad(ctx, *t); err != nil {
		return err
	}
	c.updateLoadEstimate(boottime.Since(began))
	return nil
}

// awaitLoad polls a loading runner until it has the version.
func (c *Controller) awaitLoad(ctx context.Context, t task) error {
	for {
		report, err := c.poll(ctx, t.server)
		if err != nil {
			return err
		}
		if c.recordAndCheck(t, report) {
			return nil
		}
		if !report.Busy {
			return merry.New("runner is idle without the ordered version")
		}
		if !waiting.For(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// updateLoadEstimate updates the estimated duration of a load from one that has ended.
func (c *Controller) updateLoadEstimate(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadEstimate += time.Duration(loadSmoothing * float64(took-c.loadEstimate))
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
	return c.cfg.Runners.Report(ctx, server)
}

// order sends the order. The permission of the lease is checked last, right before sending.
func (c *Controller) order(ctx context.Context, t task, accepted int64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, permitted := c.cfg.Lease.Permit(ctx)
	if !permitted {
		return false, merry.New("lease not held: another box may be sending orders")
	}
	order := Order{Model: t.model, Version: t.version, Holder: c.cfg.Holder, Fence: fence, AfterOrders: accepted}
	done, err := c.cfg.Runners.Order(ctx, t.server, order)
	if done {
		c.cfg.Fleet.NoteWeights(t.server.Incarnation, t.model, t.version)
	}
	return done, err
}
