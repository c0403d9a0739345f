// The crash record of a request, and the eviction of records when there are too many.

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRecords bounds the number of records. A server that crashes takes down some ten calls, and
	// each of them gets a record.
	maxRecords = 1024
	// maxCrashes bounds the crashes in one record; above that the earliest are dropped.
	maxCrashes = 8
	// maxUncovered is how many crashes under a sound part may be missing under the one that caused them,
	// since the box that has seen those may not have reported them yet.
	maxUncovered = 1
)

// crash is the crash of an incarnation of a server under a request.
type crash struct {
	incarnation uint64
	at          time.Time
	// excused reports that the request was served at about that time or later.
	excused bool
}

// record is the crash record of one request.
type record struct {
	request Request
	caller  uint64
	crashes []crash
	// triedAt is when this box tried the request again.
	triedAt time.Time
	// probedAt is when this box last tried it as one of several suspected parts.
	probedAt time.Time
	// changed is the generation of the latest change.
	changed uint64
}

// add adds a crash, and reports whether that changes the record.
func (r *record) add(c crash) bool {
	at := slices.IndexFunc(r.crashes, func(e crash) bool { return e.incarnation == c.incarnation })
	if at >= 0 {
		changed := c.excused && !r.crashes[at].excused
		r.crashes[at].excused = r.crashes[at].excused || c.excused
		return changed
	}
	if len(r.crashes) >= maxCrashes {
		if c.at.Before(r.crashes[0].at) {
			return false
		}
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	return true
}

// excuseUntil excuses the crashes up to a given time.
func (r *record) excuseUntil(moment time.Time) {
	for i := range r.crashes {
		if !r.crashes[i].at.After(moment) {
			r.crashes[i].excused = true
		}
	}
}

// count returns the number of crashes that are not excused.
func (r *record) count() int {
	count := 0
	for _, e := range r.crashes {
		if !e.excused {
			count++
		}
	}
	return count
}

// isHeld reports whether the request of a record is held.
func (s *Set) isHeld(r *record) bool { return r.count() >= s.cfg.Threshold }

// isServed reports whether the request was ever served since its first crash.
func (r *record) isServed() bool {
	return slices.ContainsFunc(r.crashes, func(c crash) bool { return c.excused })
}

// isCoveredBy reports whether all but maxUncovered of the crashes that are not excused lie under another
// request too.
func (r *record) isCoveredBy(other *record) bool {
	uncovered := 0
	for _, c := range r.crashes {
		if !c.excused && !slices.ContainsFunc(other.crashes, func(o crash) bool { return o.incarnation == c.incarnation }) {
			uncovered++
		}
	}
	return uncovered <= maxUncovered
}

// lastAt returns the time of the latest crash, or of the latest try if that is later.
func (r *record) lastAt() time.Time {
	last := r.triedAt
	if n := len(r.crashes); n > 0 && r.crashes[n-1].at.After(last) {
		last = r.crashes[n-1].at
	}
	return last
}

// heldUntil returns when a held request may be tried again.
func (s *Set) heldUntil(r *record) time.Time {
	length := firstRetryDelay
	for range r.count() - s.cfg.Threshold {
		length = min(retryBackoff*length, maxHold)
	}
	return r.lastAt().Add(length)
}

// isExpired reports whether a record no longer has any effect.
func (s *Set) isExpired(r *record, now time.Time) bool {
	age := now.Sub(r.lastAt())
	return age > maxHold || age > suspectTTL && !s.isHeld(r)
}

// makeRoom removes expired records and, if that is not enough, evicts one record of the caller
// with the most records: the one with the fewest crashes, and among those the oldest. A flood of
// one caller's requests thereby evicts no records of others. The caller holds mu.
func (s *Set) makeRoom(now time.Time) {
	if len(s.records) < maxRecords {
		return
	}
	byCaller := map[uint64]int{}
	for request, entry := range s.records {
		if s.isExpired(entry, now) {
			delete(s.records, request)
			continue
		}
		byCaller[entry.caller]++
	}
	if len(s.records) < maxRecords {
		return
	}
	evictFirst := func(a, b *record) int {
		return cmp.Or(-cmp.Compare(byCaller[a.caller], byCaller[b.caller]), cmp.Compare(a.count(), b.count()), a.lastAt().Compare(b.lastAt()))
	}
	var victim *record
	for _, entry := range s.records {
		if victim == nil || evictFirst(entry, victim) < 0 {
			victim = entry
		}
	}
	delete(s.records, victim.request)
}

// maxServed bounds the requests in each of the two maps of recentlyServed.
const maxServed = 4096

// recentlyServed records which requests were served recently.
type recentlyServed struct {
	current, previous map[Request]time.Time
	// since is when current was started.
	since time.Time
}

func (s *recentlyServed) note(request Request, now time.Time) {
	if now.Sub(s.since) > servedGrace {
		s.previous, s.current, s.since = s.current, map[Request]time.Time{}, now
	}
	if _, there := s.current[request]; there || len(s.current) < maxServed {
		s.current[request] = now
	}
}

// last returns when a request was last served, or zero if that was long ago.
func (s *recentlyServed) last(request Request, now time.Time) time.Time {
	at, found := s.current[request]
	if !found {
		at = s.previous[request]
	}
	if now.Sub(at) > 2*servedGrace {
		return time.Time{}
	}
	return at
}
