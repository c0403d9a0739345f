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
	b.partQuarantine = quarantine.New(quarantine.Config{
		Threshold: quarantine.PartThreshold,
		MayRetry:  func(part quarantine.Request) bool { return b.share.RanksFirst(part.String()) },
		OnChange:  b.onPartChange,
	})
	b.crashes = crash.New(crash.Config{
		Logger: b.logger, RegistryStatus: b.fleet.RegistryStatus, Connect: b.pool.Probe, Neighbours: b.fleet.ZonePeers, OnCrash: b.noteCrash,
	})
}

// noteCrash records a call under which a server crashed.
func (b *Box) noteCrash(broken crash.BrokenCall) {
	incarnation := xxhash.Sum64String(broken.Server.Incarnation)
	b.quarantine.NoteCrash(quarantine.Crash{Request: broken.Request, Caller: broken.Caller, Incarnation: incarnation})
	parts := make([]quarantine.Crash, len(broken.Parts))
	for i, part := range broken.Parts {
		parts[i] = quarantine.Crash{Request: part, Caller: broken.Caller, Incarnation: incarnation}
	}
	b.partQuarantine.NoteCrashes(parts)
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
	b.logQuarantineChange("request", change)
}

// onPartChange is onQuarantineChange for a part of prompts.
func (b *Box) onPartChange(change quarantine.Change) {
	if b.sharesImmediately(change) {
		b.share.SendNow()
	}
	if change.Held {
		b.gateway.CancelPart(change.Request)
	}
	b.logQuarantineChange("part", change)
}

// logQuarantineChange logs the new state of a request or a part.
func (b *Box) logQuarantineChange(kind string, change quarantine.Change) {
	event, message := b.logger.Warn(), ""
	switch {
	case change.Held:
		message = kind + "_held"
	case change.Released:
		message = kind + "_released"
	case change.Crashes >= immediateCrashes:
		event, message = b.logger.Info(), kind+"_suspected"
	default:
		return // a server that crashes takes down some ten calls, and all boxes receive each of them
	}
	event.Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Bool("heard", change.FromPeer).Msg(message)
}
