package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/version"
)

// Run serves requests until ctx ends or an operator drains the box, and then shuts down: it returns
// when the last request in flight is completed or the stop timeout has passed.
func (d *Daemon) Run(ctx context.Context) error {
	d.startLoops()
	d.serve(d.admin, d.ports.admin, d.limits.operators)
	d.startForwardServer()
	d.serve(d.callerServer, d.ports.caller, d.limits.callers)
	d.logger.Info().Str("version", version.Version).Str("callers", d.CallerAddress()).Str("admin", d.AdminAddress()).
		Str("peers", d.PeerAddress()).Str("forward", d.ForwardAddress()).Str("incarnation", d.incarnation).Msg("started")
	select {
	case <-ctx.Done():
		d.beginDrain()
	case <-d.drainRequested:
	}
	return d.shutDown()
}

// startLoops starts the background goroutines.
func (d *Daemon) startLoops() {
	d.pipeline.Start(d.background)
	for _, loop := range []func(context.Context){d.follower.Loop, d.gossiper.Loop, d.settle.Loop, d.rollout.Loop, d.offloader.Loop, d.dispatcher.Loop} {
		d.loops.Go(func() { loop(d.background) })
	}
	d.loops.Go(func() { d.gossiper.Serve(d.background, d.ports.peer) })
	d.claims.Preload()
	d.reviews.Start()
	d.loops.Go(func() { d.loopGauges(d.background) })
}

func (d *Daemon) serve(server *http.Server, listener net.Listener, limiter *connlimit.Limiter) {
	if d.callerTLS != nil {
		listener = tls.NewListener(listener, d.callerTLS.ServerConfig())
	}
	d.loops.Go(func() {
		if err := server.Serve(limited(limiter, listener)); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error().Str("error", err.Error()).Msg("port_lost")
		}
	})
}

// Abort stops the box immediately, without draining. Tests use it to simulate a crash.
func (d *Daemon) Abort() {
	d.stop()
	d.reviews.Close()
	_ = d.callerServer.Close()
	if d.forwardServer != nil {
		_ = d.forwardServer.Close()
	}
	_ = d.admin.Close()
	d.beginDrain()
}

// shutDown stops the box gracefully. The box already reports that it is unready. shutDown announces the
// stop to the other boxes, waits for the load balancer to notice, closes the callers' listener, waits
// for the requests in flight, and then stops the components.
func (d *Daemon) shutDown() error {
	d.logger.Info().Msg("leaving")
	d.gossiper.SetLeaving()
	time.Sleep(d.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	err := d.shutDownCalls(ctx)
	if err != nil {
		d.logger.Error().Str("error", err.Error()).Msg("requests_aborted")
		d.abortCalls()
	}
	d.reviews.Drain(ctx)
	d.claims.Drain(ctx)
	d.stop()
	d.router.Close()
	d.shutDownAdmin()
	d.pipeline.Wait()
	d.watcher.Close()
	d.claims.Close()
	d.reviews.Close()
	d.loops.Wait()
	_ = d.metrics.Close() // an error loses only the counts of the last second
	d.logger.Info().Int64("settled", d.settle.Settled()).Msg("stopped")
	return err
}

// abortTimeout is the time that requests in flight have for an error response when they are aborted.
const abortTimeout = 200 * time.Millisecond

// abortCalls ends the requests that outlast the stop, and waits until their callers have a response. Their connections are
// closed with the process.
func (d *Daemon) abortCalls() {
	// Calls of routes are answered before their contexts end, which means to package gateway that the caller has left.
	d.router.CancelAll()
	_ = d.awaitCalls() // others are still in flight
	d.cancelCalls(flow.ErrStopping)
	if err := d.awaitCalls(); err != nil {
		d.logger.Error().Str("error", err.Error()).Msg("requests_not_ended")
	}
}

// awaitCalls waits until no request is in flight, for abortTimeout at most.
func (d *Daemon) awaitCalls() error {
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	return d.shutDownCalls(ctx)
}

// adminShutdownTimeout bounds the wait for responses to operators. An idle box shuts down as soon as
// it is drained, and the response to the drain request must still be sent.
const adminShutdownTimeout = 500 * time.Millisecond

// shutDownAdmin closes the operators' port after responses in progress are sent. Without that wait,
// the response to the drain request was cut off.
func (d *Daemon) shutDownAdmin() {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	if err := d.admin.Shutdown(ctx); err != nil {
		d.logger.Warn().Str("error", err.Error()).Msg("admin_requests_aborted")
		_ = d.admin.Close() // the timeout has passed
	}
}

// gaugeInterval is the time between two updates of the gauges in loopGauges.
const gaugeInterval = time.Second

// loopGauges periodically updates the gauges that are sampled rather than updated by events.
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
		d.limits.calls.Observe(time.Now())
		scope.Gauge("memory_held_bytes").Update(float64(d.limits.calls.Held()))
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
