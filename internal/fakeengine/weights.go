package fakeengine

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/waiting"
)

// WeightStore slows loads down when too many runners load at once, and counts
// them.
type WeightStore struct {
	// Limit is how many loads run at full speed.
	Limit int

	mu      sync.Mutex
	loading int
	most    int
}

// PeakLoads gives the largest number of loads that ran at once.
func (w *WeightStore) PeakLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.most
}

// begin counts a load in and gives how much slower it is.
func (w *WeightStore) begin() int {
	if w == nil {
		return 1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading++
	w.most = max(w.most, w.loading)
	if w.loading > w.Limit {
		return w.loading
	}
	return 1
}

func (w *WeightStore) end() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading--
}

// obey carries out an order; it reports false when the fence is too old.
func (e *Engine) obey(order engine.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.fence {
		return false
	}
	e.fence = order.Fence
	var changed []engine.LoadedWeights
	for _, wanted := range order.Weights {
		if e.weights[wanted.Model] == wanted.Version || e.loading[wanted.Model] == wanted.Version {
			continue
		}
		e.loading[wanted.Model] = wanted.Version
		changed = append(changed, wanted)
	}
	if len(changed) > 0 {
		go e.load(changed)
	}
	return true
}

// load loads weights, all in one go; until it has ended the old ones answer.
func (e *Engine) load(changed []engine.LoadedWeights) {
	slower := e.cfg.WeightStore.begin()
	defer e.cfg.WeightStore.end()
	if !waiting.For(e.life, e.cfg.LoadTime*time.Duration(slower)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, wanted := range changed {
		if e.loading[wanted.Model] == wanted.Version {
			delete(e.loading, wanted.Model)
			e.weights[wanted.Model] = wanted.Version
		}
	}
}

// LoadedVersion gives the version that answers for a model now.
func (e *Engine) LoadedVersion(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights[model]
}
