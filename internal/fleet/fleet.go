// Package fleet maintains an entry box's view of the backend servers.
//
// The registry in the platform's log defines which servers exist. What the box observes itself
// (refused connections, rejected calls, failures) only excludes a server for a limited time. A
// server's record is applied only if its offset is higher than that of the last one applied, so the
// view of a server never goes back to an older record while the process runs.
package fleet

import (
	"cmp"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/logposition"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config configures a Fleet.
type Config struct {
	Logger zerolog.Logger
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// ReregisterGrace is how long after the registry's recovery a server that was delisted during
	// the outage may still get calls. Most running servers register again within it.
	ReregisterGrace time.Duration
	// Heartbeat is the interval at which servers write their entries.
	Heartbeat time.Duration
	// OwnsColdServer reports whether this box is the one that calls a cold server of a zone; nil
	// means that there is no other box.
	OwnsColdServer func(zone, incarnation string) bool
	// LimitPosition returns this box's position among the boxes that share a server's rate limit;
	// nil means that there is no other box.
	LimitPosition func(zone, incarnation string) advisory.Position
	// OnRoomChange is called when this box has learned that a brittle server has less or more room,
	// which other boxes must receive at once; it may be nil. It is called
	// with the fleet's lock held.
	OnRoomChange func()
}

const (
	// DefaultReregisterGrace is shorter, by the time that a call takes to reach a server, than the
	// two seconds after which a server that was read as delisted may get no new calls. Running
	// servers register again within about this time.
	DefaultReregisterGrace = 1800 * time.Millisecond
	// DefaultHeartbeat applies to servers whose platform doesn't specify one.
	DefaultHeartbeat = 1200 * time.Millisecond
)

// maxReregisterGrace bounds the same period, counted from the last failed read, before which the
// registry can't have recovered. All boxes must follow the registry from three seconds after its
// recovery, and a box may notice the recovery 1.6 s late.
const maxReregisterGrace = 2600 * time.Millisecond

// minLapseHeartbeats is the length of the shortest registry outage, in heartbeats, in which entries
// of running servers lapse. An entry lapses after three heartbeats without a write, the first of
// which may have been just before the outage.
const minLapseHeartbeats = 2

// Fleet is the set of known backend servers.
type Fleet struct {
	cfg Config

	mu sync.Mutex
	// servers has all known incarnations, and currentIncarnation the latest one of each server, by
	// its key.
	servers            map[string]*State
	currentIncarnation map[string]string
	// groups has the servers of each service. delisted has the delisted servers in the order in
	// which they were delisted.
	groups   map[string]*group
	delisted []*State
	// reporting are the servers that Loads may have to include, and failing those with a failure
	// rate.
	reporting map[*State]struct{}
	failing   map[*State]struct{}
	// versions caches the versions of weights that servers hold.
	versions map[servedModel][]int
	// softwareVersions caches the software versions of the servers of each service.
	softwareVersions map[string][]string
	// remoteLoads is the last load report of each other box, and remoteTotals their sum by server.
	remoteLoads  map[string][]Load
	remoteTotals map[string]workTotal
	// granted is the work of other boxes' calls that this box granted places for, by server.
	granted map[string]workTotal
	// registryFailedAt is the time since which the registry can't be read; zero while it can be.
	registryFailedAt time.Time
	// lastFailedRead is when the last failed read was sent.
	lastFailedRead time.Time
	// reregisterUntil is the time until which servers whose entries lapsed during the outage may
	// register again.
	reregisterUntil time.Time
	decayedAt       time.Time
	// discovered are servers that weren't known before and haven't been logged yet.
	discovered []Update
	// arrivals is the recent rate of calls that this box places.
	arrivals arrivals
	// capacityChanged wakes the callers that wait for capacity.
	capacityChanged waiting.Signal
	// loadsChanged wakes the goroutines that report this box's load to other boxes.
	loadsChanged waiting.Signal
	// prefillRate is the learned prefill rate of runners, in tokens per millisecond.
	prefillRate float64
	// firstEventDelay is the learned time to the first event of a short prompt, and prefillSamples
	// are the samples that haven't been reported to owners yet.
	firstEventDelay time.Duration
	prefillSamples  []PrefillSample
	// latenessSamples are the samples of the lateness of servers that haven't been reported yet.
	latenessSamples []latenessSample
	// uses is what was learned about the calls with prompts, by service.
	uses map[string]*use
	// evacuated has the zones whose servers get no calls.
	evacuated evacuation.Zones
	// coldLimits has the limits for calls to cold servers, by service.
	coldLimits map[string]coldstart.Limit
	// brittle is what is known of the services that recently had a brittle server.
	brittle map[string]*brittleService
}

// New returns a fleet without servers.
func New(cfg Config) *Fleet {
	cfg.ReregisterGrace = cmp.Or(cfg.ReregisterGrace, DefaultReregisterGrace)
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, DefaultHeartbeat)
	return &Fleet{
		cfg: cfg, servers: map[string]*State{}, currentIncarnation: map[string]string{}, groups: map[string]*group{},
		reporting: map[*State]struct{}{}, failing: map[*State]struct{}{}, versions: map[servedModel][]int{}, softwareVersions: map[string][]string{},
		remoteLoads: map[string][]Load{}, remoteTotals: map[string]workTotal{}, granted: map[string]workTotal{}, uses: map[string]*use{}, brittle: map[string]*brittleService{},
		prefillRate: initialPrefillRate, firstEventDelay: initialFirstEventDelay,
	}
}

