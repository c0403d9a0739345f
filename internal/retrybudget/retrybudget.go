// Package retrybudget keeps retries from outliving their cause.
//
// Every first try earns a part of a retry, and every retry costs a whole one.
// With a tenth earned a try, an outage can add at most a tenth to the load, so
// a fleet that failed under load is not held down by the retries of that load.
package retrybudget

import "sync"

// Config sets up a Budget.
type Config struct {
	// PerRequest is how much of a retry each first try earns.
	PerRequest float64
	// Burst is how many retries may be saved up.
	Burst float64
}

// Defaults of Config.
const (
	DefaultPerRequest = 0.1
	DefaultBurst      = 20
)

// Budget counts retries against first tries.
type Budget struct {
	perRequest float64
	burst      float64

	mu     sync.Mutex
	saved  float64
	denied uint64
}

// New makes a budget that is full.
func New(cfg Config) *Budget {
	if cfg.PerRequest == 0 {
		cfg.PerRequest = DefaultPerRequest
	}
	if cfg.Burst == 0 {
		cfg.Burst = DefaultBurst
	}
	return &Budget{perRequest: cfg.PerRequest, burst: cfg.Burst, saved: cfg.Burst}
}

// SetBurst changes how many retries may be saved up.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst = burst
	b.saved = min(b.saved, burst)
}

// Earn counts a first try.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.perRequest, b.burst)
}

// Take asks for one retry and reports whether the budget allows it.
func (b *Budget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		b.denied++
		return false
	}
	b.saved--
	return true
}

// Return gives a retry back that was taken and not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+1, b.burst)
}

// State is the part of a state dump that describes the budget.
type State struct {
	Balance float64 `json:"saved"`
	Denied  uint64  `json:"denied"`
}

// State describes the budget as it is now.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Balance: b.saved, Denied: b.denied}
}
