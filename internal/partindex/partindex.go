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
	"slices"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

// Key names a part under the namespace that it was made under.
type Key struct {
	Namespace string
	ID        string
}

// Change is one event of a store box: a part is whole, or gone.
type Change struct {
	Key
	// Tokens is how much of the part is kept; 0 when it is gone.
	Tokens int
}

// Report is an answer of a store box to "what changed" or "what do you keep".
type Report struct {
	// Life changes when the store box restarts.
	Life int64
	// Next is where the next question begins.
	Next int64
	// Gap says that events before these are missing.
	Gap     bool
	Changes []Change
	// ClockMillis is the servers' clock, 0 when the report does not say.
	ClockMillis int64
	// AsOf is a moment at which the store box lived this life and had told all that
	// it kept: not later than its answer, however long that was on its way.
	AsOf time.Time
}

const (
	// freshFor is how long a store box's word counts. The boxes ask three times a
	// second, so one lost answer does no harm.
	freshFor = 1200 * time.Millisecond
	// FetchLimit bounds a fetch: later than this after it was planned it is thrown
	// away. Moves of the largest parts take 200 ms, and may queue.
	FetchLimit = time.Second
	// quietAfterRestart is how long nothing is saved in a store box that has
	// restarted: until nobody can have a fetch under way that was planned on what
	// it kept before.
	quietAfterRestart = freshFor + FetchLimit + 300*time.Millisecond
	// savingFor is how long a save that was planned is expected to come true.
	savingFor = 4 * time.Second
	// smallPart is the size in tokens up to which a part goes to the store boxes
	// that answer first: the move itself takes no time.
	smallPart = 1000
	// fillLimit is the part of a store box that is filled on purpose; the rest is
	// for parts of other boxes that this one does not know of yet.
	fillLimit = 0.97
	// sparePart is the part of the quick store boxes that large parts may fill. A
	// token of either kind of part is asked for about equally often, so only a
	// little is kept free for the small ones.
	sparePart = 0.9
)

// store is what is known of one store box.
type store struct {
	name     string
	config   catalog.Store
	quick    bool
	life     int64
	next     int64
	heardAt  time.Time
	saveFrom time.Time
	held     map[Key]int
	used     int
}

// Index is what is known of all store boxes.
type Index struct {
	mu     sync.Mutex
	stores []*store
	// saving holds the parts that this box had saved and has not heard of yet.
	saving map[Key]time.Time
	// clock is the servers' clock at clockAt.
	clock   int64
	clockAt time.Time
}

// New makes an empty index.
func New() *Index { return &Index{saving: map[Key]time.Time{}} }

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
			s = &store{held: map[Key]int{}}
		}
		s.name, s.config = service.Name, *service.Store
		stores = append(stores, s)
		if quickest < 0 || s.config.FirstByte < quickest {
			quickest = s.config.FirstByte
		}
	}
	for _, s := range stores {
		s.quick = s.config.FirstByte == quickest
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
	x.begin(s, report)
	clear(s.held)
	s.used = 0
	x.take(s, report)
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
	if report.Life != s.life || report.Gap {
		s.life = 0
		clear(s.held)
		s.used = 0
		return false
	}
	x.take(s, report)
	return true
}

// begin notes the life of a store box. One that is seen for the first time may
// have restarted just now, so it counts as new too.
func (x *Index) begin(s *store, report Report) {
	if s.life != report.Life {
		s.saveFrom = time.Now().Add(quietAfterRestart)
	}
	s.life = report.Life
}

func (x *Index) take(s *store, report Report) {
	now := time.Now()
	s.next, s.heardAt = report.Next, report.AsOf
	if report.ClockMillis > 0 {
		x.clock, x.clockAt = report.ClockMillis, now
	}
	for _, change := range report.Changes {
		s.used += change.Tokens - s.held[change.Key]
		if change.Tokens == 0 {
			delete(s.held, change.Key)
			continue
		}
		s.held[change.Key] = change.Tokens
		delete(x.saving, change.Key)
	}
}

// Freeable lists parts of a store box that may be freed.
func (x *Index) Freeable(address string, mayFree func(Key) bool, most int) (parts []Key, life int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.find(address)
	if s == nil || time.Since(s.heardAt) > freshFor {
		return nil, 0
	}
	for key := range s.held {
		if len(parts) == most {
			break
		}
		if mayFree(key) {
			parts = append(parts, key)
		}
	}
	return parts, s.life
}

// State is what gauges show of one store box.
type State struct {
	Name string
	// Parts counts the parts that it keeps, Used their tokens.
	Parts int
	Used  int
	// Age is how old its last word is.
	Age time.Duration
}

// State describes the store boxes.
func (x *Index) State() []State {
	x.mu.Lock()
	defer x.mu.Unlock()
	states := make([]State, len(x.stores))
	for i, s := range x.stores {
		states[i] = State{s.name, len(s.held), s.used, time.Since(s.heardAt)}
	}
	return states
}

