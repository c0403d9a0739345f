// Requests that crash servers: detection, exchange with other boxes, and quarantine.

package entrybox

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// assembleQuarantine creates the detection of requests that crash servers.
func (b *Box) assembleQuarantine() {
	scope := b.metrics.Scope()
	b.pool = handover.NewPool(handover.PoolConfig{Mechanisms: b.settings.Mechanisms, OnDial: func() { scope.Counter("server_connections").Inc(1) }})
	b.quarantine = quarantine.New(quarantine.Config{
		MayRetry: func(request quarantine.Request) bool { return b.share.RanksFirst(request.String()) },
		OnChange: b.onQuarantineChange,
	})
	b.crashes = crash.New(crash.Config{
		Logger: b.logger, RegistryStatus: b.fleet.RegistryStatus, Connect: b.pool.Probe, Neighbours: b.fleet.ZonePeers, OnCrash: b.noteCrash,
	})
}

// noteCrash records a call under which a server crashed.
func (b *Box) noteCrash(broken crash.BrokenCall) {
	b.quarantine.NoteCrash(quarantine.Crash{
		Request: broken.Request, Caller: broken.Caller, Incarnation: xxhash.Sum64String(broken.Server.Incarnation),
	})
}

// immediateCrashes is the number of crashes at which a suspected request is sent to other boxes
// immediately. After a single crash it is not: most such requests are involved in no further crash,
// and a server that crashes takes down some ten calls.
const immediateCrashes = 2

// sharesImmediately reports whether a change is sent to other boxes before the next message is due.
// The box that detected it does so, and so do hubs. If every box forwarded what it receives, the 64
// followers of a hub would cause it to send to all of them 64 times.
func (b *Box) sharesImmediately(change quarantine.Change) bool {
	return change.Crashes >= immediateCrashes && (!change.FromPeer || b.share.Hub() == "")
}

// onQuarantineChange logs the new state of a request, shares it with other boxes, and cancels the
// request's calls when it is held.
func (b *Box) onQuarantineChange(change quarantine.Change) {
	if b.sharesImmediately(change) {
		b.share.SendNow()
	}
	if change.Held {
		b.gateway.CancelRequest(change.Request)
	}
	event, message := b.logger.Warn(), ""
	switch {
	case change.Held:
		message = "request_held"
	case change.Released:
		message = "request_released"
	case change.Crashes >= immediateCrashes:
		event, message = b.logger.Info(), "request_suspected"
	default:
		return // a server that crashes takes down some ten calls, and all boxes receive each of them
	}
	event.Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Bool("heard", change.FromPeer).Msg(message)
}
