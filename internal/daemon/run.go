package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/version"
)

// Run serves until ctx ends or an operator drains the box,
// and then until the last request in flight has its answer.
func (d *Daemon) Run(ctx context.Context) error {
	d.startLoops()
	d.serve(d.admin, d.ports.admin)
	d.serve(d.caller, d.ports.caller)
	d.logger.Info().Str("version", version.Version).Str("callers", d.CallerAddress()).Str("admin", d.AdminAddress()).
		Str("peers", d.PeerAddress()).Str("incarnation", d.incarnation).Msg("started")
	select {
	case <-ctx.Done():
		d.beginDrain()
	case <-d.drain:
	}
	return d.shutDown()
}

// startLoops starts one goroutine for each duty.
func (d *Daemon) startLoops() {
	d.pipeline.Start(d.background)
	for _, loop := range []func(context.Context){d.follower.Loop, d.exchange.Loop, d.settle.Loop, d.rollout.Loop, d.keeper.Loop, d.dispatcher.Loop} {
		d.loops.Go(func() { loop(d.background) })
	}
	d.loops.Go(func() { d.exchange.Serve(d.background, d.ports.peer) })
	d.claims.Preload()
	d.reviews.Start()
	d.loops.Go(func() { d.loopGauges(d.background) })
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	if d.callerTLS != nil {
		listener = tls.NewListener(listener, d.callerTLS.ServerConfig())
	}
	d.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error().Str("error", err.Error()).Msg("port_lost")
		}
	})
}

// Abort ends the box at once, as a crash does; tests use it.
func (d *Daemon) Abort() {
	d.stop()
	d.reviews.Close()
	_ = d.caller.Close()
	_ = d.admin.Close()
	d.beginDrain()
}

// shutDown is a planned stop: turn unready and wait for the balancer to see it,
// take no new connection, finish what is in flight, then end.
func (d *Daemon) shutDown() error {
	d.logger.Info().Msg("leaving")
	d.exchange.SetLeaving()
	time.Sleep(d.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	err := d.caller.Shutdown(ctx)
	if err != nil {
		d.logger.Error().Str("error", err.Error()).Msg("requests_cut_off")
	}
	d.reviews.Drain(ctx)
	d.claims.Drain(ctx)
	d.stop()
	d.closeAdmin()
	d.pipeline.Wait()
	d.watcher.Close()
	d.claims.Close()
	d.reviews.Close()
	d.loops.Wait()
	_ = d.metrics.Close() // a collector that missed the last second
	d.logger.Info().Int64("settled", d.settle.Settled()).Msg("stopped")
	return err
}

// adminLimit bounds the wait for answers to operators: whoever drains a box that has nothing to
// do is answered while it ends.
const adminLimit = 500 * time.Millisecond

// closeAdmin ends the operators' port. Answers under way are finished: the answer to the order
// to drain was cut off when the box ended at once.
func (d *Daemon) closeAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminLimit)
	defer cancel()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.logger.Warn().Str("error", err.Error()).Msg("operators_cut_off")
		_ = d.admin.Close() // they were given their time
	}
}

// gaugeInterval is the time between two looks at what gauges show.
const gaugeInterval = time.Second

// loopGauges keeps the gauges that no event updates.
func (d *Daemon) loopGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	scope := d.metrics.Scope()
	for {
		reviews := d.reviews.State()
		scope.Gauge("reviews_waiting").Update(float64(len(reviews.Waiting)))
		scope.Gauge("reviews_at_risk").Update(float64(reviews.AtRisk))
		scope.Gauge("reviews_missed").Update(float64(reviews.Missed))
		scope.Gauge("reviews_oldest_seconds").Update(reviews.OldestSeconds)
		admitted := d.admit.State()
		scope.Gauge("requests_waiting").Update(float64(admitted.Waiting))
		scope.Gauge("requests_in_flight").Update(float64(admitted.InFlight))
		config := d.follower.Status()
		scope.Gauge("config_version").Update(float64(config.Version))
		scope.Gauge("log_reachable").Update(boolGauge(config.LogReachable))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
