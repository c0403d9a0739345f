// Package kept offloads contexts (KV cache) from the runners' memory to store boxes: it
// has runners export contexts that are likely to be needed again, and fetch them when
// that is faster than recomputing them.
//
// Every transfer uses up some of the budget of its link. Fetches have priority over
// exports, since a request waits for them: exports may only use a fraction of the
// budget, wait for it, and are dropped when too many are waiting.
//
// This box's record of the contents of the store boxes is a hint. A block that is not
// there is a cache miss, and the runner computes it.
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

// Config configures an Offloader.
type Config struct {
	Engines *engine.Client
	Stores  *storebox.Client
	Logger  zerolog.Logger
	// Zone is the availability zone of this entry box.
	Zone string
	// MinTokens is the minimum length of a context to export.
	MinTokens int
	// MaxContexts is the maximum number of stored contexts on record.
	MaxContexts int
}

// Defaults of Config.
const (
	DefaultMinTokens   = 2048
	DefaultMaxContexts = 100_000
	exportsCapacity    = 256
)

// exportFraction is the fraction of a link's bandwidth that exports may use.
const exportFraction = 0.3

// Offloader exports contexts to store boxes and fetches them back.
type Offloader struct {
	cfg     Config
	exports *ring.Ring[exportJob]

	mu       sync.Mutex
	stores   map[string]*storeBox
	contexts map[prefix.Key]*list.Element // by the key of the context's last block
	lru      *list.List                   // of storedContext, most recently used first
	counts   Counts
}

// storeBox is a store box with the link from it to this zone.
type storeBox struct {
	server *config.BackendServer
	// bytesPerSecond is the bandwidth of the link; busyUntil is the expected end of
	// all fetches that have been reserved on it.
	bytesPerSecond float64
	busyUntil      time.Time
	exportLimiter  *rate.Limiter
	failedAt       time.Time
}

// storedContext is the record of a context in a store box.
type storedContext struct {
	last  prefix.Key
	keys  []prefix.Key
	store string
}

// exportJob is a context that a runner is to write to a store box.
type exportJob struct {
	server *config.BackendServer
	keys   []prefix.Key
	bytes  int64
}

// Counts contains the counters of an Offloader.
type Counts struct {
	Exports        int64 `json:"exports"`
	ExportsDropped int64 `json:"exports_dropped"`
	Fetches        int64 `json:"fetches"`
	FetchMisses    int64 `json:"fetch_misses"`
	FetchedBlocks  int64 `json:"fetched_blocks"`
}

// New creates an Offloader without store boxes.
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

// Configure sets the store boxes: those that have a link to this zone.
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

// newStoreBox creates a store box with the budget of its link.
func newStoreBox(bytesPerSecond float64) *storeBox {
	return &storeBox{bytesPerSecond: bytesPerSecond, exportLimiter: rate.NewLimiter(rate.Limit(exportFraction*bytesPerSecond), int(bytesPerSecond))}
}

// storeCooldown is how long a store box is not used after a failure.
const storeCooldown = 5 * time.Second

func (s *storeBox) usable(now time.Time) bool {
	return s.failedAt.IsZero() || now.Sub(s.failedAt) > storeCooldown
}

// FetchOption is a possible fetch of stored context.
type FetchOption struct {
	Fetch decide.Fetch
	// Store is the name of the store box, Keys the blocks in prompt order, Bytes their
	// total size.
	Store string
	Keys  []prefix.Key
	Bytes int64
}

// BestFetch returns the fetch of the longest stored prefix of a prompt, with the
// estimated time on the link.
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
		stored, ok := element.Value.(storedContext)
		if !ok {
			continue
		}
		box, ok := o.stores[stored.store]
		if !ok || !box.usable(now) {
			continue
		}
		o.lru.MoveToFront(element)
		size := int64(depth) * prefix.BlockTokens * int64(bytesPerToken)
		wait := max(0, box.busyUntil.Sub(now)).Seconds()
		return FetchOption{
			Fetch: decide.Fetch{Tokens: depth * prefix.BlockTokens, Seconds: wait + float64(size)/box.bytesPerSecond},
			Store: stored.store, Keys: keys[:depth], Bytes: size,
		}, true
	}
	return FetchOption{}, false
}

// reserveLink reserves the time of a fetch on the link of a store box, and returns the
// address of the store box.
func (o *Offloader) reserveLink(name string, size int64) (address string, ok bool) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	box, ok := o.stores[name]
	if !ok {
		return "", false
	}
	if box.busyUntil.Before(now) {
		box.busyUntil = now
	}
	box.busyUntil = box.busyUntil.Add(time.Duration(float64(size) / box.bytesPerSecond * float64(time.Second)))
	return box.server.Address, true
}

// A fetch times out after its estimated time times fetchSlack, plus fetchGrace. The
// runner then computes the context.
const (
	fetchSlack = 2
	fetchGrace = 200 * time.Millisecond
)

// Fetch has a runner fetch stored context. A failure is a cache miss: the runner computes
// the blocks that were not transferred.
func (o *Offloader) Fetch(ctx context.Context, server *config.BackendServer, option FetchOption) {
	address, ok := o.reserveLink(option.Store, option.Bytes)
	if !ok {
		return
	}
	timeout := fetchSlack*time.Duration(option.Fetch.Seconds*float64(time.Second)) + fetchGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := o.cfg.Engines.Import(ctx, server.Address, engine.Transfer{Store: address, Keys: option.Keys})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.Fetches++
	o.counts.FetchedBlocks += int64(result.Blocks)
	if err == nil && result.Blocks == len(option.Keys) {
		return
	}
	o.counts.FetchMisses++
	o.removeContext(option.Keys[len(option.Keys)-1])
	if box, ok := o.stores[option.Store]; ok && err != nil {
		box.failedAt = time.Now()
	}
}

// removeContext removes the record of a context. The caller holds mu.
func (o *Offloader) removeContext(last prefix.Key) {
	if element, ok := o.contexts[last]; ok {
		o.lru.Remove(element)
		delete(o.contexts, last)
	}
}

// OfferExport queues the export of a context that a runner has just computed. It never
// blocks: if the queue is full, it drops the context.
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

// skipsExport reports whether a context need not be exported: it is already stored, or
// there is no store box.
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

// State is the part of a state dump that describes the Offloader.
type State struct {
	Counts
	Contexts int        `json:"contexts"`
	Stores   []string   `json:"stores"`
	Queue    ring.State `json:"queue"`
}

// State returns the counters and a summary of the stored contexts on record.
func (o *Offloader) State() State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := State{Counts: o.counts, Contexts: len(o.contexts), Stores: []string{}, Queue: o.exports.State()}
	for name := range o.stores {
		state.Stores = append(state.Stores, name)
	}
	return state
}
