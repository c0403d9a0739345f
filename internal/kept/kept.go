// Package kept looks after contexts that no longer fit the runners' memory but
// will return: it has runners put them into store boxes, and fetch them back
// when that is quicker than computing them anew.
//
// Every transfer takes from the budget of its link. A fetch for a waiting request
// always goes before an export: exports have a part of the budget and wait for
// it, and are dropped when too many wait.
//
// What this box knows of the store boxes is a hint, like all it knows: a block
// that is not there is a miss, and the runner computes it.
package kept

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/decide"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/ring"
	"github.com/cometlock/cometlock/internal/storebox"
)

// Config sets up a Keeper.
type Config struct {
	Engines *engine.Client
	Stores  *storebox.Client
	Logger  zerolog.Logger
	// Zone is the availability zone of this entry box.
	Zone string
	// MinTokens is the least length of a context that is worth keeping.
	MinTokens int
	// MaxContexts bounds what is remembered.
	MaxContexts int
}

// Defaults of Config.
const (
	DefaultMinTokens   = 2048
	DefaultMaxContexts = 100_000
	exportsCapacity    = 256
)

// exportPart is the part of a link's budget that exports may take.
const exportFraction = 0.3

// Offloader looks after kept contexts.
type Offloader struct {
	cfg     Config
	exports *ring.Ring[exportJob]

	mu       sync.Mutex
	stores   map[string]*storeBox
	contexts map[prefix.Key]*list.Element // the last block of each kept context
	lru      *list.List                   // of context, most recently used first
	counts   Counts
}

// store is a store box with the link to it.
type storeBox struct {
	server *config.BackendServer
	// bytesPerSecond is the link's budget; busyUntil is when all that was
	// taken from it has gone through.
	bytesPerSecond float64
	busyUntil      time.Time
	exports        *rate.Limiter
	failedAt       time.Time
}

// keptContext is a context in a store box: where it is, and which blocks it has.
type storedContext struct {
	last  prefix.Key
	keys  []prefix.Key
	store string
}

// export is a context that a runner is to put into a store box.
type exportJob struct {
	server *config.BackendServer
	keys   []prefix.Key
	bytes  int64
}

// Counts counts what the keeper did.
type Counts struct {
	Exports        int64 `json:"exports"`
	ExportsDropped int64 `json:"exports_dropped"`
	Fetches        int64 `json:"fetches"`
	FetchMisses    int64 `json:"fetch_misses"`
	FetchedBlocks  int64 `json:"fetched_blocks"`
}

// New makes a keeper that knows no store boxes.
func New(cfg Config) *Offloader {
	if cfg.MinTokens == 0 {
		cfg.MinTokens = DefaultMinTokens
	}
	if cfg.MaxContexts == 0 {
		cfg.MaxContexts = DefaultMaxContexts
	}
	return &Offloader{
		cfg: cfg, exports: ring.New[exportJob](ring.Config{Name: "exports", Capacity: exportsCapacity}),
		stores: map[string]*storeBox{}, contexts: map[prefix.Key]*list.Element{}, lru: list.New(),
	}
}

// Configure takes over the store boxes that have a link to this zone.
func (o *Offloader) Configure(snapshot *config.Snapshot) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.stores
	o.stores = map[string]*storeBox{}
	for _, link := range snapshot.File().Links {
		server, ok := snapshot.Server(link.From)
		if !ok || server.Role != config.RoleStoreBox || link.To != o.cfg.Zone {
			continue
		}
		box, ok := previous[server.Name]
		if !ok || box.bytesPerSecond != float64(link.BytesPerSecond) {
			box = newStoreBox(float64(link.BytesPerSecond))
		}
		box.server = server
		o.stores[server.Name] = box
	}
}

// newStore makes a store box with the budget of its link.
func newStoreBox(bytesPerSecond float64) *storeBox {
	return &storeBox{bytesPerSecond: bytesPerSecond, exports: rate.NewLimiter(rate.Limit(exportFraction*bytesPerSecond), int(bytesPerSecond))}
}

// storePause is for how long a store box that failed is left alone.
const storeCooldown = 5 * time.Second

func (s *storeBox) usable(now time.Time) bool {
	return s.failedAt.IsZero() || now.Sub(s.failedAt) > storeCooldown
}

