package fakeengine

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/waiting"
)

// WeightStore simulates the storage that engines load weights from. It slows loads
// down when too many run at once.
type WeightStore struct {
	// Limit is the number of concurrent loads that run at full speed.
	Limit int

	mu      sync.Mutex
	loading int
	peak    int
}

// PeakLoads returns the largest number of concurrent loads so far.
func (w *WeightStore) PeakLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// beginLoad counts a load and returns the factor by which it is slower.
func (w *WeightStore) beginLoad() int {
	if w == nil {
		return 1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading++
	w.peak = max(w.peak, w.loading)
	if w.loading > w.Limit {
		return w.loading
	}
	return 1
}

func (w *WeightStore) endLoad() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loading--
}

// applyOrder starts the loads that an order requests. It returns false when the fence
// of the order is too old.
func (e *Engine) applyOrder(order engine.Order) bool {
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

// load simulates one load of all weights in updates. The old weights serve requests
// until it has finished.
func (e *Engine) load(updates []engine.LoadedWeights) {
	slowdown := e.cfg.WeightStore.beginLoad()
	defer e.cfg.WeightStore.endLoad()
	if !waiting.For(e.lifetime, e.cfg.LoadTime*time.Duration(slowdown)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, wanted := range updates {
		if e.loading[wanted.Model] == wanted.Version {
			delete(e.loading, wanted.Model)
			e.weights[wanted.Model] = wanted.Version
		}
	}
}

// LoadedVersion returns the weight version of a model that serves requests now.
func (e *Engine) LoadedVersion(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights[model]
}
