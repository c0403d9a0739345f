// The ports of a box and their handlers. Callers, the balancer and collectors of metrics each have
// a separate HTTP server, so that at a stop the callers' port can close while the balancer still
// gets the reason why the box is unready. Package loadshare serves the port for other boxes.

package entrybox

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/callerconn"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/loadshare"
)

// Limits of callers' connections where the configuration sets none, and of the balancer's.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// metricsPath is the path of the metrics, on the balancer's port and on the metrics port.
const metricsPath = "/metrics"

// ports are the open ports of a box; forward, origins and metrics are nil without an address of their own.
type ports struct {
	callers, ready, peers, readers, places, forward, origins, metrics net.Listener
}

// portLimits are the limits of what clients of the ports make the box hold.
type portLimits struct {
	callers, boxes, operators *connlimit.Limiter
}

// newPortLimits returns the limits for the box's memory and descriptors.
func (b *Box) newPortLimits() portLimits {
	machine := connlimit.ThisMachine().Within(b.settings.MemoryBytes, b.settings.Descriptors)
	limiter := func(cfg connlimit.Config) *connlimit.Limiter {
		cfg.Logger, cfg.Scope = b.logger, b.metrics.Scope()
		return connlimit.New(cfg)
	}
	return portLimits{callers: limiter(machine.Callers()), boxes: limiter(machine.Boxes(loadshare.MaxMessageBytes)), operators: limiter(machine.Operators())}
}

// messages returns a listener for messages of other boxes.
func (l portLimits) messages(inner net.Listener) net.Listener {
	return l.boxes.Listener(inner, connlimit.MessageWeight)
}

// openPorts opens all ports before anything runs, so that a port in use is reported as one clear
// error.
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
		{"forward", b.settings.ForwardAddress, &b.ports.forward},
		{"origins", b.settings.OriginsAddress, &b.ports.origins},
		{"metrics", b.settings.MetricsAddress, &b.ports.metrics},
	} {
		if port.address == "" && (port.listener == &b.ports.metrics || port.listener == &b.ports.forward || port.listener == &b.ports.origins) {
			continue // these ports are optional
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

// closePorts closes the ports of a box that fails to start.
func (b *Box) closePorts() {
	for _, listener := range []net.Listener{b.ports.callers, b.ports.ready, b.ports.peers, b.ports.readers, b.ports.places, b.ports.forward, b.ports.origins, b.ports.metrics} {
		if listener != nil {
			_ = listener.Close() // not used yet
		}
	}
}

// CallerAddress returns the address for callers. Where the settings have port 0 it has the port
// that was opened.
func (b *Box) CallerAddress() string { return b.ports.callers.Addr().String() }

// ReadyAddress returns the address that the balancer polls.
func (b *Box) ReadyAddress() string { return b.ports.ready.Addr().String() }

// PeerAddress returns the address for other boxes.
func (b *Box) PeerAddress() string { return b.ports.peers.Addr().String() }

// ReaderAddress returns the address for boxes that follow this one.
func (b *Box) ReaderAddress() string { return b.ports.readers.Addr().String() }

// PlacesAddress returns the address at which boxes request places at servers.
func (b *Box) PlacesAddress() string { return b.ports.places.Addr().String() }

// ForwardAddress returns the address for calls that other boxes forward, or "" if there is none.
func (b *Box) ForwardAddress() string {
	if b.ports.forward == nil {
		return ""
	}
	return b.ports.forward.Addr().String()
}

// OriginsAddress returns the address at which this box holds the origins of streams, or "" if there is none.
func (b *Box) OriginsAddress() string {
	if b.ports.origins == nil {
		return ""
	}
	return b.ports.origins.Addr().String()
}

// assembleServers creates the HTTP servers of the ports.
func (b *Box) assembleServers() {
	b.callerServer = &http.Server{
		Handler: http.HandlerFunc(b.serveCaller), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	connlimit.Attach(b.callerServer, callerconn.TrackState)
	if b.ports.forward != nil {
		b.forwardServer = &http.Server{
			Handler: http.HandlerFunc(b.serveForwarded), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes,
		}
		connlimit.Attach(b.forwardServer, callerconn.TrackState)
	}
	b.readyServer = newOperatorServer(b.readyHandler())
	if b.ports.metrics != nil {
		b.metricsServer = newOperatorServer(b.metricsHandler())
	}
}

// newOperatorServer returns a server for balancers and collectors of metrics, whose requests have no bodies.
func newOperatorServer(handler http.Handler) *http.Server {
	server := &http.Server{
		Handler: connlimit.LimitBody(handler, headerTimeout), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	connlimit.Attach(server, nil)
	return server
}

// serveAll starts serving all ports except those for other boxes, the callers' port last.
func (b *Box) serveAll() {
	b.serve(b.readyServer, b.limits.operators.Listener(b.ports.ready, connlimit.HeadWeight))
	if b.metricsServer != nil {
		b.serve(b.metricsServer, b.limits.operators.Listener(b.ports.metrics, connlimit.HeadWeight))
	}
	if b.forwardServer != nil {
		// The idle time of callers' connections does not apply: it may be shorter than the time for
		// which other boxes keep theirs.
		forward := b.limits.boxes.Listener(b.ports.forward, connlimit.HeadWeight)
		b.serve(b.forwardServer, callerconn.Listener{Listener: forward, Timeouts: func() callerconn.Timeouts { return callerconn.Timeouts{} }})
	}
	callers := b.limits.callers.Listener(b.ports.callers, connlimit.HeadWeight)
	b.serve(b.callerServer, callerconn.Listener{Listener: callers, Timeouts: b.callerLimits})
}

func (b *Box) serve(server *http.Server, listener net.Listener) {
	b.loops.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			b.logger.Error().Str("error", err.Error()).Msg("port_lost")
		}
	})
}

// serveCaller serves one call. While the box is leaving, each answer closes its connection, so that
// callers use others and few are left when the port closes.
func (b *Box) serveCaller(w http.ResponseWriter, r *http.Request) {
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	b.gateway.ServeHTTP(w, r)
}

// serveForwarded serves one call that another box forwards.
func (b *Box) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	b.gateway.ServeForwarded(w, r)
}

// callerLimits returns the limits of callers' connections from the configuration in force.
func (b *Box) callerLimits() callerconn.Timeouts {
	configuration := b.registry.Catalog()
	if configuration == nil {
		return callerconn.Timeouts{}
	}
	limits := configuration.Limits()
	return callerconn.Timeouts{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// readyHandler serves the balancer and collectors of metrics.
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

// unreadyReason returns why the balancer should send no calls, or "" if the box is ready.
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

// metricsHandler serves only collectors of metrics.
func (b *Box) metricsHandler() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(metricsPath, echo.WrapHandler(b.metrics.Handler()))
	return e
}
