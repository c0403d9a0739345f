// Package quarantine says which requests end the servers that run them, so that no server is
// handed such a request again.
//
// A server that ends takes along all calls that it was running, and only one of them may be to
// blame. What tells that one from the others is what becomes of the same request elsewhere:
// whoever is to blame ends each server, and whoever was beside it is served by the next. So a
// request is held when three lives of servers ended under it and it was served by none since,
// nor just before the first of them. A request that is served is believed again at once.
//
// Boxes count together. What is told is never a number but a set: under which request which
// life of a server ended, and whether that is excused. Sets are joined, so a word that comes
// twice, late or by two ways changes nothing, and an end that is excused stays so.
//
// All is kept in memory, and bounded. When all boxes start anew at once nothing is known, and
// a request that was held ends three more servers. It would take the platform's log to
// prevent that, which may be away just then.
package quarantine

import (
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fingerprint"
)

// HoldThreshold is how many servers end under a request until it is held. One and two may be
// chance: a call of 0.3 s beside a request that ends one of 18 servers each second is cut off
// with 2 in 100, three times in a row with 8 in a million.
const HoldThreshold = 3

const (
	// servedBefore is how long before an end a request counts as sound that was served: a page
	// that everybody asks for is under way at several servers, which may end together.
	servedBefore = 2 * time.Second
	// triedAfter is how long after its last end a request that is held may be tried once, by
	// one box; after each further end it is heldGrowth times as long. Three tries take two
	// hours.
	triedAfter = 5 * time.Minute
	heldGrowth = 4
	// longestHeld is when a request that is held is forgotten, and suspectFor when one is under
	// which fewer servers ended.
	longestHeld = 24 * time.Hour
	suspectFor  = 10 * time.Minute
)

// Request names a request.
type Request = fingerprint.Fingerprint

// Config sets up a Set.
type Config struct {
	// MayRetry reports whether it is up to this box to try a request that has been held for
	// long. Nil means never.
	MayRetry func(Request) bool
	// OnChange is told of each change of what is known of a request, outside of all locks; it
	// may be nil.
	OnChange func(Change)
}

// Change is a change of what is known of a request.
type Change struct {
	Request Request
	// Crashes counts the servers that ended under it and were not excused.
	Crashes int
	// Held says that the request is held from now on, and Released that it no longer is.
	Held     bool
	Released bool
	// FromPeer says that another box told it.
	FromPeer bool
}

// Crash says that a life of a server ended under a request.
type Crash struct {
	Request Request
	// Caller is a number that stands for the request's caller.
	Caller uint64
	// Incarnation is a number that stands for the life of the server.
	Incarnation uint64
}

// Set is what a box knows of requests that end servers.
type Set struct {
	cfg Config

	mu      sync.Mutex
	records map[Request]*record
	served  servedLately
	// generation counts the changes that others are to be told.
	generation uint64
}

// New makes a set that knows nothing.
func New(cfg Config) *Set {
	return &Set{cfg: cfg, records: map[Request]*record{}}
}

// NoteCrash notes that a server ended under a request.
func (s *Set) NoteCrash(ended Crash) {
	change, changed := s.noteEnd(ended, boottime.Now())
	if changed {
		s.tellChanged(change)
	}
}

func (s *Set) noteEnd(ended Crash, now time.Time) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.join(ended.Request, ended.Caller, []end{{life: ended.Incarnation, at: now}}, now)
}

// NoteServed notes that a server ran a request to a good end.
func (s *Set) NoteServed(request Request) {
	change, changed := s.noteServed(request, boottime.Now())
	if changed {
		s.tellChanged(change)
	}
}

func (s *Set) noteServed(request fingerprint.Fingerprint, now time.Time) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.served.note(request, now)
	known := s.records[request]
	if known == nil || known.count() == 0 {
		return Change{}, false
	}
	held := known.held()
	known.excuseUntil(now)
	s.post(known)
	return Change{Request: request, Released: held}, true
}

// join takes over ends under a request. The caller holds mu.
func (s *Set) join(request fingerprint.Fingerprint, caller uint64, ends []end, now time.Time) (Change, bool) {
	known := s.records[request]
	if known == nil || known.over(now) {
		delete(s.records, request)
		known = &record{request: request, caller: caller}
	}
	before, changed := known.count(), false
	for _, next := range ends {
		if now.Sub(next.at) < longestHeld && known.add(next) {
			changed = true
		}
	}
	if !changed {
		return Change{}, false
	}
	if at := s.served.last(request, now); !at.IsZero() {
		known.excuseUntil(at.Add(servedBefore))
	}
	if s.records[request] == nil {
		s.makeRoom(now)
		s.records[request] = known
	}
	s.post(known)
	after := known.count()
	return Change{Request: request, Crashes: after, Held: before < HoldThreshold && after >= HoldThreshold, Released: before >= HoldThreshold && after < HoldThreshold}, true
}

// post has the others told of a record. The caller holds mu.
func (s *Set) post(known *record) {
	s.generation++
	known.changed = s.generation
}

// Admit reports whether a request may be handed to a server, and for how long it is held
// otherwise. One that has been held for long enough is admitted once, by the box whose turn
// that is.
func (s *Set) Admit(request Request) (heldFor time.Duration, admitted bool) {
	left, held := s.HeldFor(request)
	if !held || left > 0 {
		return left, !held
	}
	if s.cfg.MayRetry == nil || !s.cfg.MayRetry(request) {
		return triedAfter, false
	}
	return s.try(request)
}

// HeldFor reports whether a request is held, and for how much longer; for no longer when one
// box may try it.
func (s *Set) HeldFor(request Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.records[request]
	if known == nil || !known.held() {
		return 0, false
	}
	return max(boottime.Until(known.heldUntil()), 0), true
}

// try admits a request that may be tried, once. Until it has told anything the next try is as
// far away again.
func (s *Set) try(request Request) (heldFor time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, now := s.records[request], boottime.Now()
	if known == nil || !known.held() {
		return 0, true
	}
	if left := known.heldUntil().Sub(now); left > 0 {
		return left, false // another call was admitted meanwhile
	}
	known.triedAt = now
	return 0, true
}

// Crashes counts the servers that ended under a request and were not excused.
func (s *Set) Crashes(request Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.records[request]; known != nil {
		return known.count()
	}
	return 0
}

// Counts says how many requests are held, and how many others are remembered.
func (s *Set) Counts() (held, suspected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, known := range s.records {
		switch {
		case known.held():
			held++
		case known.count() > 0:
			suspected++
		}
	}
	return held, suspected
}

func (s *Set) tellChanged(change Change) {
	if s.cfg.OnChange != nil {
		s.cfg.OnChange(change)
	}
}
