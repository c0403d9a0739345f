// Package zone is an entry box's view of the backend servers of its own availability
// zone: their load, their cached context and whether they accept requests. It chooses
// the runner of each request with a policy of package decide.
//
// The view is only approximate: load reports lag, cache events arrive late and with
// gaps, and other entry boxes send requests too. So the box adds what it has sent
// itself since the last report, and ignores a report once it is stale. What the box
// observes itself (a refused connection, a server that reports that it is leaving)
// takes precedence over any list, but only to exclude servers.
package zone

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
)

// Timeouts and parameters of the estimates of a server's state.
const (
	// coolDown is how long a server receives no requests after a failure, unless a load
	// report arrives earlier.
	coolDown = time.Second
	// staleAfter is the age at which a load report becomes too old to be used.
	staleAfter = 10 * time.Second
	// smoothingFactor is the weight of the newest sample in the exponential moving
	// averages of prefill rates and run times.
	smoothingFactor = 0.1
	// firstRunSeconds is the initial estimate of a run's time.
	firstRunSeconds = 1.0
)

// Config configures a View.
type Config struct {
	// Zone is the availability zone of this entry box.
	Zone string
	// LimitPosition returns the position of this box among the boxes of the zone that share the rate
	// limit of a runner. If it is nil, this box is the only one.
	LimitPosition func(runner string) advisory.Position
}

// View is the state of the zone's backend servers as this box sees it. It is safe for
// concurrent use.
type View struct {
	zone          string
	limitPosition func(runner string) advisory.Position

	mu       sync.Mutex
	servers  []*server // by index; the entry of a removed server is nil and can be reused
	byName   map[string]*server
	index    *Index
	snapshot *config.Snapshot
	// buffers of the decision, reused so that it does not allocate
	runners []decide.Runner
	warm    []int
	gaps    uint64
	resyncs uint64
}

// server is the state of one backend server.
type server struct {
	config      *config.BackendServer
	runnerIndex int
	hash        uint64

	status     engine.Status
	reportedAt time.Time
	failedAt   time.Time
	// leaving is from the server's own report, listedLeaving from the platform's list.
	// Either excludes the server.
	leaving       bool
	listedLeaving bool
	// evacuated reports whether the server's zone is evacuated.
	evacuated bool
	// advisoryState is the state from the advisory headers of the server's responses: rate
	// limit, pause, draining.
	advisoryState advisory.Server

	// sent is the number of unfinished runs that this box has sent, sentTokens the
	// tokens that the server still has to prefill for them.
	sent       int
	sentTokens classTokens
	// sentAtReport is sentTokens at the time of the last report: the part of the
	// reported tokens that sentTokens already includes.
	sentAtReport classTokens
	// eventCursor is the sequence number of the last applied cache event.
	eventCursor int64
	// syncedAt is the time of the last snapshot.
	syncedAt    time.Time
	incarnation string

	runSeconds float64
	rates      map[string]float64 // prefill tokens per second of each model
}

// classTokens is a number of tokens to prefill, by class of request. An engine prefills
// instant requests before all others, so an instant request waits only for those.
type classTokens [classes]int

const (
	classInstant = iota
	classOther
	classes
)

func classOf(instant bool) int {
	if instant {
		return classInstant
	}
	return classOther
}

// ahead returns the tokens that are prefilled before a new request of a class.
func (t classTokens) ahead(class int) int {
	tokens := 0
	for _, part := range t[:class+1] {
		tokens += part
	}
	return tokens
}

// New creates an empty view.
func New(cfg Config) *View {
	return &View{zone: cfg.Zone, limitPosition: cfg.LimitPosition, byName: map[string]*server{}, index: NewIndex()}
}

// Zone returns the name of the availability zone.
func (v *View) Zone() string { return v.zone }

// Configure replaces the set of servers by that of a new configuration. The state of
// servers that are in both is retained.
func (v *View) Configure(snapshot *config.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snapshot
	configured := map[string]bool{}
	for i := range snapshot.File().BackendServers {
		entry := &snapshot.File().BackendServers[i]
		if entry.Zone != v.zone || entry.Role == config.RoleStoreBox {
			continue
		}
		configured[entry.Name] = true
		v.putServer(entry)
	}
	evacuated := snapshot.Evacuated(v.zone)
	for name, srv := range v.byName {
		if !configured[name] {
			v.removeServer(srv)
		}
		srv.evacuated = evacuated
	}
}

