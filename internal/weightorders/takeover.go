// The lease as the controller uses it, and how a box that takes it over continues.
//
// The box may order at once the runners that no record of another box lists (package orderlease). The
// others may still load for the previous holder: each of them occupies a loading slot until it reports
// that it executes no order, or until the gap has elapsed, after which this box may order it.

package weightorders

import (
	"context"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/orderlease"
	"github.com/cometlock/cometlock/internal/waiting"
)

// leaseRunner returns how the lease names a server.
func leaseRunner(server fleet.Server) orderlease.Runner {
	return orderlease.Runner{Incarnation: server.Incarnation, Address: server.Address}
}

// hold takes or renews the lease, and reports whether tasks may start.
func (c *Controller) hold(ctx context.Context) bool {
	if !c.cfg.Mechanisms.Enabled(mechanism.RunnerGaps) {
		_, permitted := c.cfg.Lease.PermitAll(ctx)
		return permitted
	}
	return c.cfg.Lease.Hold(ctx, c.planned)
}

// permit requests permission to send an order to a runner now.
func (c *Controller) permit(ctx context.Context, server fleet.Server) (fence int64, ok bool) {
	if !c.cfg.Mechanisms.Enabled(mechanism.RunnerGaps) {
		return c.cfg.Lease.PermitAll(ctx)
	}
	return c.cfg.Lease.Permit(ctx, leaseRunner(server), c.planned)
}

// planned returns the runners with a task of this box.
func (c *Controller) planned() []orderlease.Runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	runners := make([]orderlease.Runner, 0, len(c.tasks))
	for _, reached := range c.tasks {
		if reached.phase != watched {
			runners = append(runners, reached.runner)
		}
	}
	return runners
}

// watchClosed returns the servers that this box may order, and starts to watch the others. The caller
// holds mu.
func (c *Controller) watchClosed(ctx context.Context, state *modelState, model string, version int, behind []fleet.BehindServer) []fleet.BehindServer {
	if !c.cfg.Mechanisms.Enabled(mechanism.RunnerGaps) {
		return behind
	}
	now := boottime.Now()
	return slices.DeleteFunc(slices.Clone(behind), func(server fleet.BehindServer) bool {
		until := c.cfg.Lease.ClosedUntil(leaseRunner(server.Server))
		if !now.Before(until) {
			return false
		}
		name := server.Incarnation
		if c.tasks[name].phase == 0 && !now.Before(c.retryAt[name]) {
			c.tasks[name] = progress{phase: watched, model: model, zone: server.Zone, held: server.Held, since: now}
			state.loading++
			t := task{server: server.Server, held: server.Held, model: model, version: version, started: now, state: state}
			c.orders.Go(func() { c.runWatch(ctx, t, until) })
		}
		return true
	})
}

// runWatch polls a runner that another box may have ordered until it reports that it executes no order,
// or until this box may order it.
func (c *Controller) runWatch(ctx context.Context, t task, until time.Time) {
	waiting.For(ctx, boottime.Until(c.cfg.Lease.SettledAt()))
	for boottime.Now().Before(until) {
		report, err := c.poll(ctx, t.server)
		if err == nil && (c.recordAndCheck(t, report) || !report.Busy) {
			break
		}
		if !waiting.For(ctx, pollInterval) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.loading--
	delete(c.tasks, t.server.Incarnation)
	c.retryAt[t.server.Incarnation] = until
}
