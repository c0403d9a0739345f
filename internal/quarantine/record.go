// What is kept of one request, and which requests are forgotten when there are too many.

package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostRecords bounds the requests that are remembered. A server that ends takes some ten
	// calls along, and each of them is one.
	mostRecords = 1024
	// mostEnds bounds the ends that are remembered of one request; with more, the earliest
	// are forgotten.
	mostEnds = 8
)

// end is the end of a life of a server under a request.
type end struct {
	life uint64
	at   time.Time
	// excused says that the request was served about then or later.
	excused bool
}

// record is what is known of one request.
type record struct {
	request Request
	caller  uint64
	ends    []end
	// triedAt is when this box tried the request again.
	triedAt time.Time
	// changed is the generation of the last change.
	changed uint64
}

// add takes over an end, and reports whether that is news.
func (r *record) add(next end) bool {
	at := slices.IndexFunc(r.ends, func(e end) bool { return e.life == next.life })
	if at >= 0 {
		news := next.excused && !r.ends[at].excused
		r.ends[at].excused = r.ends[at].excused || next.excused
		return news
	}
	if len(r.ends) >= mostEnds {
		if next.at.Before(r.ends[0].at) {
			return false
		}
		r.ends = slices.Delete(r.ends, 0, 1)
	}
	r.ends = append(r.ends, next)
	slices.SortStableFunc(r.ends, func(a, b end) int { return a.at.Compare(b.at) })
	return true
}

// excuseUntil excuses the ends up to a moment.
func (r *record) excuseUntil(moment time.Time) {
	for i := range r.ends {
		if !r.ends[i].at.After(moment) {
			r.ends[i].excused = true
		}
	}
}

// count counts the ends that are not excused.
func (r *record) count() int {
	count := 0
	for _, e := range r.ends {
		if !e.excused {
			count++
		}
	}
	return count
}

func (r *record) held() bool { return r.count() >= HoldThreshold }

// lastAt is when a server last ended under the request, or it was tried again.
func (r *record) lastAt() time.Time {
	last := r.triedAt
	if n := len(r.ends); n > 0 && r.ends[n-1].at.After(last) {
		last = r.ends[n-1].at
	}
	return last
}

// heldUntil is when a request that is held may be tried again.
func (r *record) heldUntil() time.Time {
	length := triedAfter
	for range r.count() - HoldThreshold {
		length = min(heldGrowth*length, longestHeld)
	}
	return r.lastAt().Add(length)
}

// over reports whether the record says nothing any more.
func (r *record) over(now time.Time) bool {
	age := now.Sub(r.lastAt())
	return age > longestHeld || age > suspectFor && !r.held()
}

// makeRoom forgets what is over and, where that is not enough, a record of the caller with
// the most of them, so that a flood of one caller's requests pushes out no other's: of these
// the one with the fewest ends, and the oldest. The caller holds mu.
func (s *Set) makeRoom(now time.Time) {
	if len(s.records) < mostRecords {
		return
	}
	byCaller := map[uint64]int{}
	for request, known := range s.records {
		if known.over(now) {
			delete(s.records, request)
			continue
		}
		byCaller[known.caller]++
	}
	if len(s.records) < mostRecords {
		return
	}
	first := func(a, b *record) int {
		return cmp.Or(-cmp.Compare(byCaller[a.caller], byCaller[b.caller]), cmp.Compare(a.count(), b.count()), a.lastAt().Compare(b.lastAt()))
	}
	var victim *record
	for _, known := range s.records {
		if victim == nil || first(known, victim) < 0 {
			victim = known
		}
	}
	delete(s.records, victim.request)
}

// mostServed bounds the requests that are remembered as served in each half of servedBefore.
const mostServed = 4096

// servedLately remembers which requests were served lately.
type servedLately struct {
	now, before map[Request]time.Time
	// since is when now was begun.
	since time.Time
}

func (s *servedLately) note(request Request, now time.Time) {
	if now.Sub(s.since) > servedBefore {
		s.before, s.now, s.since = s.now, map[Request]time.Time{}, now
	}
	if _, there := s.now[request]; there || len(s.now) < mostServed {
		s.now[request] = now
	}
}

// last gives when a request was last served; zero when that is long ago.
func (s *servedLately) last(request Request, now time.Time) time.Time {
	at, found := s.now[request]
	if !found {
		at = s.before[request]
	}
	if now.Sub(at) > 2*servedBefore {
		return time.Time{}
	}
	return at
}
