// The life of a box from its start to the end of a planned stop.

package entrybox

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/version"
)

// Run serves calls until ctx ends, and then until the last call is answered.
func (b *Box) Run(ctx context.Context) error {
	for _, loop := range []func(context.Context){
		b.registry.LoopOperator, b.registry.LoopServers, b.lease.Loop, b.weightOrders.Loop, b.watcher.LoopFree,
		b.registry.LoopBoxes, b.share.LoopAnnounce, b.share.LoopRemoveRestored, b.share.LoopMaintainLinks, b.share.LoopExpireReports,
		b.readers.LoopFollow, b.readers.LoopAdvertise, b.readers.LoopForgetOutages,
		b.crashes.Loop, b.quarantineLog.LoopLoad, b.quarantineLog.LoopWrite,
		b.origins.Loop, b.origins.LoopRecord, b.origins.LoopBases, b.originWriter.Loop, b.baseVersions.Loop,
		b.loopCancelExpired, b.loopUpkeep,
	} {
		b.loops.Go(func() { loop(b.background) })
	}
	b.loops.Go(func() { b.share.LoopAccept(b.background, b.limits.messages(b.ports.peers)) })
	b.loops.Go(func() { b.readers.LoopAccept(b.background, b.limits.messages(b.ports.readers)) })
	b.loops.Go(func() { b.places.LoopAccept(b.background, b.limits.messages(b.ports.places)) })
	if b.ports.origins != nil {
		b.loops.Go(func() { b.origins.LoopAccept(b.background, b.limits.messages(b.ports.origins)) })
	}
	boottime.OnResume(b.onResume)
	b.serveAll()
	b.logger.Info().Str("version", version.Version).Str("callers", b.CallerAddress()).Str("ready", b.ReadyAddress()).
		Str("life", b.incarnation).Stringer("off", b.settings.Mechanisms).Msg("started")
	<-ctx.Done()
	return b.shutDown()
}

// stopMargin is how long before the stop timeout the calls still in flight are cut off.
const stopMargin = 500 * time.Millisecond

// abortTimeout is the time that the calls in flight have for an error response when they are aborted.
const abortTimeout = 200 * time.Millisecond

// abortCalls ends the calls that outlast the stop, and waits until their callers have a response.
func (b *Box) abortCalls() {
	b.gateway.CancelAll()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if err := b.shutDownCalls(ctx); err != nil {
		b.logger.Error().Int64("calls", b.gateway.InFlight()).Str("error", err.Error()).Msg("calls_not_ended")
	}
}

// shutDown performs a planned stop: it reports unready, accepts calls for UnreadyDelay, finishes
// the calls in flight, and then stops the loops.
func (b *Box) shutDown() error {
	b.logger.Info().Int64("calls", b.gateway.InFlight()).Msg("leaving")
	b.leaving.Store(true)
	end := boottime.Now().Add(b.settings.StopTimeout - stopMargin)
	time.Sleep(b.settings.UnreadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), boottime.Until(end))
	defer cancel()
	err := b.shutDownCalls(ctx)
	if err != nil {
		b.logger.Error().Int64("calls", b.gateway.InFlight()).Str("error", err.Error()).Msg("calls_aborted")
		b.abortCalls()
	}
	b.stop()
	_ = b.readyServer.Close() // a readiness poll may be cut off
	if b.metricsServer != nil {
		_ = b.metricsServer.Close() // so may a collector's request
	}
	// The loops start work that the watcher and the others wait for, so the loops end first.
	b.reach.Stop()
	b.loops.Wait()
	b.watcher.Wait()
	b.share.Wait()
	b.readers.Wait()
	b.places.Wait()
	b.origins.Wait()
	_ = b.metrics.Close() // collectors may miss the last second
	b.logCallCounts()
	b.logger.Info().Msg("stopped")
	return err
}