// putServer adds or updates a server. The caller holds mu.
func (v *View) putServer(entry *config.BackendServer) {
	if srv, ok := v.byName[entry.Name]; ok && srv.config.Address == entry.Address {
		srv.config = entry
		return
	} else if ok {
		v.removeServer(srv)
	}
	index := v.freeIndex()
	if index >= MaxRunners {
		return
	}
	added := &server{config: entry, runnerIndex: index, hash: xxhash.Sum64String(entry.Name), runSeconds: firstRunSeconds, syncedAt: boottime.Now(), rates: map[string]float64{}}
	if index == len(v.servers) {
		v.servers = append(v.servers, nil)
	}
	v.servers[index] = added
	v.byName[entry.Name] = added
}

func (v *View) freeIndex() int {
	for index, srv := range v.servers {
		if srv == nil {
			return index
		}
	}
	return len(v.servers)
}

func (v *View) removeServer(srv *server) {
	v.index.Clear(srv.runnerIndex)
	v.servers[srv.runnerIndex] = nil
	delete(v.byName, srv.config.Name)
}

// ApplyStatus stores a load report.
func (v *View) ApplyStatus(name string, status engine.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv, ok := v.byName[name]
	if !ok {
		return
	}
	if srv.incarnation != status.Incarnation {
		v.index.Clear(srv.runnerIndex)
		if srv.incarnation != "" {
			srv.advisoryState = advisory.Server{}
		}
		srv.incarnation = status.Incarnation
		srv.eventCursor = 0
	}
	if srv.leaving && !status.Leaving {
		srv.advisoryState.NoteReady(boottime.Now())
	}
	srv.status = status
	srv.reportedAt = boottime.Now()
	srv.leaving = status.Leaving
	srv.failedAt = time.Time{}
	srv.sentAtReport = srv.sentTokens
}

// NoteFailure records that a server could not be reached or sent no response.
func (v *View) NoteFailure(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv, ok := v.byName[name]; ok {
		srv.failedAt = boottime.Now()
	}
}

// SetListedLeaving sets the servers that the platform lists as leaving. The list can
// only exclude servers: a server that itself reports that it is leaving stays excluded
// even if it is listed as live.
func (v *View) SetListedLeaving(leaving []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv != nil {
			srv.listedLeaving = slices.Contains(leaving, srv.config.Name)
		}
	}
}

// EventCursor returns the sequence number after which to request cache events.
func (v *View) EventCursor(name string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv, ok := v.byName[name]
	if !ok {
		return 0
	}
	if boottime.Since(srv.syncedAt) > resyncInterval {
		return snapshotCursor
	}
	return srv.eventCursor
}

// resyncInterval is the time after which a box requests a snapshot of a runner's cache.
// The index includes blocks that the runner is expected to store for the requests sent
// to it. If it never stores them, it sends no removal event either, and only a
// snapshot removes them from the index.
const resyncInterval = 10 * time.Minute

// ApplyCacheEvents applies cache events to the index. If events are missing, it requests
// a snapshot next time, since the missing events may have removed any block.
func (v *View) ApplyCacheEvents(name string, events engine.CacheEvents) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv, ok := v.byName[name]
	if !ok {
		return
	}
	if events.Incarnation != srv.incarnation || events.Snapshot {
		v.index.Clear(srv.runnerIndex)
		srv.incarnation = events.Incarnation
	}
	next := srv.eventCursor + 1
	for _, event := range events.Events {
		if !events.Snapshot && event.Sequence != next {
			v.noteGap(srv)
			return
		}
		next++
		v.index.ApplyEvent(srv.runnerIndex, event)
	}
	if !events.Snapshot && next != events.Last+1 {
		v.noteGap(srv)
		return
	}
	if events.Snapshot {
		v.resyncs++
		srv.syncedAt = boottime.Now()
	}
	srv.eventCursor = events.Last
}

// snapshotCursor requests a snapshot: engines never have all events after this sequence
// number.
const snapshotCursor = -1

func (v *View) noteGap(srv *server) {
	v.gaps++
	srv.eventCursor = snapshotCursor
}