// Update is a change in the registry: the current entry of a server, or its removal.
type Update struct {
	// Key is the server's key in the registry, the same for all of its incarnations.
	Key    string
	Offset int64
	// Server is nil if the server was delisted, or if its record is invalid. An entry with an
	// invalid record hasn't lapsed, so the server gets no calls until it writes a valid one.
	Server  *Server
	Invalid bool
}

// Apply processes updates of the registry in order.
func (f *Fleet) Apply(updates []Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, update := range updates {
		f.apply(update)
	}
	f.logDiscovered()
	f.forgetDelisted()
}

// Replace processes a complete read of the registry: servers that it doesn't list are delisted.
func (f *Fleet) Replace(updates []Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[string]bool{}
	for _, update := range updates {
		listed[update.Key] = true
		f.apply(update)
	}
	f.logDiscovered()
	for key, incarnation := range f.currentIncarnation {
		if state := f.servers[incarnation]; state != nil && !listed[key] {
			f.delist(state)
		}
	}
	f.forgetDelisted()
}

func (f *Fleet) apply(update Update) {
	state := f.servers[f.currentIncarnation[update.Key]]
	if state != nil && update.Offset < state.offset {
		return
	}
	if update.Server == nil {
		f.applyRemoval(state, update)
		return
	}
	if state != nil && state.Incarnation != update.Server.Incarnation {
		f.endIncarnation(state, update)
		state = nil
	}
	f.currentIncarnation[update.Key] = update.Server.Incarnation
	if state == nil {
		state = &State{key: update.Key, others: f.remoteWork(update.Server.Incarnation)}
		f.servers[update.Server.Incarnation] = state
		f.discovered = append(f.discovered, update)
	} else if !state.delistedAt.IsZero() {
		f.log("server_back", update.Server, update.Offset)
	} else if state.Leaving != update.Server.Leaving {
		f.log("server_leaving", update.Server, update.Offset)
	}
	if update.Offset > state.offset || state.offset == 0 {
		state.coldUntil = boottime.Now().Add(update.Server.ColdFor)
		state.replacedUntil = time.Time{}
	}
	if state.Leaving && !update.Server.Leaving {
		state.ownStatements().NoteReady(boottime.Now())
	}
	returned := state.offset == 0 || !state.delistedAt.IsZero()
	f.setEntry(state, update)
	if returned {
		f.inheritBrittle(state, boottime.Now())
	}
}

// setEntry sets the entry of a server, and lists it under its service and zone.
func (f *Fleet) setEntry(state *State, update Update) {
	if state.Service != update.Server.Service || state.Zone != update.Server.Zone {
		f.removeFromGroup(state)
	}
	if !maps.Equal(state.Weights, update.Server.Weights) {
		clear(f.versions)
	}
	if state.Software != update.Server.Software {
		clear(f.softwareVersions)
	}
	state.Server, state.offset, state.delistedAt = *update.Server, update.Offset, time.Time{}
	f.addToGroup(state)
}

// applyRemoval delists a server whose record was removed or is invalid.
func (f *Fleet) applyRemoval(state *State, update Update) {
	if state == nil {
		return
	}
	state.offset = update.Offset
	f.delist(state)
	if update.Invalid {
		state.usableUntil = time.Time{}
	}
}

