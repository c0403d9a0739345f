// Package rollout brings the runners of a zone to the weight versions of the
// configuration in force.
//
// An order states the whole wanted state of a runner and carries the version of
// the configuration as its fence. A runner that checks refuses an order whose
// fence is older than one it has obeyed, so a box that wakes up with an old
// configuration is harmless. A runner that does not check is given the order
// again until it reports the wanted state. Either way safety lies elsewhere: every
// request names the version it wants, and every answer the version it came from.
//
// The weight store bears few loads at once, for the whole deployment, and zones
// may not see each other. So the loads are shared out by time: with 3 loads and 4
// zones, three zones may begin a load in each turn, and another one pauses:
//
//	turn   0    1    2    3
//	zone a  •    •    •    –
//	zone b  –    •    •    •
//	zone c  •    –    •    •
//	zone d  •    •    –    •
//
// Clocks that differ make the store slow for a moment, no more.
package rollout

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
)

// Config sets up a Rollout.
type Config struct {
	Engines *engine.Client
	Logger  zerolog.Logger
	// Zone is the availability zone of this entry box.
	Zone string
	// Snapshot gives the configuration in force, or nil.
	Snapshot func() *config.Snapshot
	// Reports gives the last load report of each runner of the zone.
	Reports func() []Report
	// IsLeader reports whether this box gives the zone's orders.
	IsLeader func() bool
	// Turn is how long one turn lasts; Interval the time between two looks.
	Turn     time.Duration
	Interval time.Duration
}

// Defaults of Config. A load takes about a second, so a turn has room for one
// that begins in its first half.
const (
	DefaultTurn     = 4 * time.Second
	DefaultInterval = 200 * time.Millisecond
)

// Report is what a runner said of itself.
type Report struct {
	Server  *config.BackendServer
	Weights []engine.LoadedWeights
	Leaving bool
}

// Controller gives the orders of a zone.
type Controller struct {
	cfg Config
	// ordered is when each runner was last given an order, and last when any was.
	orderedAt   map[string]time.Time
	lastOrderAt time.Time
}

// New makes a rollout.
func New(cfg Config) *Controller {
	if cfg.Turn == 0 {
		cfg.Turn = DefaultTurn
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	return &Controller{cfg: cfg, orderedAt: map[string]time.Time{}}
}

// Loop looks at the runners until ctx ends.
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

// settle is how long after an order the runners' reports may not show it yet.
const reportDelay = 1200 * time.Millisecond

// look gives one order, if one is due and allowed.
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
	names := make([]string, len(file.Zones))
	for i, zone := range file.Zones {
		names[i] = zone.Name
	}
	slices.Sort(names)
	return MayLoad(names, r.cfg.Zone, file.WeightStore.ParallelLoads, r.cfg.Turn, now)
}

// TargetWeights gives the whole state that the configuration wants a runner to be in.
func TargetWeights(snapshot *config.Snapshot, server *config.BackendServer) []engine.LoadedWeights {
	var wanted []engine.LoadedWeights
	for _, name := range server.Models {
		if model, ok := snapshot.Model(name); ok {
			wanted = append(wanted, engine.LoadedWeights{Model: name, Version: model.Weights})
		}
	}
	return wanted
}

// NextRunner gives the runner that is to load next: none while one of the zone is
// loading, so that a zone has one load under way and most of its runners serve.
// Of those that are behind it takes the one that was ordered longest ago, so that
// a runner which never gets there does not keep the others from it.
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

// behind reports whether a runner holds another version than the wanted one.
func isOutdated(snapshot *config.Snapshot, report Report) bool {
	for _, wanted := range TargetWeights(snapshot, report.Server) {
		held := slices.ContainsFunc(report.Weights, func(w engine.LoadedWeights) bool {
			return w.Model == wanted.Model && w.Version == wanted.Version
		})
		if !held {
			return true
		}
	}
	return false
}

// MayLoad reports whether a zone may begin a load now. With at least as many
// loads as zones every zone always may; otherwise each pauses in its turns, and
// all only begin in the first half of a turn, so that a load ends within it.
func MayLoad(zones []string, zone string, parallel int, turn time.Duration, now time.Time) bool {
	at := slices.Index(zones, zone)
	if at < 0 {
		return false
	}
	if parallel >= len(zones) {
		return true
	}
	number := now.UnixNano() / int64(turn)
	if time.Duration(now.UnixNano()%int64(turn)) > turn/2 {
		return false
	}
	return (at+int(number%int64(len(zones))))%len(zones) < parallel
}
