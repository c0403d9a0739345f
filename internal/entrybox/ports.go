// The ports of a box, and what answers on each. Callers, the balancer and collectors of
// metrics each have a server of their own, so that at a stop the callers' port can close
// while the balancer is still told why no more callers should come. The port for other
// boxes is served by package loadshare.

package entrybox

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/callerconn"
)

// Limits of connections from outside where the configuration names none, and of those
// of the balancer.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// metricsPath is where collectors find the metrics, on the port of the balancer and on
// their own.
const metricsPath = "/metrics"

// ports are the open ports of a box; metrics is nil without an address of their own.
type ports struct{ callers, ready, peers, readers, places, metrics net.Listener }

// openPorts opens all ports before anything runs, so that one that is taken is one
// clear error.
func (b *Box) openPorts() error {
	for _, port := range []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"callers", b.settings.CallerAddress, &b.ports.callers},
		{"ready", b.settings.ReadyAddress, &b.ports.ready},
		{"peers", b.settings.PeerAddress, &b.ports.peers},
		{"readers", b.settings.ReaderAddress, &b.ports.readers},
		{"places", b.settings.PlacesAddress, &b.ports.places},
		{"metrics", b.settings.MetricsAddress, &b.ports.metrics},
	} {
		if port.address == "" && port.listener == &b.ports.metrics {
			continue // metrics need no address of their own
		}
		listener, err := net.Listen("tcp", port.address)
		if err != nil {
			b.closePorts()
			return merry.Prependf(err, "open the port for %s", port.name)
		}
		*port.listener = listener
	}
	return nil
}

// closePorts closes the ports of a box that does not start.
func (b *Box) closePorts() {
	for _, listener := range []net.Listener{b.ports.callers, b.ports.ready, b.ports.peers, b.ports.readers, b.ports.places, b.ports.metrics} {
		if listener != nil {
			_ = listener.Close() // nothing has used it
		}
	}
}

// CallerAddress gives the address that callers reach; its port is the one that was
// opened where the settings name port 0.
func (b *Box) CallerAddress() string { return b.ports.callers.Addr().String() }

// ReadyAddress gives the address that the balancer asks.
func (b *Box) ReadyAddress() string { return b.ports.ready.Addr().String() }

// PeerAddress gives the address that other boxes reach.
func (b *Box) PeerAddress() string { return b.ports.peers.Addr().String() }

// ReaderAddress gives the address that boxes which follow this one ask.
func (b *Box) ReaderAddress() string { return b.ports.readers.Addr().String() }

// PlacesAddress gives the address that boxes ask for places at servers.
func (b *Box) PlacesAddress() string { return b.ports.places.Addr().String() }

// assembleServers makes what answers on the ports.
func (b *Box) assembleServers() {
	b.callers = &http.Server{
		Handler: http.HandlerFunc(b.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: callerconn.TrackState,
	}
	b.ready = &http.Server{Handler: b.readyHandler(), ReadHeaderTimeout: headerTimeout}
	if b.ports.metrics != nil {
		b.collect = &http.Server{Handler: b.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	}
}

// serveAll begins to answer on all ports but that for other boxes, callers last.
func (b *Box) serveAll() {
	b.serve(b.ready, b.ports.ready)
	if b.collect != nil {
		b.serve(b.collect, b.ports.metrics)
	}
	b.serve(b.callers, callerconn.Listener{Listener: b.ports.callers, Timeouts: b.callerLimits})
}

func (b *Box) serve(server *http.Server, listener net.Listener) {
	b.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			b.logger.Error().Str("error", err.Error()).Msg("port_lost")
		}
	})
}

// serveCaller serves one call. While the box leaves, each answer tells its caller to
// use another connection, so that few are left when the port closes.
func (b *Box) serveCaller(w http.ResponseWriter, r *http.Request) {
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	b.gateway.ServeHTTP(w, r)
}

// callerLimits gives the limits of callers' connections by the configuration in force.
func (b *Box) callerLimits() callerconn.Timeouts {
	configuration := b.registry.Catalog()
	if configuration == nil {
		return callerconn.Timeouts{}
	}
	limits := configuration.Limits()
	return callerconn.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// readyHandler answers the balancer, and collectors of metrics.
func (b *Box) readyHandler() http.Handler {
	e := b.metricsHandler()
	e.GET(b.cfg.ReadyPath, func(c echo.Context) error {
		if reason := b.unreadyReason(); reason != "" {
			return c.String(http.StatusServiceUnavailable, reason)
		}
		return c.NoContent(http.StatusOK)
	})
	return e
}

// unreadyReason says why the balancer should send no callers, or nothing.
func (b *Box) unreadyReason() string {
	switch {
	case b.leaving.Load():
		return "leaving"
	case b.registry.Catalog() == nil:
		return "no configuration yet"
	case b.fleet.CountListed() == 0:
		return "no backend servers yet"
	default:
		return ""
	}
}

// metricsHandler answers collectors alone.
func (b *Box) metricsHandler() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(metricsPath, echo.WrapHandler(b.metrics.Handler()))
	return e
}
