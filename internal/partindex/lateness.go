// Lateness of fetches from each store box, measured at the first event of the calls that waited
// for them. A store box transfers one part at a time. When its link becomes slow, transfers queue
// up until each one is dropped, either before it starts or before it ends. Every call then waits
// for nothing, is late and has its prompt prefilled after all. A box that detects this has most
// such prompts prefilled at once, which leaves the link to a few fetches that arrive in time.
//
// Lateness is relative: under load the first events of all calls are late, from whichever store
// box they fetched. A store box therefore counts as slow only in comparison with the best of the
// others.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// latenessSamples is how many of the latest fetches must all be late. A single one may have
	// waited for other prompts at its runner.
	latenessSamples = 4
	// slowThreshold is by how much they must be later than those from other store boxes. Prefilling
	// a usual part takes 80 to 240 ms.
	slowThreshold = 300 * time.Millisecond
	// slowProbeInterval is the time between two fetches of a box from a slow store box, which show
	// whether it is still slow.
	slowProbeInterval = time.Second
	// latenessFresh is how long samples of a store box are used for comparison with others. A
	// rollout or a burst lasts some seconds.
	latenessFresh = 5 * time.Second
)

// lateness holds how late the latest fetches from a store box were.
type lateness struct {
	// samples is a ring buffer of the latest fetches, and next the index of the oldest.
	samples [latenessSamples]time.Duration
	next    int
	// count is the total number of fetches, and recordedAt the time of the latest.
	count      int
	recordedAt time.Time
	// probedAt is when the latest fetch completed, or when a call with a probing fetch was
	// dispatched.
	probedAt time.Time
	slow     bool
}

// record adds a sample. A fetch that was early counts as on time.
func (l *lateness) record(late time.Duration, now time.Time) {
	l.samples[l.next] = max(late, 0)
	l.next = (l.next + 1) % latenessSamples
	l.count++
	l.recordedAt, l.probedAt = now, now
}

// isFresh reports whether there are enough recent samples to compare other store boxes with.
func (l *lateness) isFresh(now time.Time) bool {
	return l.count >= latenessSamples && now.Sub(l.recordedAt) <= latenessFresh
}

// minimum returns the lowest lateness among the samples.
func (l *lateness) minimum() time.Duration { return slices.Min(l.samples[:]) }

// NoteFetch records how much later than expected the first event of a call with a fetch from a
// store box came. It reports whether the store box now counts as slow, and whether that has
// changed.
func (x *Index) NoteFetch(source string, late time.Duration) (slow, changed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := slices.IndexFunc(x.stores, func(s *store) bool { return s.name == source })
	if at < 0 {
		return false, false // no longer configured
	}
	s := x.stores[at]
	now := boottime.Now()
	wasSlow := s.isSlow(now)
	s.lateness.record(late, now)
	slow = s.lateness.minimum() > x.minOfOthers(s, now)+slowThreshold
	s.lateness.slow = slow && x.cfg.Mechanisms.Enabled(mechanism.SlowStores) && !x.isLoadTheCause(s, now)
	x.noteOwnSample(s, linkSample{late: max(late, 0)}, now)
	s.shared.logged = s.isSlow(now)
	return s.shared.logged, wasSlow != s.shared.logged
}

// minOfOthers returns the lowest minimum lateness of the other store boxes, or zero if none of
// them has recent samples. The caller holds mu.
func (x *Index) minOfOthers(except *store, now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, s := range x.stores {
		if s == except || !s.lateness.isFresh(now) {
			continue
		}
		if lowest := s.lateness.minimum(); best < 0 || lowest < best {
			best = lowest
		}
	}
	return max(best, 0)
}

// avoidsFetch reports whether a part should be prefilled rather than fetched because its store
// box is slow. It returns false when a probe is due. The caller holds mu.
func (x *Index) avoidsFetch(s *store, now time.Time) bool {
	return s.isSlow(now) && !x.isProbeDue(s, now)
}
