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
	learning = 0.1
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
	place  int
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
	advised advisory.Server

	// sent counts the runs that this box has sent and that are not finished,
	// sentTokens their prompt work that has not led to a first token yet.
	sent       int
	sentTokens work
	// sentAtReport is what sentTokens was when the last report came: the part
	// of the report that this box counts itself.
	sentAtReport work
	// eventsTo is the sequence number up to which cache events are folded.
	eventsTo int64
	// syncedAt is when the last snapshot came.
	syncedAt    time.Time
	incarnation string

	runSeconds float64
	rates      map[string]float64 // prefill tokens per second of each model
}

// work is prompt work in tokens, by class: an engine prefills instant requests
// before all others, so only theirs is ahead of another instant one.
type work [classes]int

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
func (w work) ahead(class int) int {
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
func (k *View) Zone() string { return k.zone }

// Configure takes over the servers of a new configuration. What is known of
// servers that stay is kept.
func (k *View) Configure(snapshot *config.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.snapshot = snapshot
	wanted := map[string]bool{}
	for i := range snapshot.File().BackendServers {
		entry := &snapshot.File().BackendServers[i]
		if entry.Zone != k.zone || entry.Role == config.RoleStoreBox {
			continue
		}
		wanted[entry.Name] = true
		k.put(entry)
	}
	evacuated := snapshot.Evacuated(k.zone)
	for name, known := range k.byName {
		if !wanted[name] {
			k.remove(known)
		}
		known.evacuated = evacuated
	}
}

func (k *View) put(entry *config.BackendServer) {
	if known, ok := k.byName[entry.Name]; ok && known.config.Address == entry.Address {
		known.config = entry
		return
	} else if ok {
		k.remove(known)
	}
	place := k.freePlace()
	if place >= MaxRunners {
		return
	}
	added := &server{config: entry, place: place, hash: xxhash.Sum64String(entry.Name), runSeconds: firstRunSeconds, syncedAt: boottime.Now(), rates: map[string]float64{}}
	if place == len(k.servers) {
		k.servers = append(k.servers, nil)
	}
	k.servers[place] = added
	k.byName[entry.Name] = added
}

func (k *View) freePlace() int {
	for place, known := range k.servers {
		if known == nil {
			return place
		}
	}
	return len(k.servers)
}

func (k *View) remove(known *server) {
	k.index.Clear(known.place)
	k.servers[known.place] = nil
	delete(k.byName, known.config.Name)
}

// ApplyStatus takes over a load report.
func (k *View) ApplyStatus(name string, status engine.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return
	}
	if known.incarnation != status.Incarnation {
		k.index.Clear(known.place)
		if known.incarnation != "" {
			known.advised = advisory.Server{}
		}
		known.incarnation = status.Incarnation
		known.eventsTo = 0
	}
	if known.leaving && !status.Leaving {
		known.advised.NoteReady(boottime.Now())
	}
	known.status = status
	known.reportedAt = boottime.Now()
	known.leaving = status.Leaving
	known.failedAt = time.Time{}
	known.sentAtReport = known.sentTokens
}

// NoteFailure notes that a server was not to be reached.
func (k *View) NoteFailure(name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if known, ok := k.byName[name]; ok {
		known.failedAt = boottime.Now()
	}
}

// SetListedLeaving takes over which servers the platform lists as leaving. The list may
// only take servers out: one that says itself that it leaves stays out, whatever
// the list says, and one that the list calls live gets nothing for that.
func (k *View) SetListedLeaving(leaving []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.servers {
		if known != nil {
			known.listedLeaving = slices.Contains(leaving, known.config.Name)
		}
	}
}

// EventCursor gives the sequence number after which cache events are wanted.
func (k *View) EventCursor(name string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return 0
	}
	if boottime.Since(known.syncedAt) > resyncEvery {
		return snapshotWanted
	}
	return known.eventsTo
}

// resyncEvery is the time after which a runner's whole cache is asked for anew. A
// box expects a runner to hold what it sends there; what then does not come to be
// is never reported as removed.
const resyncEvery = 10 * time.Minute

// ApplyCacheEvents takes over cache events. Where events are missing in between, it asks for
// a snapshot the next time, since nobody knows which blocks went in the gap.
func (k *View) ApplyCacheEvents(name string, events engine.CacheEvents) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.byName[name]
	if !ok {
		return
	}
	if events.Incarnation != known.incarnation || events.Snapshot {
		k.index.Clear(known.place)
		known.incarnation = events.Incarnation
	}
	next := known.eventsTo + 1
	for _, event := range events.Events {
		if !events.Snapshot && event.Sequence != next {
			k.gap(known)
			return
		}
		next++
		k.index.ApplyEvent(known.place, event)
	}
	if !events.Snapshot && next != events.Last+1 {
		k.gap(known)
		return
	}
	if events.Snapshot {
		k.resyncs++
		known.syncedAt = boottime.Now()
	}
	known.eventsTo = events.Last
}

// snapshotWanted is a sequence number that no engine holds events after.
const snapshotWanted = -1

func (k *View) gap(known *server) {
	k.gaps++
	known.eventsTo = snapshotWanted
}
