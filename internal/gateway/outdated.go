// The cost of responding with outdated weights, and until when that is allowed. The cost rises with
// the time since newer weights were announced, so that calls go to runners that hold these if there
// are any, and to other runners rather than to none.

package gateway

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// outdatedCostFactor is the part of a route's objective that a call waits longer to get the
	// newest weights, at the end of the time in which older ones may serve, and in proportion
	// before that. A higher factor would make calls late, which costs callers more.
	outdatedCostFactor = 0.3
	// outdatedMargin is how long before the time limit of outdated weights the last call is placed
	// at them, since a call may wait at its runner. The runner aborts the call
	// outdatedRunnerMargin before that limit.
	outdatedMargin       = 2 * time.Second
	outdatedRunnerMargin = 300 * time.Millisecond
	// outdatedAfterStartup is how long a box that found a newer version at its start still allows
	// older weights: it cannot know when the version was announced.
	outdatedAfterStartup = 2500 * time.Millisecond
)

// newestVersion returns the version of a model's weights that should serve calls.
func (g *Gateway) newestVersion(model string) int {
	if named := g.cfg.Weights.Weights(model); named.Version > 0 {
		return named.Version
	}
	return g.cfg.Fleet.NewestVersion(model)
}

// outdatedCost returns the current cost of responding with a version, in milliseconds of waiting,
// and whether that is allowed at all.
func (g *Gateway) outdatedCost(model string, version int, objective time.Duration) (cost float64, allowed bool) {
	newer, outdated := g.cfg.Weights.OutdatedSince(model, version)
	if !outdated {
		return 0, true
	}
	cost = outdatedCostFactor * float64(objective) / float64(time.Millisecond)
	if newer.Undated() {
		return cost, boottime.Since(newer.LearnedAt) <= outdatedAfterStartup
	}
	age := boottime.Since(newer.DeclaredAfter)
	return cost * min(1, float64(age)/float64(g.cfg.OutdatedAfter)), age <= g.cfg.OutdatedAfter-outdatedMargin
}

// serverTimeout returns the time that the server has for a call. Outdated weights must not start a
// response after their time limit, however long the call waits at the runner.
func (g *Gateway) serverTimeout(x *exchange, chosen placement) time.Duration {
	timeout := boottime.Until(x.deadline)
	if chosen.namespace == "" {
		return timeout
	}
	newer, outdated := g.cfg.Weights.OutdatedSince(x.info.Prompt.Model, chosen.hold.Weights())
	if !outdated || newer.Undated() {
		return timeout
	}
	return min(timeout, g.cfg.OutdatedAfter-outdatedRunnerMargin-boottime.Since(newer.DeclaredAfter))
}
