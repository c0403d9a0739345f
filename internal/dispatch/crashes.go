// This file quarantines requests that crash the servers that run them (see package quarantine): after
// three crashes a request is sent to no server, even if the caller sends it again or it is a review that
// is retried while it waits.

package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/crash"
	"github.com/cometlock/cometlock/internal/fingerprint"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/quarantine"
)

// codeCrashesServers is the error code for a quarantined request.
const codeCrashesServers = "ends_servers"

// crashTracker detects and quarantines requests that crash servers.
type crashTracker struct {
	quarantined *quarantine.Set
	detector    *crash.Detector
	incarnation func(server string) (string, bool)
}

func newCrashTracker(cfg Config) *crashTracker {
	t := &crashTracker{incarnation: cfg.Incarnation}
	if t.incarnation == nil {
		t.incarnation = func(string) (string, bool) { return "", false }
	}
	t.quarantined = quarantine.New(quarantine.Config{
		// The boxes of this program do not share their quarantines, so each box decides on retries
		// itself.
		MayRetry: func(quarantine.Request) bool { return true },
		OnChange: func(change quarantine.Change) { logChange(cfg.Logger, change) },
	})
	t.detector = crash.New(crash.Config{Logger: cfg.Logger, Connect: crash.Connect, RegistryStatus: t.registryStatus, OnCrash: t.noteCrash})
	return t
}

func logChange(logger zerolog.Logger, change quarantine.Change) {
	switch {
	case change.Held:
		logger.Warn().Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Msg("request_held")
	case change.Released:
		logger.Warn().Stringer("fingerprint", change.Request).Msg("request_released")
	}
}

func fingerprintOf(request *flow.Request) fingerprint.Fingerprint {
	caller := ""
	if request.Organisation != nil {
		caller = request.Organisation.Name
	}
	return fingerprint.Of(fingerprint.Request{Caller: caller, Method: request.Method, Target: request.Path, Body: request.EngineBody()})
}

// registryStatus returns the status of a server by its name.
func (t *crashTracker) registryStatus(server string) fleet.RegistryStatus {
	if _, leaving := t.incarnation(server); leaving {
		return fleet.StatusLeft
	}
	return fleet.StatusListed
}

func (t *crashTracker) noteCrash(loss crash.BrokenCall) {
	incarnation, _ := t.incarnation(loss.Server.Incarnation)
	t.quarantined.NoteCrash(quarantine.Crash{Request: loss.Request, Caller: loss.Caller, Incarnation: xxhash.Sum64String(loss.Server.Incarnation + "@" + incarnation)})
}

// admit returns the error for a quarantined request, or nil if the request may run.
func (t *crashTracker) admit(request *flow.Request) *apierror.Error {
	if _, admitted := t.quarantined.Admit(request.Fingerprint); admitted {
		return nil
	}
	return t.refusal(request)
}

// minRetryAfter is the minimum time after which the caller may retry, used if the end of the
// quarantine is not known.
const minRetryAfter = time.Second

// refusal returns the error for a request that crashes servers.
func (t *crashTracker) refusal(request *flow.Request) *apierror.Error {
	left, _ := t.quarantined.HeldFor(request.Fingerprint)
	return apierror.ServiceUnavailable(codeCrashesServers, max(left, minRetryAfter), "servers end when they run this request")
}

// crashesServers checks whether a server that sent no response has crashed. It reports whether the
// request must not be sent to another server because this was not its first crash.
func (t *crashTracker) crashesServers(request *flow.Request, server *config.BackendServer) bool {
	loss := crash.BrokenCall{
		Server: fleet.Server{Incarnation: server.Name, Address: server.Address}, Request: request.Fingerprint,
	}
	if request.Organisation != nil {
		loss.Caller = xxhash.Sum64String(request.Organisation.Name)
	}
	return t.detector.Check(request.Context(), loss) && t.quarantined.Crashes(request.Fingerprint) > 1
}

// NoteServed records that a request received its complete response.
func (d *Dispatcher) NoteServed(request *flow.Request) {
	d.crashes.quarantined.NoteServed(request.Fingerprint)
}
