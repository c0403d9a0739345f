// What package weightorders needs to know of the other parts of the box.

package entrybox

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/loadpace"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/weightorders"
)

const (
	// lastPlacement is how long before older weights may no longer answer the last calls are placed
	// at them (package gateway). A runner that holds them is of no use after that.
	lastPlacement = 2 * time.Second
	// knownLoadFraction is the fraction of the other boxes whose load reports suffice to know the
	// demand.
	knownLoadFraction = 0.8
)

// weightOrdersConfig returns the configuration of the box's orders to load weights.
func (b *Box) weightOrdersConfig() weightorders.Config {
	return weightorders.Config{
		Runners: b.cfg.Runners, Fleet: b.fleet, Lease: b.lease, Logger: b.logger, Holder: b.incarnation, Mechanisms: b.settings.Mechanisms, OnPause: func() { b.share.SendNow() },
		Models: b.registry.DeclaredModels, TargetVersion: func(model string) int { return b.registry.Weights(model).Version },
		TimeLeft: b.weightsTimeLeft, Limits: b.runnerLimits, LoadsKnown: b.knowsLoads,
		Reaches: func(service string) bool { return !b.reach.Unreachable(service) },
	}
}

// weightsTimeLeft returns the time for which calls may be placed at runners with a version, and
// false if that is unknown.
func (b *Box) weightsTimeLeft(model string, version int) (time.Duration, bool) {
	newer, outdated := b.registry.OutdatedSince(model, version)
	if !outdated || newer.Undated() {
		return 0, false
	}
	return b.settings.OutdatedAfter - lastPlacement - boottime.Since(newer.DeclaredAfter), true
}

// runnerLimits returns what calls may use at one runner of a service (package placing).
func (b *Box) runnerLimits(service string) loadpace.Limits {
	catalog := b.registry.Catalog()
	if catalog == nil {
		return loadpace.Limits{}
	}
	limits := loadpace.Limits{PrefillTime: time.Duration(placing.PrefillFraction * float64(catalog.MeanObjective(service)))}
	if found := catalog.Service(service); found != nil && found.Engine != nil {
		limits.MemoryTokens = int(placing.MemoryFraction * float64(found.Engine.CapacityTokens))
	}
	return limits
}

// knowsLoads reports whether enough other boxes report their load for the demand to be known.
func (b *Box) knowsLoads() bool {
	others := b.share.BoxCount() - 1
	return b.share.BoxListLoaded() && float64(b.share.HeardCount()) >= knownLoadFraction*float64(others)
}
