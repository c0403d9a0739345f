// Requests that end the servers which run them: such a request is handed to no server after the
// third, however often it is sent or, as a review that waits, run again (package quarantine).

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

// codeEndsServers is why a request is refused that ends servers.
const codeCrashesServers = "ends_servers"

// endings knows which requests end servers.
type crashTracker struct {
	quarantined *quarantine.Set
	detector    *crash.Detector
	incarnation func(server string) (string, bool)
}

func newCrashTracker(cfg Config) *crashTracker {
	e := &crashTracker{incarnation: cfg.Incarnation}
	if e.incarnation == nil {
		e.incarnation = func(string) (string, bool) { return "", false }
	}
	e.quarantined = quarantine.New(quarantine.Config{
		// Boxes of this program do not tell each other, so each tries for itself.
		MayRetry: func(quarantine.Request) bool { return true },
		OnChange: func(change quarantine.Change) { logChange(cfg.Logger, change) },
	})
	e.detector = crash.New(crash.Config{Logger: cfg.Logger, Connect: crash.Connect, Fate: e.registryStatus, OnCrash: e.noteCrash})
	return e
}

func logChange(logger zerolog.Logger, change quarantine.Change) {
	switch {
	case change.Held:
		logger.Warn().Stringer("fingerprint", change.Request).Int("ends", change.Crashes).Msg("request_held")
	case change.Released:
		logger.Warn().Stringer("fingerprint", change.Request).Msg("request_released")
	}
}

// identify names the request.
func fingerprintOf(request *flow.Request) fingerprint.Fingerprint {
	caller := ""
	if request.Organisation != nil {
		caller = request.Organisation.Name
	}
	return fingerprint.Of(fingerprint.Request{Caller: caller, Method: request.Method, Target: request.Path, Body: request.EngineBody()})
}

// fate says what is known of a server by its name.
func (e *crashTracker) registryStatus(server string) fleet.RegistryStatus {
	if _, leaving := e.incarnation(server); leaving {
		return fleet.StatusLeft
	}
	return fleet.StatusListed
}

func (e *crashTracker) noteCrash(loss crash.BrokenCall) {
	life, _ := e.incarnation(loss.Server.Incarnation)
	e.quarantined.NoteCrash(quarantine.Crash{Request: loss.Request, Caller: loss.Caller, Incarnation: xxhash.Sum64String(loss.Server.Incarnation + "@" + life)})
}

// admit gives the refusal of a request that is held.
func (e *crashTracker) admit(request *flow.Request) *apierror.Error {
	if _, admitted := e.quarantined.Admit(request.Fingerprint); admitted {
		return nil
	}
	return e.refusal(request)
}

// leastPause is the time to come back where none is known.
const minRetryAfter = time.Second

// refusal is what is said of a request that ends servers.
func (e *crashTracker) refusal(request *flow.Request) *apierror.Error {
	left, _ := e.quarantined.HeldFor(request.Fingerprint)
	return apierror.NotReady(codeCrashesServers, max(left, minRetryAfter), "servers end when they run this request")
}

// endsServers finds out whether a server that gave no answer has ended, and reports whether the
// request is to be handed to no other one for that: it was not the first.
func (e *crashTracker) crashesServers(request *flow.Request, server *config.BackendServer) bool {
	loss := crash.BrokenCall{
		Server: fleet.Server{Incarnation: server.Name, Address: server.Address}, Request: request.Fingerprint,
	}
	if request.Organisation != nil {
		loss.Caller = xxhash.Sum64String(request.Organisation.Name)
	}
	return e.detector.Check(request.Context(), loss) && e.quarantined.Crashes(request.Fingerprint) > 1
}

// NoteServed notes that a request was answered whole.
func (d *Dispatcher) NoteServed(request *flow.Request) {
	d.crashes.quarantined.NoteServed(request.Fingerprint)
}
