// The crash record of a request, and the eviction of records when there are too many.

package quarantine

import (
	"cmp"
	"math"
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
	// excused reports that the request was served at about that time or later, or ran longer elsewhere.
	excused bool
	// running is the shortest time that a server had been sending the stream of a call that crashed.
	running time.Duration
	// pending means that the crash does not count yet.
	pending bool
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
		before := r.crashes[at]
		r.crashes[at].excused = before.excused || c.excused
		r.crashes[at].running = min(before.running, c.running)
		r.crashes[at].pending = before.pending && c.pending
		return r.crashes[at] != before
	}
	if len(r.crashes) >= maxCrashes {
		if c.at.Before(r.crashes[0].at) || c.pending && !r.crashes[0].excused {
			return false // a pending crash must not displace one that counts, or will before it
		}
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
	return true
}

// completed stands for the time that a call has been running which was served completely.
const completed = time.Duration(math.MaxInt64)

// excuseUntil excuses the crashes up to a given time of calls that had been running for runningLead less than
// another one, and reports whether that changes the record.
func (r *record) excuseUntil(moment time.Time, running time.Duration) bool {
	changed := false
	for i := range r.crashes {
		c := &r.crashes[i]
		if !c.excused && !c.at.After(moment) && c.running <= running-runningLead {
			c.excused, changed = true, true
		}
	}
	return changed
}

// endPending counts a crash from now on.
func (r *record) endPending(incarnation uint64) {
	for i := range r.crashes {
		if r.crashes[i].incarnation == incarnation {
			r.crashes[i].pending = false
		}
	}
}

// counts reports whether the crash is neither excused nor pending.
func (c crash) counts() bool { return !c.excused && !c.pending }

// count returns the number of crashes that count.
func (r *record) count() int {
	count := 0
	for _, e := range r.crashes {
		if e.counts() {
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

// isCoveredBy reports whether all but maxUncovered of the crashes that count lie under another request
// too.
func (r *record) isCoveredBy(other *record) bool {
	uncovered := 0
	for _, c := range r.crashes {
		if c.counts() && !slices.ContainsFunc(other.crashes, func(o crash) bool { return o.incarnation == c.incarnation }) {
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

// sighting is how long a request has been running, and when that was noted.
type sighting struct {
	at      time.Time
	running time.Duration
}

// recentlyServed records which requests were served recently, or have been running for how long.
type recentlyServed struct {
	current, previous map[Request]sighting
	// since is when current was started.
	since time.Time
}

// note adds a sighting, unless the request has been running for longer elsewhere.
func (s *recentlyServed) note(request Request, running time.Duration, now time.Time) {
	if now.Sub(s.since) > servedGrace {
		s.previous, s.current, s.since = s.current, map[Request]sighting{}, now
	}
	before, there := s.current[request]
	if there && before.running <= running || !there && len(s.current) < maxServed {
		s.current[request] = sighting{now, running}
	}
}

// last returns the sightings of a request that are not long ago.
func (s *recentlyServed) last(request Request, now time.Time) []sighting {
	var recent []sighting
	for _, sightings := range []map[Request]sighting{s.current, s.previous} {
		if last, found := sightings[request]; found && now.Sub(last.at) <= 2*servedGrace {
			recent = append(recent, last)
		}
	}
	return recent
}
