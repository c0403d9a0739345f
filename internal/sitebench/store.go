// Store boxes: room for parts, and a link that moves one after the other.

package sitebench

import "github.com/cometlock/cometlock/internal/partindex"

const (
	// seenMillis and seenSpread are how soon boxes know of a part that is whole: events
	// come 60 ms late, and boxes ask three times a second.
	reportDelayMillis = 60.0
	reportDelaySpread = 300.0
	// savingMillis is how long a save that was planned is expected to come true, as in
	// package partindex.
	savingMillis = 4000.0
	// fill is the part of a store box that is filled on purpose, as in partindex.
	maxFillShare = 0.97
)

// fetchMillis is after how long a fetch is thrown away.
var fetchMillis = float64(partindex.FetchTimeout.Milliseconds())

// store is one store box.
type store struct {
	config StoreBox
	// room and used are in tokens.
	capacity float64
	used     float64
	// seen says from when on boxes know of a part.
	visibleAt map[contextKey]float64
	// freeAt is when the link has nothing more to move.
	linkFreeAt float64
}

func newStore(config StoreBox, capacityFactor float64) *store {
	return &store{config: config, capacity: maxFillShare * capacityFactor * config.Tokens, visibleAt: map[contextKey]float64{}}
}

// move takes the link for a move and gives when it ends.
func (s *store) transfer(sim *simulation, tokens float64) float64 {
	took := tokens / s.config.TokensPerMilli
	if s == sim.stores[len(sim.stores)-1] && sim.now >= millisPerSecond*sim.scenario.SlowFrom && sim.now < millisPerSecond*sim.scenario.SlowUntil {
		took *= sim.scenario.SlowFactor
	}
	s.linkFreeAt = max(s.linkFreeAt, sim.now) + took
	return s.linkFreeAt + s.config.LatencyMillis
}

// save takes room for a part and moves it here, if there is room.
func (s *store) save(sim *simulation, p contextKey, tokens float64) {
	if _, kept := s.visibleAt[p]; kept || s.used+tokens > s.capacity {
		return
	}
	s.used += tokens
	ends := s.transfer(sim, tokens)
	s.visibleAt[p] = ends + reportDelayMillis + reportDelaySpread*sim.random.Float64()
	if p.weights < sim.newest {
		sim.scheduleFree(s, p)
	}
}

// planFree frees a part of older weights when its time has come.
func (sim *simulation) scheduleFree(s *store, p contextKey) {
	at := sim.announcedAt[p.weights+1] + sim.contextOf(p).freeDelay
	sim.schedule(max(0, at-sim.now), func() {
		if _, kept := s.visibleAt[p]; kept {
			delete(s.visibleAt, p)
			s.used -= sim.contextOf(p).tokens
		}
	})
}

// holding finds the store box from which a part may be fetched.
func (sim *simulation) storeHolding(p contextKey) *store {
	if p.weights < sim.newest && sim.now > sim.announcedAt[p.weights+1]+sim.contextOf(p).fetchWindow {
		return nil
	}
	for _, s := range sim.stores {
		if seen, kept := s.visibleAt[p]; kept && seen <= sim.now {
			return s
		}
	}
	return nil
}

// place chooses the store box for a part, by its room and by chance that is the part's
// own; nil when it is being saved or there is no room.
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

// share gives a number of 0 to 1 that a part has with a store box, or with a runner.
func rendezvousScore(p contextKey, store int) float64 {
	h := p.hash() + uint64(p.weights*storeStride+store)*firstMixer
	h ^= h >> 31
	h *= secondMixer
	h ^= h >> 29
	return float64(h>>11) / (1 << 53) // the 53 bits that a float64 holds
}

// storeSpan keeps the numbers of versions apart: no site has as many store boxes, or
// runners, which rendezvous hashing numbers in the same way.
const storeStride = 64

// The odd numbers of SplitMix64, which spread small numbers over all bits.
const (
	goldenGamma = 0x9e3779b97f4a7c15
	firstMixer  = 0xbf58476d1ce4e5b9
	secondMixer = 0x94d049bb133111eb
)
