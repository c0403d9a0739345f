// Package zone holds what an entry box knows of the backend servers of its own
// availability zone.
//
// Everything here is a hint: load reports lag, cache events come late and with
// gaps, another entry box sends work of its own. So the box adds what it has
// itself sent since the last report, lets old reports fade, and trusts what it
// sees itself (a refused connection, a server that says it is leaving) before
// any list, though only for taking servers out.
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

// Timing of what is known of a server.
const (
	// coolDown is for how long a server that failed gets no new work, unless a
	// report shows it alive.
	coolDown = time.Second
	// staleAfter is the age at which a load report says nothing any more.
	staleAfter = 10 * time.Second
	// learning is the weight of the newest observation in a learnt rate.
	smoothingFactor = 0.1
	// firstRunSeconds is the guess for a run's time before any was seen.
	firstRunSeconds = 1.0
)

// Config sets up a View.
type Config struct {
	// Zone is the availability zone of this entry box.
	Zone string
	// LimitPosition says where this box stands among those of the zone that share the rate limit of a
	// runner; nil stands for a box alone.
	LimitPosition func(runner string) advisory.Position
}

// View is what is known of the zone. It is safe for concurrent use.
type View struct {
	zone          string
	limitPosition func(runner string) advisory.Position

	mu       sync.Mutex
	servers  []*server // by index; a removed server leaves a free place
	byName   map[string]*server
	index    *Index
	snapshot *config.Snapshot
	// scratch space of the decision, so that it allocates nothing
	runners []decide.Runner
	warm    []int
	gaps    uint64
	resyncs uint64
}

// server is what is known of one backend server.
type server struct {
	config *config.BackendServer
	runnerIndex  int
	hash   uint64

	status     engine.Status
	reportedAt time.Time
	failedAt   time.Time
	// leaving is what the server said itself, listedLeaving what the platform
	// lists; either takes it out.
	leaving       bool
	listedLeaving bool
	// evacuated says that its zone is.
	evacuated bool
	// advised is what the server says of itself in its answers.
	advisoryState advisory.Server

	// sent counts the runs that this box has sent and that are not finished,
	// sentTokens their prompt work that has not led to a first token yet.
	sent       int
	sentTokens classTokens
	// sentAtReport is what sentTokens was when the last report came: the part
	// of the report that this box counts itself.
	sentAtReport classTokens
	// eventsTo is the sequence number up to which cache events are folded.
	eventCursor int64
	// syncedAt is when the last snapshot came.
	syncedAt    time.Time
	incarnation string

	runSeconds float64
	rates      map[string]float64 // prefill tokens per second of each model
}

// work is prompt work in tokens, by class: an engine prefills instant requests
// before all others, so only theirs is ahead of another instant one.
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

// ahead sums the work that goes before a new request of a class.
func (w classTokens) ahead(class int) int {
	tokens := 0
	for _, part := range w[:class+1] {
		tokens += part
	}
	return tokens
}

// New makes a knowledge of nothing.
func New(cfg Config) *View {
	return &View{zone: cfg.Zone, limitPosition: cfg.LimitPosition, byName: map[string]*server{}, index: NewIndex()}
}

// Zone names the availability zone.
func (v *View) Zone() string { return v.zone }

// Configure takes over the servers of a new configuration. What is known of
// servers that stay is kept.
func (v *View) Configure(snapshot *config.Snapshot) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.snapshot = snapshot
	wanted := map[string]bool{}
	for i := range snapshot.File().BackendServers {
		entry := &snapshot.File().BackendServers[i]
		if entry.Zone != v.zone || entry.Role == config.RoleStoreBox {
			continue
		}
		wanted[entry.Name] = true
		v.putServer(entry)
	}
	evacuated := snapshot.Evacuated(v.zone)
	for name, srv := range v.byName {
		if !wanted[name] {
			v.removeServer(srv)
		}
		srv.evacuated = evacuated
	}
}

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

// ApplyStatus takes over a load report.
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

// NoteFailure notes that a server was not to be reached.
func (v *View) NoteFailure(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv, ok := v.byName[name]; ok {
		srv.failedAt = boottime.Now()
	}
}

// SetListedLeaving takes over which servers the platform lists as leaving. The list may
// only take servers out: one that says itself that it leaves stays out, whatever
// the list says, and one that the list calls live gets nothing for that.
func (v *View) SetListedLeaving(leaving []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv != nil {
			srv.listedLeaving = slices.Contains(leaving, srv.config.Name)
		}
	}
}

// EventCursor gives the sequence number after which cache events are wanted.
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

// resyncEvery is the time after which a runner's whole cache is asked for anew. A
// box expects a runner to hold what it sends there; what then does not come to be
// is never reported as removed.
const resyncInterval = 10 * time.Minute

// ApplyCacheEvents takes over cache events. Where events are missing in between, it asks for
// a snapshot the next time, since nobody knows which blocks went in the gap.
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

// snapshotWanted is a sequence number that no engine holds events after.
const snapshotCursor = -1

func (v *View) noteGap(srv *server) {
	v.gaps++
	srv.eventCursor = snapshotCursor
}