// endIncarnation delists the previous incarnation of a server that has restarted. Its work, its
// weights and the observations about it don't apply to the new one; calls in flight end with their
// connections.
func (f *Fleet) endIncarnation(state *State, update Update) {
	state.offset = update.Offset
	f.delist(state)
	state.usableUntil = time.Time{}
	f.log("server_restarted", update.Server, update.Offset)
}

func (f *Fleet) delist(state *State) {
	if state.delistedAt.IsZero() {
		state.delistedAt = boottime.Now()
		state.usableUntil = f.lapseGraceEnd(state.delistedAt)
		f.delisted = append(f.delisted, state)
		f.log("server_gone", &state.Server, state.offset)
	}
}

// maxDiscoveryLogs is the largest number of discovered servers of one read that are logged one by
// one, since a box that starts discovers all of them. 62 boxes that started at once with 668
// servers wrote 41,000 log lines within a second.
const maxDiscoveryLogs = 20

// logDiscovered logs the servers that weren't known before. The caller holds mu.
func (f *Fleet) logDiscovered() {
	discovered := f.discovered
	f.discovered = nil
	if len(discovered) > maxDiscoveryLogs {
		f.cfg.Logger.Info().Int("count", len(discovered)).EmbedObject(logposition.Logged(discovered[len(discovered)-1].Offset)).Msg("servers_known")
		return
	}
	for _, update := range discovered {
		f.log("server_known", update.Server, update.Offset)
	}
}

func (f *Fleet) log(event string, server *Server, offset int64) {
	f.cfg.Logger.Info().Str("server", server.Incarnation).Str("service", server.Service).Str("address", server.Address).
		Str("zone", server.Zone).Str("software", server.Software).Bool("leaving", server.Leaving).EmbedObject(logposition.Logged(offset)).Msg(event)
}

// forgetDelisted removes servers that were delisted long ago.
func (f *Fleet) forgetDelisted() {
	now := boottime.Now()
	for len(f.delisted) > 0 {
		state := f.delisted[0]
		listedAgain := state.delistedAt.IsZero()
		if !listedAgain && now.Sub(state.delistedAt) <= forgetAfter {
			return
		}
		f.delisted = f.delisted[1:]
		if !listedAgain {
			f.forget(state)
		}
	}
}

func (f *Fleet) forget(state *State) {
	f.removeFromGroup(state)
	delete(f.servers, state.Incarnation)
	delete(f.failing, state)
	delete(f.reporting, state)
	key := cmp.Or(state.key, state.Incarnation)
	if f.currentIncarnation[key] == state.Incarnation {
		delete(f.currentIncarnation, key)
	}
}

// isPresent reports whether a server may still be running: it is listed, or its entry lapsed during
// an outage of the registry and may be written again at any moment.
func (f *Fleet) isPresent(state *State, now time.Time) bool {
	return state.delistedAt.IsZero() || now.Before(state.usableUntil)
}

// CountListed counts the listed servers.
func (f *Fleet) CountListed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, state := range f.servers {
		if state.delistedAt.IsZero() {
			count++
		}
	}
	return count
}

// CapacityChanged returns a channel that is closed when a call ends at a server, a grant is
// released, another box reports its load, or an operator evacuates a zone or returns it to service.
func (f *Fleet) CapacityChanged() <-chan struct{} { return f.capacityChanged.Chan() }

// LoadsChanged returns a channel that is closed when this box places a call at a server, a call
// ends there, or an answer changes a server's statements.
func (f *Fleet) LoadsChanged() <-chan struct{} { return f.loadsChanged.Chan() }

// decayInterval is the minimum time between two decays of the failure rates.
const decayInterval = 500 * time.Millisecond

// decayFailures decays the failure rates by the time since the last decay. The caller holds mu.
func (f *Fleet) decayFailures(now time.Time) {
	elapsed := now.Sub(f.decayedAt)
	if elapsed < decayInterval {
		return
	}
	f.decayedAt = now
	for state := range f.failing {
		state.decayFailures(min(elapsed, failureHalfLife))
		if state.failureRate < negligibleFailureRate {
			state.failureRate = 0
			delete(f.failing, state)
		}
	}
}

// negligibleFailureRate is the failure rate that counts as none; it costs a call a few
// microseconds.
const negligibleFailureRate = 1e-5

// noteFailure records a failed call at a server. The caller holds mu.
func (f *Fleet) noteFailure(state *State, now time.Time, unreachable bool) {
	state.noteFailure(now, unreachable)
	f.failing[state] = struct{}{}
}