// Plan says for one prompt under one namespace what is fetched and what is saved.
type Plan struct {
	Fetch []string
	Save  []string
	// Until bounds the fetches on the servers' clock, in milliseconds.
	Until int64
	// Missing is the number of tokens that a runner without any of the prompt
	// would read.
	Missing int
	// FetchTime is the estimated time of the moves, within a zone.
	FetchTime time.Duration
	// FetchZone is the zone of the store box that most of them come from.
	FetchZone string
}

// NoPlan is the plan that fetches and saves nothing.
func NoPlan(parts []call.Part, promptTokens int) Plan {
	return Plan{Fetch: make([]string, len(parts)), Save: make([]string, len(parts)), Missing: promptTokens}
}

// Query asks for a plan.
type Query struct {
	Namespace string
	// Parts are those of the prompt, PromptTokens its length.
	Parts        []call.Part
	PromptTokens int
	// BytesPerToken is what a token of kept context weighs.
	BytesPerToken int
	// MayFetch reports whether a part may be fetched.
	MayFetch func(id string) bool
	// Save says that parts that no store box keeps are worth saving.
	Save bool
}

// Plan looks up the shared parts of a prompt.
func (x *Index) Plan(query Query) Plan {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	parts := query.Parts
	plan := NoPlan(parts, query.PromptTokens)
	if x.clockAt.IsZero() {
		return plan // without the servers' clock a fetch could not be bounded
	}
	plan.Until = x.clock + now.Sub(x.clockAt).Milliseconds() + FetchLimit.Milliseconds()
	largest := 0
	contiguous := true
	for i := range max(len(parts)-1, 0) {
		part := parts[i]
		key := Key{query.Namespace, part.ID}
		s := x.holding(key, now)
		if s == nil || !query.MayFetch(part.ID) {
			if query.Save && s == nil {
				plan.Save[i] = x.place(key, part.Tokens, now)
			}
			contiguous = false
			continue
		}
		plan.Fetch[i] = s.config.Address
		if contiguous {
			plan.Missing -= part.Tokens
		}
		plan.FetchTime += moveTime(s, part.Tokens, query.BytesPerToken)
		if part.Tokens > largest {
			largest, plan.FetchZone = part.Tokens, s.config.Zone
		}
	}
	return plan
}

// moveTime estimates how long a move takes within a zone, once it begins.
func moveTime(s *store, tokens, bytesPerToken int) time.Duration {
	if s.config.LinkMbps <= 0 {
		return s.config.FirstByte
	}
	megabits := float64(tokens) * float64(bytesPerToken) * 8 / 1e6
	return s.config.FirstByte + time.Duration(megabits/s.config.LinkMbps*float64(time.Second))
}

// holding finds a store box that keeps a part whole, by recent word.
func (x *Index) holding(key Key, now time.Time) *store {
	for _, s := range x.stores {
		if s.held[key] > 0 && now.Sub(s.heardAt) <= freshFor {
			return s
		}
	}
	return nil
}

// place chooses the store box for a part that none keeps, or nothing when it is
// being saved already or has no room anywhere. All boxes choose alike.
func (x *Index) place(key Key, tokens int, now time.Time) string {
	if began, ok := x.saving[key]; ok && now.Sub(began) < savingFor {
		return ""
	}
	best := x.choose(key, tokens, now, tokens <= smallPart)
	if best == nil {
		best = x.choose(key, tokens, now, tokens > smallPart)
	}
	if best == nil {
		return ""
	}
	return best.config.Address
}

// NoteSaves notes that a call with a plan was handed over: the saves that it asked
// for are under way.
func (x *Index) NoteSaves(name string, parts []call.Part, plan Plan) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for i, address := range plan.Save {
		if address != "" {
			x.saving[Key{name, parts[i].ID}] = now
		}
	}
	if len(x.saving) > maxSaving {
		x.forgetSaving(now)
	}
}

// maxSaving bounds the saves that are remembered before old ones are dropped.
const maxSaving = 4096

func (x *Index) forgetSaving(now time.Time) {
	for key, began := range x.saving {
		if now.Sub(began) >= savingFor {
			delete(x.saving, key)
		}
	}
}

// choose takes, among the quick or the other store boxes with room, the one that
// weighted rendezvous hashing gives the part.
func (x *Index) choose(key Key, tokens int, now time.Time, quick bool) *store {
	var best *store
	var bestScore float64
	for _, s := range x.stores {
		if s.quick != quick || !x.hasRoom(s, tokens, now) {
			continue
		}
		if score := rendezvous(s.name, key, float64(s.config.CapacityTokens)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (x *Index) hasRoom(s *store, tokens int, now time.Time) bool {
	limit := fillLimit
	if s.quick && tokens > smallPart && slices.ContainsFunc(x.stores, func(o *store) bool { return !o.quick }) {
		limit = sparePart
	}
	return s.life != 0 && now.Sub(s.heardAt) <= freshFor && !now.Before(s.saveFrom) &&
		float64(s.used+tokens) <= limit*float64(s.config.CapacityTokens)
}
