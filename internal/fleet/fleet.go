// Package fleet holds what an entry box believes of the backend servers.
//
// The registry in the platform's log says which servers there are; what the box
// sees itself (refused connections, refusals, failures) only ever takes a server
// out for a while. A server's record is taken over only when its offset is later
// than the one known, so that no belief goes back while the process lives.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/coldstart"
	"github.com/cometlock/cometlock/internal/evacuation"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config sets up a Fleet.
type Config struct {
	Logger zerolog.Logger
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// Returning is how long after the registry's return a server that it dropped
	// meanwhile is still believed in: most living servers are back within it.
	Returning time.Duration
	// Heartbeat is how often servers write their entries.
	Heartbeat time.Duration
	// CallsCold reports whether it is this box that calls a cold server of a zone; nil stands for
	// a box alone.
	CallsCold func(zone, incarnation string) bool
	// LimitPosition says where this box stands among those that share the rate limit of a server of a
	// zone; nil stands for a box alone.
	LimitPosition func(zone, incarnation string) advisory.Position
}

const (
	// DefaultReturning is below the two seconds after which nothing new may reach a server
	// whose going was read, by the time that a call takes to reach it. Living servers enter
	// themselves again within about as long.
	DefaultReturning = 1800 * time.Millisecond
	// DefaultHeartbeat is that of servers whose platform does not say.
	DefaultHeartbeat = 1200 * time.Millisecond
)

// returningAtMost is the same from the last question without an answer on, before which the
// registry was not back. Three seconds after its return its word counts for all boxes, and a
// box may notice the return 1.6 s late.
const returningAtMost = 2600 * time.Millisecond

// lapseHeartbeats is the least absence of the registry, in heartbeats, in which entries of
// living servers lapse: three without a write, the first of which may have come just before
// the registry went away.
const lapseHeartbeats = 2

// Fleet is the set of known backend servers.
type Fleet struct {
	cfg Config

	mu sync.Mutex
	// servers are all lives that are known, by incarnation, and lives the present one of each
	// server, by its key.
	servers   map[string]*State
	lives     map[string]string
	byService map[string][]*State
	// remote is what each other box last told, remoteTotals its sum by server.
	remote       map[string][]Load
	remoteTotals map[string]workTotal
	// granted is the work of calls of other boxes that were granted places, by server.
	granted map[string]workTotal
	// lostAt is since when the registry cannot be read; zero while it can be.
	lostAt time.Time
	// askedInVain is when the last question without an answer was put.
	askedInVain time.Time
	// returnsUntil is until when servers may come back whose entries lapsed while the
	// registry was away.
	returnsUntil time.Time
	fadedAt      time.Time
	// found are servers that were not known before, which have no line in the log yet.
	found []Update
	// arrivals is what this box places.
	arrivals arrivals
	// freed wakes those who wait for room.
	freed waiting.Signal
	// changed wakes those who tell other boxes of this one's work.
	changed waiting.Signal
	// readRate is how many prompt tokens a runner reads in a millisecond, as
	// learnt.
	readRate float64
	// firstEvent is the time to the first event of a short prompt, as learnt, and readings are
	// what was seen of runners and not reported yet.
	firstEvent time.Duration
	readings   []Reading
	// evacuated holds the zones whose servers get no calls.
	evacuated evacuation.Zones
	// coldLimits bounds the calls to cold servers, by service.
	coldLimits map[string]coldstart.Limit
}

// New makes a fleet without servers.
func New(cfg Config) *Fleet {
	cfg.Returning = cmp.Or(cfg.Returning, DefaultReturning)
	cfg.Heartbeat = cmp.Or(cfg.Heartbeat, DefaultHeartbeat)
	return &Fleet{
		cfg: cfg, servers: map[string]*State{}, lives: map[string]string{}, byService: map[string][]*State{},
		remote: map[string][]Load{}, remoteTotals: map[string]workTotal{}, granted: map[string]workTotal{}, readRate: firstReadRate, firstEvent: firstEventTime,
	}
}

// Update is one word of the registry: a server as it is now, or that it is gone.
type Update struct {
	// Key is what the registry names the server by, in all of its lives.
	Key    string
	Offset int64
	// Server is nil when the server is gone, or when what stands there names none, as Unclear
	// says: then it has not lapsed, and is not to be used until it says of itself again.
	Server  *Server
	Unclear bool
}

// Apply takes over words of the registry in their order.
func (f *Fleet) Apply(updates []Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, update := range updates {
		f.apply(update)
	}
	f.tellKnown()
	f.regroup()
}

// Replace takes over a whole reading of the registry: servers that it does not
// name are gone.
func (f *Fleet) Replace(updates []Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	named := map[string]bool{}
	for _, update := range updates {
		named[update.Key] = true
		f.apply(update)
	}
	f.tellKnown()
	for key, incarnation := range f.lives {
		if state := f.servers[incarnation]; state != nil && !named[key] {
			f.drop(state)
		}
	}
	f.regroup()
}

func (f *Fleet) apply(update Update) {
	state := f.servers[f.lives[update.Key]]
	if state != nil && update.Offset < state.offset {
		return
	}
	if update.Server == nil {
		f.dropBy(state, update)
		return
	}
	if state != nil && state.Incarnation != update.Server.Incarnation {
		f.endLife(state, update)
		state = nil
	}
	f.lives[update.Key] = update.Server.Incarnation
	if state == nil {
		state = &State{}
		f.servers[update.Server.Incarnation] = state
		f.found = append(f.found, update)
	} else if !state.gone.IsZero() {
		f.log("server_back", update.Server, update.Offset)
	} else if state.Leaving != update.Server.Leaving {
		f.log("server_leaving", update.Server, update.Offset)
	}
	if update.Offset > state.offset || state.offset == 0 {
		state.coldUntil = boottime.Now().Add(update.Server.ColdFor)
		state.replacedUntil = time.Time{}
	}
	if state.Leaving && !update.Server.Leaving {
		state.advised.NoteReady(boottime.Now())
	}
	state.Server, state.offset, state.gone = *update.Server, update.Offset, time.Time{}
}

