// Store boxes: room for parts, and a link that moves one after the other.

package sitebench

import "github.com/cometlock/cometlock/internal/partindex"

const (
	// seenMillis and seenSpread are how soon boxes know of a part that is whole: events
	// come 60 ms late, and boxes ask three times a second.
	seenMillis = 60.0
	seenSpread = 300.0
	// savingMillis is how long a save that was planned is expected to come true, as in
	// package partindex.
	savingMillis = 4000.0
	// fill is the part of a store box that is filled on purpose, as in partindex.
	fill = 0.97
)

// fetchMillis is after how long a fetch is thrown away.
var fetchMillis = float64(partindex.FetchTimeout.Milliseconds())

// store is one store box.
type store struct {
	config StoreBox
	// room and used are in tokens.
	room float64
	used float64
	// seen says from when on boxes know of a part.
	seen map[part]float64
	// freeAt is when the link has nothing more to move.
	freeAt float64
}

func newStore(config StoreBox, room float64) *store {
	return &store{config: config, room: fill * room * config.Tokens, seen: map[part]float64{}}
}

// move takes the link for a move and gives when it ends.
func (s *store) move(w *world, tokens float64) float64 {
	took := tokens / s.config.TokensPerMilli
	if s == w.stores[len(w.stores)-1] && w.now >= millisPerSecond*w.day.SlowFrom && w.now < millisPerSecond*w.day.SlowUntil {
		took *= w.day.SlowFactor
	}
	s.freeAt = max(s.freeAt, w.now) + took
	return s.freeAt + s.config.LatencyMillis
}

// save takes room for a part and moves it here, if there is room.
func (s *store) save(w *world, p part, tokens float64) {
	if _, kept := s.seen[p]; kept || s.used+tokens > s.room {
		return
	}
	s.used += tokens
	ends := s.move(w, tokens)
	s.seen[p] = ends + seenMillis + seenSpread*w.random.Float64()
	if p.weights < w.newest {
		w.planFree(s, p)
	}
}

// planFree frees a part of older weights when its time has come.
func (w *world) planFree(s *store, p part) {
	at := w.namedAt[p.weights+1] + w.thingOf(p).freedAfter
	w.after(max(0, at-w.now), func() {
		if _, kept := s.seen[p]; kept {
			delete(s.seen, p)
			s.used -= w.thingOf(p).tokens
		}
	})
}

// holding finds the store box from which a part may be fetched.
func (w *world) holding(p part) *store {
	if p.weights < w.newest && w.now > w.namedAt[p.weights+1]+w.thingOf(p).fetchedFor {
		return nil
	}
	for _, s := range w.stores {
		if seen, kept := s.seen[p]; kept && seen <= w.now {
			return s
		}
	}
	return nil
}

// place chooses the store box for a part, by its room and by chance that is the part's
// own; nil when it is being saved or there is no room.
func (w *world) place(p part, tokens float64) *store {
	if w.saving[p] > w.now {
		return nil
	}
	var best *store
	bestScore := 0.0
	for i, s := range w.stores {
		if s.used+tokens > s.room {
			continue
		}
		if score := s.config.Tokens * share(p, i); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// share gives a number of 0 to 1 that a part has with a store box, or with a runner.
func share(p part, store int) float64 {
	h := p.number() + uint64(p.weights*storeSpan+store)*firstMixer
	h ^= h >> 31
	h *= secondMixer
	h ^= h >> 29
	return float64(h>>11) / (1 << 53) // the 53 bits that a float64 holds
}

// storeSpan keeps the numbers of versions apart: no site has as many store boxes, or
// runners, which rendezvous hashing numbers in the same way.
const storeSpan = 64

// The odd numbers of SplitMix64, which spread small numbers over all bits.
const (
	oddMultiplier = 0x9e3779b97f4a7c15
	firstMixer    = 0xbf58476d1ce4e5b9
	secondMixer   = 0x94d049bb133111eb
)
