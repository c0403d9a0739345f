// Forwarding of routed calls between boxes: the port for calls that other boxes forward, and the boxes that
// take the calls of this one.

package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"

	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/routed"
)

// forwarding returns the configuration of package routed, or nil if this box has no port for forwarded
// calls.
func (d *Daemon) forwarding() *routed.Forwarding {
	if d.ports.forward == nil {
		return nil
	}
	cfg := &routed.Forwarding{Box: d.settings.Box, Others: d.forwardingBoxes}
	if d.peerTLS != nil {
		cfg.TLS = d.peerTLS.ClientConfig
	}
	return cfg
}

// forwardingBoxes returns the other boxes that take forwarded calls.
func (d *Daemon) forwardingBoxes() []peerpath.Box {
	var boxes []peerpath.Box
	for _, status := range d.gossiper.ForwardingBoxes() {
		boxes = append(boxes, peerpath.Box{Name: status.Box, Zone: status.Zone, Address: status.ForwardAddress})
	}
	return boxes
}

// newForwardServer returns the server for forwarded calls, or nil if this box has no port for them. The
// limit of headers is twice that of callers, since boxes add some to those of the caller.
func (d *Daemon) newForwardServer() *http.Server {
	if d.ports.forward == nil {
		return nil
	}
	server := &http.Server{
		Handler: http.HandlerFunc(d.serveForwarded), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeaderBytes,
	}
	connlimit.Attach(server, nil)
	return server
}

// serveForwarded serves one call that another box forwards. While the box is leaving, each answer closes its
// connection, so that few are left when the port closes.
func (d *Daemon) serveForwarded(w http.ResponseWriter, r *http.Request) {
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	d.router.ServeForwarded(w, r)
}

// startForwardServer starts serving forwarded calls, with the TLS files of connections between boxes.
func (d *Daemon) startForwardServer() {
	if d.forwardServer == nil {
		return
	}
	listener := d.ports.forward
	if d.peerTLS != nil {
		listener = tls.NewListener(listener, d.peerTLS.ServerConfig())
	}
	d.loops.Go(func() {
		if err := d.forwardServer.Serve(limited(d.limits.boxes, listener)); !errors.Is(err, http.ErrServerClosed) {
			d.logger.Error().Str("error", err.Error()).Msg("port_lost")
		}
	})
}

// shutDownCalls closes the ports for calls and waits until the calls in flight have ended.
func (d *Daemon) shutDownCalls(ctx context.Context) error {
	if d.forwardServer == nil {
		return d.callerServer.Shutdown(ctx)
	}
	forwarded := make(chan error, 1)
	d.loops.Go(func() { forwarded <- d.forwardServer.Shutdown(ctx) })
	return errors.Join(d.callerServer.Shutdown(ctx), <-forwarded)
}

// ForwardAddress returns the address for calls that other boxes forward, or "" if there is none.
func (d *Daemon) ForwardAddress() string {
	if d.ports.forward == nil {
		return ""
	}
	return d.ports.forward.Addr().String()
}
