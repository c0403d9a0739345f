// Forwarding of calls between boxes, for services that one of them does not reach (docs/design/
// peer-forwarding.md).

package routed

import (
	"crypto/tls"
	"net/http"

	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/gateway"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/reach"
)

// Forwarding configures the forwarding of calls.
type Forwarding struct {
	// Box is the name of this box, and Others returns the other boxes that take forwarded calls.
	Box    string
	Others func() []peerpath.Box
	// TLS returns the configuration for connections to other boxes; nil without TLS.
	TLS func() *tls.Config
}

// assembleForwarding creates what this box needs to forward calls, if it does.
func (r *Router) assembleForwarding(cfg *gateway.Config, pool *handover.Pool) {
	if r.cfg.Forwarding == nil {
		return
	}
	r.reach = reach.New(reach.Config{Logger: r.cfg.Logger, Scope: cfg.Scope, Sample: r.fleet.SampleAddresses, Probe: pool.Probe})
	cfg.Reach, cfg.PeerTLS = r.reach, r.cfg.Forwarding.TLS
	cfg.Peers = peerpath.New(peerpath.Config{Self: r.cfg.Forwarding.Box, Others: r.forwardingBoxes})
}

// forwardingBoxes returns the boxes that take forwarded calls: those of this box's region, or all if there
// are none.
func (r *Router) forwardingBoxes() []peerpath.Box {
	return peerpath.InRegion(r.cfg.Forwarding.Others(), r.cfg.Zone, r.regions())
}

// regions maps the zones of the configuration to their regions.
func (r *Router) regions() map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	regions := map[string]string{}
	if r.snapshot != nil {
		for _, zone := range r.snapshot.File().Zones {
			regions[zone.Name] = zone.Region
		}
	}
	return regions
}

// ServeForwarded serves a call that another box forwards, under the id that the other box has given it. It
// must be reachable for other boxes only. The call does not count in the organisation's limit: it counts at
// the box of its caller, and if it counted here too, a partition of some boxes would lower the limit for the
// callers of all.
func (r *Router) ServeForwarded(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(api.HeaderRequestID, request.Header.Get(api.HeaderRequestID))
	r.gateway.ServeForwarded(w, request)
}

// Close ends the probes of unreachable services. Calls must have ended.
func (r *Router) Close() {
	if r.reach != nil {
		r.reach.Stop()
	}
}
