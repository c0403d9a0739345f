// Package partindex knows which parts of prompts store boxes keep, and plans for a
// prompt which parts to fetch, which to save, and where.
//
// Store boxes here keep what they are told to keep until they are told to free it.
// A fetch is planned only for a part that the store box itself has called whole,
// in its present life, and only while its word is recent: what it says may be
// late, but then a part is missing and is read again. Two rules keep a part that is
// being written from being read. A box that learns of a new life of a store box
// saves nothing there until every box must have learnt of it or have stopped
// fetching; and parts are freed only under weights that nobody fetches any more.
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
	// freshFor is how long a store box's word counts. The boxes ask three times a
	// second, so one lost answer does no harm.
	freshFor = 1200 * time.Millisecond
	// FetchTimeout bounds a fetch: later than this after it was planned it is thrown
	// away. Moves of the largest parts take 200 ms, and may queue.
	FetchTimeout = time.Second
	// quietAfterRestart is how long nothing is saved in a store box that has
	// restarted: until nobody can have a fetch under way that was planned on what
	// it kept before.
	quietAfterRestart = freshFor + FetchTimeout + quietMargin
	// quietMargin is for boxes that run late.
	quietMargin = 300 * time.Millisecond
)

// store is what is known of one store box.
type store struct {
	name   string
	config catalog.Store
	quick  bool
	life   int64
	next   int64
	// knownAt is when this box learnt that there is the store box, and heardAt when it said
	// what is known of it.
	knownAt  time.Time
	heardAt  time.Time
	saveFrom time.Time
	// listedAt is when it was last listed, and doubted that another box has reason to doubt
	// what is known of it.
	listedAt time.Time
	doubted  bool
	held     map[Key]int
	// unfinished is the room that parts took which were not whole when the store box
	// was last listed, and used the room that all parts take.
	unfinished map[Key]int
	used       int
	pace       pace
	told       told
}

// Index is what is known of all store boxes.
type Index struct {
	cfg    Config
	mu     sync.Mutex
	stores []*store
	// saving holds the parts that this box had saved and has not heard of yet.
	saving map[Key]save
	// forgotAt is when old ones among them were last forgotten.
	forgotAt time.Time
	// clock is the servers' clock at clockAt.
	clock   int64
	clockAt time.Time

	// askItself ends the waiting for the word of another box, and news wakes those who
	// wait to tell other boxes what a store box said.
	askItself waiting.Signal
	news      *waiting.Signal
	// asks says that this box is to ask the store boxes itself, and follows that another one
	// tells it of them; neither is known when it starts.
	asks    bool
	follows bool
}

// Config sets up an Index.
type Config struct {
	// News is woken when a store box or a runner says anything new; it may be nil.
	News *waiting.Signal
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// PollDelay is how long store boxes that are new are not asked unless this box is to ask
	// itself, so that one that will be told need not: when each of 295 boxes that started
	// asked each of 47 store boxes, most were turned away.
	PollDelay time.Duration
}

// New makes an empty index.
func New(cfg Config) *Index {
	cfg.News = cmp.Or(cfg.News, &waiting.Signal{})
	return &Index{cfg: cfg, saving: map[Key]save{}, news: cfg.News}
}

// Configure takes over which store boxes there are.
func (x *Index) Configure(services []catalog.Service) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var stores []*store
	quickest := time.Duration(-1)
	for i := range services {
		service := &services[i]
		if service.Store == nil {
			continue
		}
		s := x.find(service.Store.Address)
		if s == nil {
			s = &store{held: map[Key]int{}, unfinished: map[Key]int{}, knownAt: boottime.Now()}
			if x.cfg.PollDelay > 0 && !x.asks {
				x.waitUntil(s, boottime.Now().Add(x.cfg.PollDelay))
			}
		}
		s.name, s.config = service.Name, *service.Store
		stores = append(stores, s)
		if quickest < 0 || s.config.FirstByte < quickest {
			quickest = s.config.FirstByte
		}
	}
	for _, s := range stores {
		s.quick = s.config.FirstByte == quickest || !x.cfg.Off.On(mechanism.StoreKinds)
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

// Addresses lists the store boxes in a fixed order.
func (x *Index) Addresses() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	addresses := make([]string, len(x.stores))
	for i, s := range x.stores {
		addresses[i] = s.config.Address
	}
	return addresses
}

// Position gives where the next question to a store box begins, and whether all
// that it keeps must be asked for.
func (x *Index) Position(address string) (next int64, list bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || s.life == 0 {
		return 0, true
	}
	return s.next, false
}

// Replace takes over all that a store box keeps.
func (x *Index) Replace(address string, report Report) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return
	}
	before := s.heldIn(report.Epoch)
	x.begin(s, report)
	s.forget()
	x.take(s, report)
	s.takeUnfinished(report.Unfinished)
	x.noteListed(s, report.AsOf)
	s.told.mend(before, s.held)
	x.news.Send()
}

// heldIn gives what a store box is known to keep in a life; nothing in another one.
func (s *store) heldIn(life int64) map[Key]int {
	if s.life != life {
		return nil
	}
	return maps.Clone(s.held)
}

// takeUnfinished takes over which parts are not whole.
func (s *store) takeUnfinished(parts []Change) {
	for _, tokens := range s.unfinished {
		s.used -= tokens
	}
	clear(s.unfinished)
	for _, part := range parts {
		s.unfinished[part.Key] = part.Tokens
		s.used += part.Tokens
	}
}

// forget forgets what a store box keeps.
func (s *store) forget() {
	clear(s.held)
	clear(s.unfinished)
	s.used = 0
}

// Apply takes over what changed. It reports false when that does not follow what
// is known, so that all must be asked for.
func (x *Index) Apply(address string, report Report) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil {
		return true
	}
	if report.Epoch != s.life || report.Gap {
		s.life = 0
		s.forget()
		return false
	}
	s.told.note(s.next, report)
	x.take(s, report)
	if len(report.Changes) > 0 {
		x.news.Send()
	}
	return true
}

// begin notes the life of a store box. One that is seen for the first time may
// have restarted just now, so it counts as new too.
func (x *Index) begin(s *store, report Report) {
	if s.life != report.Epoch {
		s.saveFrom = boottime.Now().Add(quietAfterRestart)
		s.told = told{until: s.told.until, lapse: s.told.lapse}
	}
	s.life = report.Epoch
}

func (x *Index) take(s *store, report Report) {
	now := boottime.Now()
	s.next, s.heardAt = report.Next, report.AsOf
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
		delete(x.saving, change.Key)
	}
}