// FetchOption is a way to fetch kept context.
type FetchOption struct {
	Fetch decide.Fetch
	// Store is where from, Keys the blocks in prompt order, Bytes their size.
	Store string
	Keys  []prefix.Key
	Bytes int64
}

// BestFetch gives the best way to fetch a prompt's context: the longest part that is
// kept, and how long the link takes for it.
func (o *Offloader) BestFetch(chain prefix.Chain, bytesPerToken int) (FetchOption, bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	keys := chain.Keys()
	for depth := len(keys); depth > 0; depth-- {
		element, ok := o.contexts[keys[depth-1]]
		if !ok {
			continue
		}
		found, ok := element.Value.(storedContext)
		if !ok {
			continue
		}
		from, ok := o.stores[found.store]
		if !ok || !from.usable(now) {
			continue
		}
		o.lru.MoveToFront(element)
		size := int64(depth) * prefix.BlockTokens * int64(bytesPerToken)
		wait := max(0, from.busyUntil.Sub(now)).Seconds()
		return FetchOption{
			Fetch: decide.Fetch{Tokens: depth * prefix.BlockTokens, Seconds: wait + float64(size)/from.bytesPerSecond},
			Store: found.store, Keys: keys[:depth], Bytes: size,
		}, true
	}
	return FetchOption{}, false
}

// reserve takes a transfer from a link's budget.
func (o *Offloader) reserveLink(name string, size int64) (address string, ok bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	from, ok := o.stores[name]
	if !ok {
		return "", false
	}
	if from.busyUntil.Before(now) {
		from.busyUntil = now
	}
	from.busyUntil = from.busyUntil.Add(time.Duration(float64(size) / from.bytesPerSecond * float64(time.Second)))
	return from.server.Address, true
}

// fetchSlack is how much longer than estimated a fetch may take; a link that is
// slower than that is given up, and the runner computes.
const (
	fetchSlack = 2
	fetchGrace = 200 * time.Millisecond
)

// Fetch has a runner fetch kept context. A failure is a miss: the runner computes
// what did not come.
func (o *Offloader) Fetch(ctx context.Context, server *config.BackendServer, option FetchOption) {
	address, ok := o.reserveLink(option.Store, option.Bytes)
	if !ok {
		return
	}
	limit := fetchSlack*time.Duration(option.Fetch.Seconds*float64(time.Second)) + fetchGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, err := o.cfg.Engines.Import(ctx, server.Address, engine.Transfer{Store: address, Keys: option.Keys})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Fetches++
	o.counts.FetchedBlocks += int64(answer.Blocks)
	if err == nil && answer.Blocks == len(option.Keys) {
		return
	}
	o.counts.FetchMisses++
	o.removeContext(option.Keys[len(option.Keys)-1])
	if from, ok := o.stores[option.Store]; ok && err != nil {
		from.failedAt = time.Now()
	}
}

// forget drops a context. The caller holds mu.
func (o *Offloader) removeContext(last prefix.Key) {
	if element, ok := o.contexts[last]; ok {
		o.lru.Remove(element)
		delete(o.contexts, last)
	}
}

// OfferExport hands over a context that a runner has just computed. It never waits.
func (o *Offloader) OfferExport(server *config.BackendServer, chain prefix.Chain, bytesPerToken int) {
	keys := chain.Keys()
	if len(keys)*prefix.BlockTokens < o.cfg.MinTokens || o.skipsExport(keys[len(keys)-1]) {
		return
	}
	job := exportJob{server: server, keys: keys, bytes: int64(len(keys)) * prefix.BlockTokens * int64(bytesPerToken)}
	if !o.exports.TryPush(job) {
		o.countDropped()
	}
}

func (o *Offloader) skipsExport(last prefix.Key) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, ok := o.contexts[last]
	return ok || len(o.stores) == 0
}

func (o *Offloader) countDropped() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.ExportsDropped++
}

// State is the part of a state dump that describes the keeper.
type State struct {
	Counts
	Contexts int        `json:"contexts"`
	Stores   []string   `json:"stores"`
	Queue    ring.State `json:"queue"`
}

// State describes what is kept, as far as this box knows.
func (o *Offloader) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := State{Counts: o.counts, Contexts: len(o.contexts), Stores: []string{}, Queue: o.exports.State()}
	for name := range o.stores {
		state.Stores = append(state.Stores, name)
	}
	return state
}
