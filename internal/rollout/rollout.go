// Package rollout rolls out the configured weight versions to the runners of a zone.
//
// An order contains the complete target state of a runner, with the version of the
// configuration as a fencing token. A runner that checks the token rejects an order
// with a lower token than the last one it obeyed, so a box that resumes with an old
// configuration does no harm. A runner that does not check it gets the order again
// until it reports the target state. Correctness does not depend on either: every
// request contains the required weight version, and every response the version that
// produced it.
//
// The weight store supports only a few concurrent loads for the whole deployment, and
// zones may be unable to communicate. So the loads are limited by time division: with
// 3 parallel loads and 4 zones, three zones may start a load in each turn, and a
// different zone pauses each time:
//
//	turn   0    1    2    3
//	zone a  •    •    •    –
//	zone b  –    •    •    •
//	zone c  •    –    •    •
//	zone d  •    •    –    •
//
// Clock skew may lead to more concurrent loads, which only slows the store for a moment.
package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
)

// Config configures a Controller.
type Config struct {
	Engines *engine.Client
	Logger  zerolog.Logger
	// Zone is the availability zone of this entry box.
	Zone string
	// Snapshot returns the current configuration, or nil.
	Snapshot func() *config.Snapshot
	// Reports returns the last load report of each runner of the zone.
	Reports func() []Report
	// IsLeader reports whether this box sends the zone's orders.
	IsLeader func() bool
	// Turn is the length of a turn, Interval the time between two checks of the runners.
	Turn     time.Duration
	Interval time.Duration
}

// Defaults of Config. A load takes about a second, so a load that starts in the first
// half of a turn ends within the turn.
const (
	DefaultTurn     = 4 * time.Second
	DefaultInterval = 200 * time.Millisecond
)

// Report is the loaded weights of a runner by its last load report.
type Report struct {
	Server  *config.BackendServer
	Weights []engine.LoadedWeights
	Leaving bool
}

// Controller sends the orders of a zone.
type Controller struct {
	cfg Config
	// orderedAt is the time of the last order to each runner, lastOrderAt that of the
	// last order to any.
	orderedAt   map[string]time.Time
	lastOrderAt time.Time
}

// New creates a Controller.
func New(cfg Config) *Controller {
	if cfg.Turn == 0 {
		cfg.Turn = DefaultTurn
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Controller{cfg: cfg, orderedAt: map[string]time.Time{}}
}

// Loop checks the runners at each interval until ctx is cancelled.
func (r *Controller) Loop(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.Interval)
	defer ticker.Stop()
	for {
		r.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reportDelay is how long it may take until the runners' reports show an order.
const reportDelay = 1200 * time.Millisecond

// step sends an order if one is due and allowed.
func (r *Controller) step(ctx context.Context) {
	snapshot := r.cfg.Snapshot()
	if snapshot == nil || !r.cfg.IsLeader() || time.Since(r.lastOrderAt) < reportDelay {
		return
	}
	next, ok := NextRunner(snapshot, r.cfg.Reports(), r.orderedAt)
	if !ok || !r.mayLoad(snapshot, time.Now()) || time.Since(r.orderedAt[next.Server.Name]) < r.cfg.Turn {
		return
	}
	r.lastOrderAt = time.Now()
	r.orderedAt[next.Server.Name] = r.lastOrderAt
	order := engine.Order{Fence: snapshot.Version(), Weights: TargetWeights(snapshot, next.Server)}
	event := r.cfg.Logger.Info()
	if err := r.cfg.Engines.Order(ctx, next.Server.Address, order); err != nil {
		event = r.cfg.Logger.Warn().Str("error", err.Error())
	}
	event.Str("server", next.Server.Name).Int64("fence", order.Fence).Msg("weights_ordered")
}

func (r *Controller) mayLoad(snapshot *config.Snapshot, now time.Time) bool {
	file := snapshot.File()
	zones := make([]string, len(file.Zones))
	for i, zone := range file.Zones {
		zones[i] = zone.Name
	}
	slices.Sort(zones)
	return MayLoad(zones, r.cfg.Zone, file.WeightStore.ParallelLoads, r.cfg.Turn, now)
}

// TargetWeights returns the complete target state of a runner by the configuration.
func TargetWeights(snapshot *config.Snapshot, server *config.BackendServer) []engine.LoadedWeights {
	var target []engine.LoadedWeights
	for _, name := range server.Models {
		if model, ok := snapshot.Model(name); ok {
			target = append(target, engine.LoadedWeights{Model: name, Version: model.Weights})
		}
	}
	return target
}

// NextRunner returns the runner that should load next. It returns none while a runner of
// the zone is loading, so that a zone has one load at a time and its other runners serve
// requests. Of the outdated runners it returns the one with the oldest order, so that a
// runner that never reaches the target state does not block the others.
func NextRunner(snapshot *config.Snapshot, reports []Report, orderedAt map[string]time.Time) (Report, bool) {
	found := false
	var next Report
	for _, report := range reports {
		if isLoading(report) {
			return Report{}, false
		}
		if report.Leaving || !isOutdated(snapshot, report) {
			continue
		}
		if !found || orderedAt[report.Server.Name].Before(orderedAt[next.Server.Name]) {
			next, found = report, true
		}
	}
	return next, found
}

func isLoading(report Report) bool {
	return slices.ContainsFunc(report.Weights, func(w engine.LoadedWeights) bool { return w.Loading != "" })
}

// isOutdated reports whether a runner lacks the target version of one of its models.
func isOutdated(snapshot *config.Snapshot, report Report) bool {
	for _, target := range TargetWeights(snapshot, report.Server) {
		loaded := slices.ContainsFunc(report.Weights, func(w engine.LoadedWeights) bool {
			return w.Model == target.Model && w.Version == target.Version
		})
		if !loaded {
			return true
		}
	}
	return false
}

// MayLoad reports whether a zone may start a load now. If there are at least as many
// parallel loads as zones, every zone always may. Otherwise the zones take turns to
// pause, and may start loads only in the first half of a turn, so that a load ends
// within it.
func MayLoad(zones []string, zone string, parallel int, turn time.Duration, now time.Time) bool {
	index := slices.Index(zones, zone)
	if index < 0 {
		return false
	}
	if parallel >= len(zones) {
		return true
	}
	turnNumber := now.UnixNano() / int64(turn)
	if time.Duration(now.UnixNano()%int64(turn)) > turn/2 {
		return false
	}
	return (index+int(turnNumber%int64(len(zones))))%len(zones) < parallel
}
