// Package retrybudget limits retries with a token bucket, so that they don't prolong the overload
// that caused them.
//
// Every first try adds a fraction of a token, and every retry takes a whole one. With a tenth of a
// token per first try, an outage adds at most a tenth to the load, so retries can't keep a fleet
// down that failed under load.
//
// A budget with a window regains some tokens as time passes, since a service with few calls would
// earn one in minutes only. In any window, its retries are at most the burst and what the first
// tries of that window and of the one before it add.
package retrybudget

import (
	"cmp"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Config configures a Budget.
type Config struct {
	// PerRequest is the fraction of a retry that each first try adds.
	PerRequest float64
	// Burst is the maximum number of saved retries.
	Burst float64
	// Initial is the number of retries saved at first; zero means Burst.
	Initial float64
	// Window, if set, makes Burst the number of retries that need no first tries in any time of this
	// length. Half of them are saved, and the others regained evenly within a window. What the first
	// tries of the last window have added is saved on top, up to Burst.
	Window time.Duration
}

// Defaults of Config.
const (
	DefaultPerRequest = 0.1
	DefaultBurst      = 20
)

const (
	// reserveFraction is the part of the burst that a budget with a window saves without first tries.
	reserveFraction = 0.5
	// minReserve allows one retry however small the burst is.
	minReserve = 1
)

// withDefaults returns the configuration with defaults in place of zero values.
func (c Config) withDefaults() Config {
	c.PerRequest = cmp.Or(c.PerRequest, DefaultPerRequest)
	c.Burst = cmp.Or(c.Burst, DefaultBurst)
	c.Initial = cmp.Or(c.Initial, c.Burst)
	return c
}

// reserve returns how many retries are saved without first tries.
func (c Config) reserve() float64 {
	if c.Window == 0 {
		return c.Burst
	}
	return min(c.Burst, max(minReserve, reserveFraction*c.Burst))
}

// regained returns how many retries are regained in a time.
func (c Config) regained(elapsed time.Duration) float64 {
	if c.Window == 0 {
		return 0
	}
	return (c.Burst - c.reserve()) * elapsed.Seconds() / c.Window.Seconds()
}

// Budget limits the ratio of retries to first tries.
type Budget struct {
	mu       sync.Mutex
	cfg      Config
	balance  float64
	denied   uint64
	earned   earnings
	updated  time.Time
	lastUsed time.Time
}

// New returns a budget with its initial retries.
func New(cfg Config) *Budget { return newBudget(cfg, boottime.Now()) }

// newBudget returns a budget that has been unused since a time.
func newBudget(cfg Config, since time.Time) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{cfg: cfg, balance: min(cfg.Initial, cfg.reserve()), earned: earnings{halfStart: since}, updated: since, lastUsed: boottime.Now()}
}

// SetBurst changes the maximum number of saved retries. A larger one is not granted at once: the
// balance grows by what is earned and regained from now on.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	b.cfg.Burst = burst
	b.add(0)
}

// Deposit counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use()
	b.earned.recent += b.cfg.PerRequest
	b.add(b.cfg.PerRequest)
}

// TryWithdraw takes one retry out of the budget, and reports whether the budget allowed it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use()
	if b.balance < 1 {
		b.denied++
		return false
	}
	b.balance--
	return true
}

// Refund returns a retry that was withdrawn but not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.use()
	b.add(1)
}

// use updates the budget and records its use. The caller holds mu.
func (b *Budget) use() {
	b.update()
	b.lastUsed = b.updated
}

// update adds what was regained since the last update. The caller holds mu.
func (b *Budget) update() {
	now := boottime.Now()
	elapsed := max(now.Sub(b.updated), 0)
	b.updated = now
	if b.cfg.Window > 0 {
		b.earned.advance(now, b.cfg.Window/2)
	}
	b.add(b.cfg.regained(elapsed))
}

// add adds retries to the balance, up to what may be saved. The caller holds mu.
func (b *Budget) add(retries float64) {
	limit := min(b.cfg.Burst, b.cfg.reserve()+b.earned.total())
	b.balance = min(b.balance+retries, limit)
}

// isUnused reports whether the budget has not been used for longer than its window.
func (b *Budget) isUnused() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return boottime.Since(b.lastUsed) > b.cfg.Window
}

// earnings is what first tries have added in at most a window, in two halves of it.
type earnings struct {
	recent, previous float64
	// halfStart is when the recent half began.
	halfStart time.Time
}

// advance ends the halves that are over, given the length of one.
func (e *earnings) advance(now time.Time, half time.Duration) {
	switch elapsed := now.Sub(e.halfStart); {
	case elapsed >= 2*half:
		*e = earnings{halfStart: now}
	case elapsed >= half:
		*e = earnings{previous: e.recent, halfStart: e.halfStart.Add(half)}
	}
}

func (e *earnings) total() float64 { return e.recent + e.previous }

// State is the part of a state dump that describes the budget.
type State struct {
	Balance float64 `json:"saved"`
	Denied  uint64  `json:"denied"`
}

// State returns the current state of the budget.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	return State{Balance: b.balance, Denied: b.denied}
}
