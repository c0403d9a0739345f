// Package retrybudget limits retries with a token bucket, so that they don't prolong the overload
// that caused them.
//
// Every first try adds a fraction of a token, and every retry takes a whole one. With a tenth of a
// token per first try, an outage adds at most a tenth to the load, so retries can't keep a fleet
// down that failed under load.
package retrybudget

import (
	"cmp"
	"sync"
)

// Config configures a Budget.
type Config struct {
	// PerRequest is the fraction of a retry that each first try adds.
	PerRequest float64
	// Burst is the maximum number of saved retries.
	Burst float64
	// Initial is the number of retries saved at first; zero means Burst.
	Initial float64
}

// Defaults of Config.
const (
	DefaultPerRequest = 0.1
	DefaultBurst      = 20
)

// Budget limits the ratio of retries to first tries.
type Budget struct {
	perRequest float64
	burst      float64

	mu      sync.Mutex
	balance float64
	denied  uint64
}

// New returns a budget with its initial retries.
func New(cfg Config) *Budget {
	if cfg.PerRequest == 0 {
		cfg.PerRequest = DefaultPerRequest
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{perRequest: cfg.PerRequest, burst: cfg.Burst, balance: min(cmp.Or(cfg.Initial, cfg.Burst), cfg.Burst)}
}

// SetBurst changes the maximum number of saved retries.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.balance = min(b.balance, burst)
}

// Deposit counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.perRequest, b.burst)
}

// TryWithdraw takes one retry out of the budget, and reports whether the budget allowed it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
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
	b.balance = min(b.balance+1, b.burst)
}

// State is the part of a state dump that describes the budget.
type State struct {
	Balance float64 `json:"saved"`
	Denied  uint64  `json:"denied"`
}

// State returns the current state of the budget.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Balance: b.balance, Denied: b.denied}
}
