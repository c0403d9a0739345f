// Forwarding of calls between boxes, for services that one of them does not reach.

package entrybox

import (
	"context"
	"errors"

	"github.com/cometlock/cometlock/internal/gateway"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/peerpath"
	"github.com/cometlock/cometlock/internal/reach"
)

// assembleForwarding creates what this box needs to forward calls.
func (b *Box) assembleForwarding(cfg *gateway.Config) {
	b.reach = reach.New(reach.Config{
		Logger: b.logger, Scope: b.metrics.Scope(), Sample: b.fleet.SampleAddresses, Probe: b.pool.Probe,
	})
	b.peerPaths = peerpath.New(peerpath.Config{Self: b.settings.Box, Others: b.forwardingBoxes})
	if b.settings.Mechanisms.Enabled(mechanism.PeerForwarding) {
		cfg.Reach, cfg.Peers, cfg.IsInformed = b.reach, b.peerPaths, b.share.IsInformed
	}
}

// forwardingBoxes returns the available boxes that take forwarded calls: those of this box's region, or all
// if there are none.
func (b *Box) forwardingBoxes() []peerpath.Box {
	var boxes []peerpath.Box
	for _, other := range b.share.Candidates() {
		if other.Box.Unavailable || other.ForwardAddress == "" {
			continue
		}
		boxes = append(boxes, peerpath.Box{Name: other.Name, Zone: other.Zone, Address: other.ForwardAddress})
	}
	return peerpath.InRegion(boxes, b.settings.Zone, b.settings.Regions)
}

// shutDownCalls closes the ports for calls and waits until the calls in flight have ended.
func (b *Box) shutDownCalls(ctx context.Context) error {
	if b.forwardServer == nil {
		return b.callerServer.Shutdown(ctx)
	}
	forwarded := make(chan error, 1)
	b.loops.Go(func() { forwarded <- b.forwardServer.Shutdown(ctx) })
	return errors.Join(b.callerServer.Shutdown(ctx), <-forwarded)
}
