// Work that a box does once a second: it adapts its parts of the retry budgets to the number of
// boxes, and updates the gauges.

package entrybox

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/partindex"
)

const (
	// upkeepInterval is the time between two updates of the retry budgets and the gauges.
	upkeepInterval = time.Second
	// serverGaugeInterval is the same for the gauges that take a look at all servers. Metrics are
	// collected every few seconds.
	serverGaugeInterval = 5 * time.Second
)

// callCountInterval is the time between two log lines on the calls to the platform's log.
const callCountInterval = 10 * time.Second

// logCallCounts logs the calls to the platform's log since the last line. Each call has a price,
// and the line shows which box made them and why.
func (b *Box) logCallCounts() {
	counts := b.log.TakeCounts()
	if len(counts) == 0 {
		return
	}
	event := b.logger.Info()
	for call, count := range counts {
		event.Int(call, count)
	}
	event.Msg("log_calls")
}

// onResume logs that the machine was suspended, and for how long. The suspension adds to the age of
// all of the box's state (package boottime).
func (b *Box) onResume(length time.Duration) {
	b.logger.Warn().Dur("length", length).Msg("machine_suspended")
	b.resumed.Broadcast()
}

// loopCancelExpired cancels the calls whose deadline passed during a suspension, until ctx ends.
func (b *Box) loopCancelExpired(ctx context.Context) {
	for ctx.Err() == nil {
		woke := b.resumed.Chan()
		select {
		case <-woke:
			b.gateway.CancelExpired()
		case <-ctx.Done():
		}
	}
}

// loopUpkeep updates the gauges and this box's parts of the retry budgets until ctx ends.
func (b *Box) loopUpkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	loggedAt := boottime.Now()
	countedAt := time.Time{}
	for {
		if boottime.Since(loggedAt) >= callCountInterval {
			loggedAt = boottime.Now()
			b.logCallCounts()
		}
		b.updateRetryBudgets()
		b.memory.Observe(boottime.Now())
		b.updateGauges()
		if boottime.Since(countedAt) >= serverGaugeInterval {
			countedAt = boottime.Now()
			b.updateServerGauges()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Box) updateGauges() {
	scope := b.metrics.Scope()
	scope.Gauge("calls_in_flight").Update(float64(b.gateway.InFlight()))
	scope.Gauge("memory_held_bytes").Update(float64(b.memory.Held()))
	scope.Gauge("calls_waiting").Update(float64(b.gateway.Waiting()))
	scope.Gauge("owner_calls_waiting").Update(float64(b.places.Waiting()))
	scope.Gauge("owner_attempts").Update(float64(b.places.Attempts()))
	b.updateRetryGauges()
	held, suspected := b.quarantine.Counts()
	scope.Gauge("requests_held").Update(float64(held))
	scope.Gauge("requests_suspected").Update(float64(suspected))
	held, suspected = b.partQuarantine.Counts()
	scope.Gauge("parts_held").Update(float64(held))
	scope.Gauge("parts_suspected").Update(float64(suspected))
	scope.Gauge("order_lease_held").Update(boolGauge(b.lease.Held()))
	scope.Gauge("zones_evacuated").Update(float64(len(b.fleet.EvacuatedZones())))
	scope.Gauge("servers_read_age_seconds").Update(b.registry.ServersAge().Seconds())
	scope.Gauge("boxes_known").Update(float64(b.share.BoxCount()))
	scope.Gauge("is_hub").Update(boolGauge(b.share.Hub() == ""))
	scope.Gauge("reads_for_zone").Update(boolGauge(b.readers.IsReader()))
	scope.Gauge("reads_for_all_zones").Update(boolGauge(b.readers.IsRoot()))
	scope.Gauge("reads_for_itself").Update(boolGauge(b.readers.Following() == ""))
	scope.Gauge("boxes_heard").Update(float64(b.share.HeardCount() + 1))
	if catalog := b.registry.Catalog(); catalog != nil {
		scope.Gauge("configuration_version").Update(float64(catalog.Version()))
		scope.Gauge("operators_read_age_seconds").Update(boottime.Since(b.registry.OperatorReadAt()).Seconds())
	}
	for model, version := range b.registry.NewestVersions() {
		named := scope.Tagged(map[string]string{"model": model})
		named.Gauge("weights_named").Update(float64(version))
	}
	for model, count := range b.weightOrders.OutOfService() {
		scope.Tagged(map[string]string{"model": model}).Gauge("runners_out_for_load").Update(float64(count))
	}
	slow := 0
	for _, store := range b.parts.State() {
		if store.Slow {
			slow++
		}
		tagged := scope.Tagged(map[string]string{"store_box": store.Name})
		tagged.Gauge("store_parts").Update(float64(store.Parts))
		tagged.Gauge("store_tokens").Update(float64(store.Used))
		tagged.Gauge("store_word_age_seconds").Update(store.Age.Seconds())
	}
	scope.Gauge("store_boxes_slow").Update(float64(slow))
}

// onSpeedChange logs that samples of other boxes changed whether a store box counts as slow.
func (b *Box) onSpeedChange(change partindex.SpeedChange) {
	b.logger.Info().Str("store_box", change.Store).Bool("slow", change.Slow).Dur("late", change.Late).Str("reported_by", change.ReportedBy).Msg("store_box_speed_changed")
}

// updateServerGauges updates the gauges that take a look at all servers.
func (b *Box) updateServerGauges() {
	b.updateShareGauges()
	scope := b.metrics.Scope()
	scope.Gauge("servers_known").Update(float64(b.fleet.CountListed()))
	cold, own := b.fleet.CountCold()
	scope.Gauge("servers_cold").Update(float64(cold))
	scope.Gauge("servers_cold_called").Update(float64(own))
	limited, shared := b.fleet.CountLimited()
	scope.Gauge("servers_limited").Update(float64(limited))
	scope.Gauge("servers_limited_shared").Update(float64(shared))
	brittle, room, share := b.fleet.CountBrittle()
	scope.Gauge("servers_brittle").Update(float64(brittle))
	scope.Gauge("servers_brittle_room").Update(room)
	scope.Gauge("servers_brittle_share").Update(float64(share))
	for model, version := range b.registry.NewestVersions() {
		named := scope.Tagged(map[string]string{"model": model})
		named.Gauge("runners_behind").Update(float64(len(b.fleet.ServersBehind(model, version))))
	}
}

// boolGauge returns the value of a gauge that shows a boolean.
func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
