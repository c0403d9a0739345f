// How late fetches from each store box come, by the first events of the calls that were
// waiting for them. A store box moves one part after the other. When its link turns slow,
// moves queue up until each of them is thrown away before it has begun or ended: every
// call then waits for nothing, is late, and reads its prompt in the end. A box that sees
// this has most such prompts read at once, which leaves the link to a few fetches that
// come in time.
//
// Late is by comparison: under load the first events of all calls are late, whatever store
// box they fetched from, so a store box is slow only beside the best of the others.

package partindex

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// paceSamples is how many of the last fetches must all have come late: one alone may
	// have waited for other prompts at its runner.
	paceSamples = 4
	// slowFetch is how much later than those of other store boxes they must have come. To
	// read a usual part takes 80 to 240 ms.
	slowFetch = 300 * time.Millisecond
	// trySlowEvery is the time between two fetches of a box from a slow store box, which
	// show whether it still is.
	trySlowEvery = time.Second
	// paceFresh is how long fetches say something of a store box that others are compared
	// with: a rollout or a burst begins and ends within some seconds.
	paceFresh = 5 * time.Second
)

// pace is how late the last fetches from a store box came.
type pace struct {
	// late is a ring of the last of them, and next the place of the oldest.
	late [paceSamples]time.Duration
	next int
	// count is how many have come in all, and notedAt when the last did.
	count   int
	notedAt time.Time
	// triedAt is when the last fetch came, or was handed over to try.
	triedAt time.Time
	slow    bool
}

// note takes in how late one more fetch came. One that was early is in time.
func (p *pace) note(late time.Duration, now time.Time) {
	p.late[p.next] = max(late, 0)
	p.next = (p.next + 1) % paceSamples
	p.count++
	p.notedAt, p.triedAt = now, now
}

// speaks reports whether enough fetches have come lately to compare others with.
func (p *pace) speaks(now time.Time) bool {
	return p.count >= paceSamples && now.Sub(p.notedAt) <= paceFresh
}

// least is by how much all of the last fetches came late.
func (p *pace) least() time.Duration { return slices.Min(p.late[:]) }

// NoteFetch notes how much later than expected a call with a fetch from a store box had
// its first event. It reports whether the store box counts as slow now, and whether that
// has changed.
func (x *Index) NoteFetch(source string, late time.Duration) (slow, changed bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	at := slices.IndexFunc(x.stores, func(s *store) bool { return s.name == source })
	if at < 0 {
		return false, false // no longer configured
	}
	s := x.stores[at]
	now := boottime.Now()
	s.pace.note(late, now)
	slow = s.pace.least() > x.leastOfOthers(s, now)+slowFetch
	slow = slow && x.cfg.Off.Enabled(mechanism.SlowStores)
	changed = slow != s.pace.slow
	s.pace.slow = slow
	return slow, changed
}

// leastOfOthers is by how much all of the last fetches from the best of the other store
// boxes came late, zero where none of them has been fetched from lately. The caller
// holds mu.
func (x *Index) leastOfOthers(but *store, now time.Time) time.Duration {
	best := time.Duration(-1)
	for _, s := range x.stores {
		if s == but || !s.pace.speaks(now) {
			continue
		}
		if least := s.pace.least(); best < 0 || least < best {
			best = least
		}
	}
	return max(best, 0)
}

// spare reports whether a part is to be read rather than fetched, since its store box is
// slow; not where a try is due. The caller holds mu.
func (s *store) spare(now time.Time) bool {
	return s.pace.slow && now.Sub(s.pace.triedAt) < trySlowEvery
}
