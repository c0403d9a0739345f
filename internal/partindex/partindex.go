// Package partindex tracks which parts of prompts (shared pieces of KV cache) store boxes hold,
// and plans for each prompt which parts to fetch, which to save and where.
//
// A store box holds a part until a box orders it to free it. A fetch is planned only for a part that
// the store box itself has reported as complete in its current epoch, and only while that report
// is recent. A report may be out of date; the part is then missing and is prefilled. Two rules
// prevent a part from being read while it is being written. A box that observes a new epoch of a
// store box saves nothing there until every other box must have observed it or have stopped
// fetching. And parts are freed only under weights from which no box fetches any more.
package partindex

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// freshFor is how long the state of a store box is used. Boxes poll three times a second, so
	// one lost answer does no harm.
	freshFor = 1200 * time.Millisecond
	// FetchTimeout bounds a fetch: one that has not arrived this long after it was planned is
	// dropped. Transfers of the largest parts take 200 ms and may queue.
	FetchTimeout = time.Second
	// saveDelayAfterRestart is how long nothing is saved in a store box that has restarted. After
	// that no fetch can be in flight that was planned on what it held before.
	saveDelayAfterRestart = freshFor + FetchTimeout + saveDelayMargin
	// saveDelayMargin allows for boxes that run late.
	saveDelayMargin = 300 * time.Millisecond
)

// store is the state of one store box as this box knows it.
type store struct {
	name   string
	config catalog.Store
	fast   bool
	epoch  int64
	next   int64
	// addedAt is when this box first configured the store box, and asOf the time at which the state
	// below was current.
	addedAt  time.Time
	asOf     time.Time
	saveFrom time.Time
	// listedAt is when it was last listed, and peerOverdue whether another box has since reported
	// an overdue save in it.
	listedAt    time.Time
	peerOverdue bool
	held        map[Key]int
	// unfinished is the space, in tokens, taken by parts that were incomplete when the store box
	// was last listed, and used the space taken by all parts.
	unfinished map[Key]int
	used       int
	lateness   lateness
	shared     sharedLateness
	// linkFreeAt is when the link is expected to have finished the fetches of this box.
	linkFreeAt time.Time
	relay      relayState
}

// Index is the state of all store boxes as this box knows it.
type Index struct {
	cfg    Config
	mu     sync.Mutex
	stores []*store
	// pendingSaves holds the saves that this box requested and that no event has confirmed yet.
	pendingSaves map[Key]save
	// prunedAt is when old entries of pendingSaves were last removed.
	prunedAt time.Time
	// clock is the servers' clock at clockAt, in milliseconds.
	clock   int64
	clockAt time.Time
	// sampleSequence counts the samples of fetches that were added, and sampleNumber those of this
	// box.
	sampleSequence uint64
	sampleNumber   uint8
	// boxes is the number of boxes.
	boxes int

	// resumePolling ends waits for updates from another box, and changed wakes those that wait to send
	// changes of store boxes to other boxes.
	resumePolling waiting.Signal
	changed       *waiting.Signal
	// polls reports whether this box polls the store boxes itself, and following whether another
	// box sends it their state. Both are false at the start, until that is decided.
	polls     bool
	following bool
}

// Config configures an Index.
type Config struct {
	// Changed is signalled when a store box or a runner reports a change; it may be nil.
	Changed *waiting.Signal
	// Mechanisms records which mechanisms are switched off.
	Mechanisms mechanism.Switches
	// PollDelay is how long new store boxes are not polled unless this box polls for itself, so
	// that a box that is about to follow another need not poll them. When each of 295 boxes polled
	// each of 47 store boxes at startup, most were refused.
	PollDelay time.Duration
	// Box is the name of this box. Boxes returns the number of boxes; nil stands for one.
	Box   string
	Boxes func() int
	// OnSpeedChange is called when samples of other boxes change whether a store box counts as slow,
	// or when a mark expires. It must not call the index. It may be nil.
	OnSpeedChange func(SpeedChange)
}

// New returns an empty index.
func New(cfg Config) *Index {
	cfg.Changed = cmp.Or(cfg.Changed, &waiting.Signal{})
	return &Index{cfg: cfg, pendingSaves: map[Key]save{}, changed: cfg.Changed}
}

