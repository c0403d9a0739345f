// Requests that crash servers: detection, exchange with other boxes, and quarantine.

package entrybox

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/quarantinelog"
)

// assembleQuarantine creates the detection of requests that crash servers.
func (b *Box) assembleQuarantine() {
	scope := b.metrics.Scope()
	b.pool = handover.NewPool(handover.PoolConfig{Mechanisms: b.settings.Mechanisms, OnDial: func() { scope.Counter("server_connections").Inc(1) }})
	b.quarantine = quarantine.New(quarantine.Config{
		MayRetry: func(request quarantine.Request) bool { return b.isElected(request.String()) },
		OnChange: b.onQuarantineChange,
	})
	b.partQuarantine = quarantine.New(quarantine.Config{
		Threshold: quarantine.PartThreshold,
		MayRetry:  func(part quarantine.Request) bool { return b.isElected(part.String()) },
		OnChange:  b.onPartChange,
	})
	b.quarantineLog = quarantinelog.New(quarantinelog.Config{
		Log: b.log, Eras: b.log.Eras(), Logger: b.logger, Requests: b.quarantine, Parts: b.partQuarantine,
		IsWriter: func() bool { return !b.leaving.Load() && b.isElected(quarantineWriter) },
		ReadsLog: func() bool { return b.readers.ReadsLog() }, OnLoaded: b.onQuarantineLoaded,
	})
	b.crashes = crash.New(crash.Config{
		Logger: b.logger, RegistryStatus: b.fleet.RegistryStatus, Connect: b.pool.Probe, Neighbours: b.fleet.ZonePeers, OnCrash: b.noteCrash,
	})
}

// quarantineWriter is the name whose first box by rendezvous hashing records what is held in the log.
const quarantineWriter = "quarantine"

// electionDelay is how long after its start a box ranks itself first only if it receives the reports of others.
const electionDelay = 10 * time.Second

// isElected reports whether this box ranks first for a name by rendezvous hashing.
func (b *Box) isElected(name string) bool {
	return mayRankFirst(b.share.BoxListLoaded(), b.share.HeardCount(), b.share.BoxCount(), boottime.Since(b.startedAt)) && b.share.RanksFirst(name)
}

// mayRankFirst reports whether a box may rank itself first: not soon after its start while it does not receive
// the reports of half of the listed boxes. When all boxes start at once, each of them would.
func mayRankFirst(listLoaded bool, others, listed int, uptime time.Duration) bool {
	return uptime >= electionDelay || listLoaded && 2*(others+1) >= listed
}

// awaitQuarantine waits for what the log has of what is held if a call could be sent to a server.
func (b *Box) awaitQuarantine(ctx context.Context) {
	if !b.quarantineLog.IsLoaded() && b.fleet.CountListed() > 0 {
		b.quarantineLog.Await(ctx)
	}
}

// onQuarantineLoaded reports to followers and other boxes that this one has what the log has. Hubs pass that on.
func (b *Box) onQuarantineLoaded() {
	b.streamsChanged.Broadcast() // followers that start wait for it
	if b.readers.ReadsLog() || b.share.Hub() == "" {
		b.share.SendNow()
	}
}

// noteCrash records a call under which a server crashed.
func (b *Box) noteCrash(broken crash.BrokenCall) {
	incarnation := xxhash.Sum64String(broken.Server.Incarnation)
	b.quarantine.NoteCrash(quarantine.Crash{Request: broken.Request, Caller: broken.Caller, Incarnation: incarnation})
	parts := make([]quarantine.Crash, len(broken.Parts))
	for i, part := range broken.Parts {
		parts[i] = quarantine.Crash{Request: part, Caller: broken.Caller, Incarnation: incarnation, Running: broken.Running}
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
	b.quarantineLog.Notify()
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
	b.quarantineLog.Notify()
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
	event.Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Bool("heard", change.FromPeer).Bool("recorded", change.Recorded).Msg(message)
}
