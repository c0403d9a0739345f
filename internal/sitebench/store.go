// Store boxes have a limited capacity for parts and a link that transfers one part at a time.

package sitebench

import "github.com/cometlock/cometlock/internal/partindex"

const (
	// reportDelayMillis and reportDelaySpread determine when boxes know that a part is complete:
	// events are delayed by 60 ms, and boxes poll three times a second.
	reportDelayMillis = 60.0
	reportDelaySpread = 300.0
	// savingMillis is how long a planned save is expected to complete, as in package partindex.
	savingMillis = 4000.0
	// maxFillShare is the share of a store box's capacity that saves may fill, as in package
	// partindex.
	maxFillShare = 0.97
)

// fetchMillis is the time after which the result of a fetch is discarded.
var fetchMillis = float64(partindex.FetchTimeout.Milliseconds())

// store is one store box.
type store struct {
	config StoreBox
	// capacity and used are in tokens.
	capacity float64
	used     float64
	// visibleAt is the time from which boxes know that the store holds a part.
	visibleAt map[contextKey]float64
	// linkFreeAt is when the link has finished all transfers.
	linkFreeAt float64
}

func newStore(config StoreBox, capacityFactor float64) *store {
	return &store{config: config, capacity: maxFillShare * capacityFactor * config.Tokens, visibleAt: map[contextKey]float64{}}
}

// transfer queues a transfer on the link and returns when it ends.
func (s *store) transfer(sim *simulation, tokens float64) float64 {
	duration := tokens / s.config.TokensPerMilli
	if s == sim.stores[len(sim.stores)-1] && sim.now >= millisPerSecond*sim.scenario.SlowFrom && sim.now < millisPerSecond*sim.scenario.SlowUntil {
		duration *= sim.scenario.SlowFactor
	}
	s.linkFreeAt = max(s.linkFreeAt, sim.now) + duration
	return s.linkFreeAt + s.config.LatencyMillis
}

// save stores a part and transfers it, if there is enough capacity.
func (s *store) save(sim *simulation, p contextKey, tokens float64) {
	if _, stored := s.visibleAt[p]; stored || s.used+tokens > s.capacity {
		return
	}
	s.used += tokens
	ends := s.transfer(sim, tokens)
	s.visibleAt[p] = ends + reportDelayMillis + reportDelaySpread*sim.random.Float64()
	if p.weights < sim.newest {
		sim.scheduleFree(s, p)
	}
}

// scheduleFree frees a part of older weights once its delay has passed.
func (sim *simulation) scheduleFree(s *store, p contextKey) {
	at := sim.announcedAt[p.weights+1] + sim.contextOf(p).freeDelay
	sim.schedule(max(0, at-sim.now), func() {
		if _, stored := s.visibleAt[p]; stored {
			delete(s.visibleAt, p)
			s.used -= sim.contextOf(p).tokens
		}
	})
}

// storeHolding returns the store box that a part may be fetched from, or nil.
func (sim *simulation) storeHolding(p contextKey) *store {
	if p.weights < sim.newest && sim.now > sim.announcedAt[p.weights+1]+sim.contextOf(p).fetchWindow {
		return nil
	}
	for _, s := range sim.stores {
		if visible, stored := s.visibleAt[p]; stored && visible <= sim.now {
			return s
		}
	}
	return nil
}

// chooseStore chooses the store box for a part by rendezvous hashing, weighted by capacity. It
// returns nil when the part is already being saved or no store box has enough capacity.
func (sim *simulation) chooseStore(p contextKey, tokens float64) *store {
	if sim.saving[p] > sim.now {
		return nil
	}
	var best *store
	bestScore := 0.0
	for i, s := range sim.stores {
		if s.used+tokens > s.capacity {
			continue
		}
		if score := s.config.Tokens * rendezvousScore(p, i); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// rendezvousScore returns a hash from 0 to 1 of a part and a store box or runner.
func rendezvousScore(p contextKey, store int) float64 {
	h := p.hash() + uint64(p.weights*storeStride+store)*firstMixer
	h ^= h >> 31
	h *= secondMixer
	h ^= h >> 29
	return float64(h>>11) / (1 << 53) // a float64 holds 53 bits
}

// storeStride separates the hashes of different versions of the weights: no site has as many store
// boxes or runners, which are numbered in the same way.
const storeStride = 64

// Odd multipliers of SplitMix64, which spread small numbers over all bits.
const (
	goldenGamma = 0x9e3779b97f4a7c15
	firstMixer  = 0xbf58476d1ce4e5b9
	secondMixer = 0x94d049bb133111eb
)
