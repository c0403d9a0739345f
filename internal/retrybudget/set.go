package retrybudget

import (
	"maps"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Set has a budget for each service, so that calls of one service earn no retries for another.
//
// Budgets are created when they are first used, as if they had been unused since the set was created.
// Budgets of services that are gone can be dropped once they have not been used for a window: no
// window then has retries of both the old budget and the one of a service that comes back.
type Set struct {
	created time.Time

	mu      sync.Mutex
	cfg     Config
	budgets map[string]*Budget
}

// NewSet returns a set of budgets with the same configuration, which needs a window.
func NewSet(cfg Config) *Set {
	return &Set{created: boottime.Now(), cfg: cfg, budgets: map[string]*Budget{}}
}

// Budget returns the budget of a service.
func (s *Set) Budget(service string) *Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	budget, ok := s.budgets[service]
	if !ok {
		budget = newBudget(s.cfg, s.created)
		s.budgets[service] = budget
	}
	return budget
}

// SetBurst changes the burst of all budgets.
func (s *Set) SetBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg.Burst = burst
	for _, budget := range s.budgets {
		budget.SetBurst(burst)
	}
}

// DropUnused drops the budgets of services that are not configured and were not used for a window.
// Calls in flight use the budget of a service for some time after it was removed.
func (s *Set) DropUnused(configured func(service string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.budgets, func(service string, budget *Budget) bool {
		return !configured(service) && budget.isUnused()
	})
}

// States returns the state of each budget, by service.
func (s *Set) States() map[string]State {
	s.mu.Lock()
	defer s.mu.Unlock()
	states := make(map[string]State, len(s.budgets))
	for service, budget := range s.budgets {
		states[service] = budget.State()
	}
	return states
}