// dropBy drops a server by a record that names none.
func (f *Fleet) dropBy(state *State, update Update) {
	if state == nil {
		return
	}
	state.offset = update.Offset
	f.drop(state)
	if update.Unclear {
		state.believedUntil = time.Time{}
	}
}

// endLife ends a life of a server that has started again. What was seen of it, what it held
// and the work there are of that life; calls under way end by their connections.
func (f *Fleet) endLife(state *State, update Update) {
	state.offset = update.Offset
	f.drop(state)
	state.believedUntil = time.Time{}
	f.log("server_restarted", update.Server, update.Offset)
}

func (f *Fleet) drop(state *State) {
	if state.gone.IsZero() {
		state.gone = boottime.Now()
		state.believedUntil = f.mayHaveLapsedUntil(state.gone)
		f.log("server_gone", &state.Server, state.offset)
	}
}

// mostLines bounds the lines on servers that one reading finds: a box that starts finds all of
// them. 62 boxes that started at once before 668 servers wrote 41,000 lines within a second.
const mostLines = 20

// tellKnown writes down the servers that were not known before. The caller holds mu.
func (f *Fleet) tellKnown() {
	found := f.found
	f.found = nil
	if len(found) > mostLines {
		f.cfg.Logger.Info().Int("count", len(found)).Int64("offset", found[len(found)-1].Offset).Msg("servers_known")
		return
	}
	for _, update := range found {
		f.log("server_known", update.Server, update.Offset)
	}
}

func (f *Fleet) log(event string, server *Server, offset int64) {
	f.cfg.Logger.Info().Str("server", server.Incarnation).Str("service", server.Service).Str("address", server.Address).
		Str("zone", server.Zone).Bool("leaving", server.Leaving).Int64("offset", offset).Msg(event)
}

// RegistryLost notes that a question to the registry had no answer.
func (f *Fleet) RegistryLost(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.askedInVain = asked
	if f.lostAt.IsZero() {
		f.lostAt = boottime.Now()
	}
}

// RegistryBack notes that the registry is read again: if it was away for long, the servers
// that still live enter it anew.
func (f *Fleet) RegistryBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := boottime.Now(); f.longLost(now) {
		f.returnsUntil = f.returnsFrom(now)
	}
	f.lostAt = time.Time{}
}

// longLost reports whether the registry has been away for so long that entries of living
// servers lapse.
func (f *Fleet) longLost(now time.Time) bool {
	return !f.lostAt.IsZero() && now.Sub(f.lostAt) >= lapseHeartbeats*f.cfg.Heartbeat
}

// returnsFrom gives until when living servers come back if the registry is back now.
func (f *Fleet) returnsFrom(now time.Time) time.Time {
	return slices.MinFunc([]time.Time{now.Add(f.cfg.Returning), f.askedInVain.Add(returningAtMost)}, time.Time.Compare)
}

// mayHaveLapsedUntil gives until when a server that is found gone now is still believed in.
// Only the entries of those that are found gone with the registry's return may have lapsed.
// When every server that was gone counted as perhaps lapsed, one read that failed brought
// calls to servers that had left long before, 11.9 s in one case.
func (f *Fleet) mayHaveLapsedUntil(now time.Time) time.Time {
	if f.longLost(now) {
		return f.returnsFrom(now) // another box could read
	}
	return f.returnsUntil
}

// forgetAfter is how long a server that is gone is remembered, so that a late
// record does not bring it back as a new one.
const forgetAfter = time.Minute

// regroup forgets servers that are long gone and groups the others.
func (f *Fleet) regroup() {
	now := boottime.Now()
	clear(f.byService)
	for incarnation, state := range f.servers {
		if !state.gone.IsZero() && now.Sub(state.gone) > forgetAfter {
			delete(f.servers, incarnation)
			continue
		}
		f.byService[state.Service] = append(f.byService[state.Service], state)
	}
	maps.DeleteFunc(f.lives, func(_, incarnation string) bool { return f.servers[incarnation] == nil })
}

// present reports whether the box still believes in a server: it is listed, or it
// lapsed while the registry was away and may be back at any moment.
func (f *Fleet) present(state *State, now time.Time) bool {
	return state.gone.IsZero() || now.Before(state.believedUntil)
}

// Known counts the servers that are listed.
func (f *Fleet) Known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, state := range f.servers {
		if state.gone.IsZero() {
			count++
		}
	}
	return count
}

// Freed gives a channel that is closed when a call ends at a server, or another box tells
// of its work.
func (f *Fleet) Freed() <-chan struct{} { return f.freed.Chan() }

// Changed gives a channel that is closed when this box places a call at a server or ends one
// there.
func (f *Fleet) Changed() <-chan struct{} { return f.changed.Chan() }

// fadeEvery is the time between two rounds of fading.
const fadeEvery = 500 * time.Millisecond

// fade lets old failures count less. The caller holds mu.
func (f *Fleet) fade(now time.Time) {
	passed := now.Sub(f.fadedAt)
	if passed < fadeEvery {
		return
	}
	f.fadedAt = now
	for _, state := range f.servers {
		state.fade(min(passed, failingHalfLife))
	}
}