// Configure replaces the set of store boxes.
func (x *Index) Configure(services []catalog.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var stores []*store
	lowestLatency := time.Duration(-1)
	for i := range services {
		service := &services[i]
		if service.Store == nil {
			continue
		}
		s := x.find(service.Store.Address)
		if s == nil {
			s = &store{held: map[Key]int{}, unfinished: map[Key]int{}, addedAt: boottime.Now()}
			if x.cfg.PollDelay > 0 && !x.polls {
				x.pausePolling(s, boottime.Now().Add(x.cfg.PollDelay))
			}
		}
		s.name, s.config = service.Name, *service.Store
		stores = append(stores, s)
		if lowestLatency < 0 || s.config.FirstByteLatency < lowestLatency {
			lowestLatency = s.config.FirstByteLatency
		}
	}
	for _, s := range stores {
		s.fast = s.config.FirstByteLatency == lowestLatency || !x.cfg.Mechanisms.Enabled(mechanism.StoreKinds)
	}
	slices.SortFunc(stores, func(a, b *store) int { return compare(a.config.Address, b.config.Address) })
	x.stores = stores
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (x *Index) find(address string) *store {
	for _, s := range x.stores {
		if s.config.Address == address {
			return s
		}
	}
	return nil
}

// Addresses lists the store boxes, sorted by address.
func (x *Index) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	addresses := make([]string, len(x.stores))
	for i, s := range x.stores {
		addresses[i] = s.config.Address
	}
	return addresses
}

// Position returns the position at which the next poll of a store box starts, and whether a list
// is needed instead.
func (x *Index) Position(address string) (next int64, list bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || s.epoch == 0 {
		return 0, true
	}
	return s.next, false
}

// Replace replaces the state of a store box by a list of all that it holds.
func (x *Index) Replace(address string, report Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return
	}
	before := s.heldInEpoch(report.Epoch)
	x.beginEpoch(s, report)
	s.reset()
	x.applyReport(s, report)
	s.setUnfinished(report.Unfinished)
	x.markListed(s, report.AsOf)
	s.relay.recordCorrections(before, s.held)
	x.changed.Broadcast()
}

// heldInEpoch returns a copy of the parts that a store box is known to hold, or nil if its known
// epoch is another.
func (s *store) heldInEpoch(epoch int64) map[Key]int {
	if s.epoch != epoch {
		return nil
	}
	return maps.Clone(s.held)
}

// setUnfinished replaces the unfinished parts.
func (s *store) setUnfinished(parts []Change) {
	for _, tokens := range s.unfinished {
		s.used -= tokens
	}
	clear(s.unfinished)
	for _, part := range parts {
		s.unfinished[part.Key] = part.Tokens
		s.used += part.Tokens
	}
}

// reset clears all parts of a store box.
func (s *store) reset() {
	clear(s.held)
	clear(s.unfinished)
	s.used = 0
}

// Apply applies the changes in a report. It returns false if they do not continue the known
// state, in which case a list is needed.
func (x *Index) Apply(address string, report Report) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return true
	}
	if report.Epoch != s.epoch || report.Gap {
		s.epoch = 0
		s.reset()
		return false
	}
	s.relay.record(s.next, report)
	x.applyReport(s, report)
	if len(report.Changes) > 0 {
		x.changed.Broadcast()
	}
	return true
}

// beginEpoch records the epoch of a store box. A store box that is seen for the first time may
// have restarted just before, so it is treated as restarted too.
func (x *Index) beginEpoch(s *store, report Report) {
	if s.epoch != report.Epoch {
		s.saveFrom = boottime.Now().Add(saveDelayAfterRestart)
		s.relay = relayState{pauseUntil: s.relay.pauseUntil, timer: s.relay.timer}
	}
	s.epoch = report.Epoch
}

func (x *Index) applyReport(s *store, report Report) {
	now := boottime.Now()
	s.next, s.asOf = report.Next, report.AsOf
	if report.ClockMillis > 0 {
		x.clock, x.clockAt = report.ClockMillis, now
	}
	for _, change := range report.Changes {
		s.used += change.Tokens - s.held[change.Key] - s.unfinished[change.Key]
		delete(s.unfinished, change.Key)
		if change.Tokens == 0 {
			delete(s.held, change.Key)
			continue
		}
		s.held[change.Key] = change.Tokens
		delete(x.pendingSaves, change.Key)
	}
}
