// What a box looks after once a second: its part of what all boxes share, which
// follows their number, and the gauges.

package entrybox

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// upkeepEvery is the time between two looks at what follows the number of boxes and
// at what gauges show.
const upkeepEvery = time.Second

// callsToldEvery is the time between two lines on the calls of the platform's log.
const callsToldEvery = 10 * time.Second

// tellCalls writes a line on the calls of the platform's log since the last one: each has a
// price, and this tells which box made them and why.
func (b *Box) tellCalls() {
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

// noteSuspension writes down that the machine was suspended, and for how long. What the box knows
// is as much older from now on (package boottime).
func (b *Box) noteSuspension(length time.Duration) {
	b.logger.Warn().Dur("length", length).Msg("machine_suspended")
	b.woke.Broadcast()
}

// loopWake ends the calls whose time passed in a suspension, until ctx ends.
func (b *Box) loopWake(ctx context.Context) {
	for ctx.Err() == nil {
		woke := b.woke.Chan()
		select {
		case <-woke:
			b.gateway.CancelExpired()
		case <-ctx.Done():
		}
	}
}

// loopUpkeep keeps gauges, and this box's part of what all boxes share, until ctx
// ends.
func (b *Box) loopUpkeep(ctx context.Context) {
	ticker := time.NewTicker(upkeepEvery)
	defer ticker.Stop()
	toldAt := boottime.Now()
	for {
		if boottime.Since(toldAt) >= callsToldEvery {
			toldAt = boottime.Now()
			b.tellCalls()
		}
		b.budget.SetBurst(b.retryBurst())
		b.showGauges()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Retry budget. The platform bounds the retries of all boxes together by a share of
// the calls and a number on top. A box takes half of the share, since calls of the
// last seconds count, and its part of most of the number.
const (
	retryRatioPart = 0.5
	retrySlackPart = 0.7
)

// retryBurst is this box's part of the retries that need no calls.
func (b *Box) retryBurst() float64 {
	return max(1, retrySlackPart*b.settings.RetrySlack/float64(b.share.BoxCount()))
}

func (b *Box) showGauges() {
	scope := b.metrics.Scope()
	scope.Gauge("calls_in_flight").Update(float64(b.gateway.InFlight()))
	scope.Gauge("calls_waiting").Update(float64(b.gateway.Waiting()))
	budget := b.budget.State()
	scope.Gauge("retries_saved").Update(budget.Balance)
	scope.Gauge("retries_denied").Update(float64(budget.Denied))
	held, suspected := b.quarantine.Counts()
	scope.Gauge("requests_held").Update(float64(held))
	scope.Gauge("requests_suspected").Update(float64(suspected))
	scope.Gauge("order_lease_held").Update(oneIf(b.lease.Held()))
	scope.Gauge("servers_known").Update(float64(b.fleet.CountListed()))
	cold, own := b.fleet.CountCold()
	scope.Gauge("servers_cold").Update(float64(cold))
	scope.Gauge("servers_cold_called").Update(float64(own))
	limited, shared := b.fleet.CountLimited()
	scope.Gauge("servers_limited").Update(float64(limited))
	scope.Gauge("servers_limited_shared").Update(float64(shared))
	scope.Gauge("zones_evacuated").Update(float64(len(b.fleet.EvacuatedZones())))
	scope.Gauge("servers_read_age_seconds").Update(b.registry.ServersAge().Seconds())
	scope.Gauge("boxes_known").Update(float64(b.share.BoxCount()))
	scope.Gauge("is_hub").Update(oneIf(b.share.Hub() == ""))
	scope.Gauge("reads_for_itself").Update(oneIf(b.readers.Following() == ""))
	scope.Gauge("boxes_heard").Update(float64(len(b.share.Peers()) + 1))
	if catalog := b.registry.Catalog(); catalog != nil {
		scope.Gauge("configuration_version").Update(float64(catalog.Version()))
		scope.Gauge("operators_read_age_seconds").Update(boottime.Since(b.registry.OperatorReadAt()).Seconds())
	}
	for model, version := range b.registry.NewestVersions() {
		named := scope.Tagged(map[string]string{"model": model})
		named.Gauge("weights_named").Update(float64(version))
		named.Gauge("runners_behind").Update(float64(len(b.fleet.ServersBehind(model, version))))
	}
	for _, store := range b.parts.State() {
		tagged := scope.Tagged(map[string]string{"store_box": store.Name})
		tagged.Gauge("store_parts").Update(float64(store.Parts))
		tagged.Gauge("store_tokens").Update(float64(store.Used))
		tagged.Gauge("store_word_age_seconds").Update(store.Age.Seconds())
	}
}

// oneIf is how gauges show what holds or not.
func oneIf(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
