// Requests that end servers: what a box finds out of them, tells others and does.

package entrybox

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// assembleSuspects makes what finds out which requests end servers.
func (b *Box) assembleSuspects() {
	scope := b.metrics.Scope()
	b.pool = handover.NewPool(handover.PoolConfig{Off: b.settings.Mechanisms, OnDial: func() { scope.Counter("server_connections").Inc(1) }})
	b.quarantine = quarantine.New(quarantine.Config{
		MayRetry: func(request quarantine.Request) bool { return b.share.RanksFirst(request.String()) },
		OnChange: b.suspectChanged,
	})
	b.crashes = crash.New(crash.Config{
		Logger: b.logger, Fate: b.fleet.RegistryStatus, Connect: b.pool.Probe, Neighbours: b.fleet.ZonePeers, OnCrash: b.noteEnd,
	})
}

// noteEnd notes a call under which a server ended.
func (b *Box) noteEnd(loss crash.BrokenCall) {
	b.quarantine.NoteCrash(quarantine.Crash{
		Request: loss.Request, Caller: loss.Caller, Incarnation: xxhash.Sum64String(loss.Server.Incarnation),
	})
}

// toldAtOnce is the number of ends from which on other boxes are told at once: of most
// requests under which one server ended nothing more will come, and a server that ends takes
// some ten along.
const toldAtOnce = 2

// tellsAtOnce reports whether others are told of a change before the next message is due: by who
// found it out, and by hubs. If all boxes passed on what they heard, the 64 followers of a hub
// would have it tell all of them 64 times.
func (b *Box) tellsAtOnce(change quarantine.Change) bool {
	return change.Crashes >= toldAtOnce && (!change.FromPeer || b.share.Hub() == "")
}

// suspectChanged writes down what is known of a request now, tells it, and ends the calls
// that must not go on.
func (b *Box) suspectChanged(change quarantine.Change) {
	if b.tellsAtOnce(change) {
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
	case change.Crashes >= toldAtOnce:
		event, message = b.logger.Info(), "request_suspected"
	default:
		return // each server that ends takes some ten along, and all boxes hear of them
	}
	event.Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Bool("heard", change.FromPeer).Msg(message)
}
