// Package quarantine detects requests that crash the servers that run them, and holds them so
// that no server gets such a request again.
//
// A server that crashes takes down all calls that it was running, of which only one may be the
// cause. The outcome of the same request elsewhere identifies it: the one that is the cause
// crashes every server, while the others are served by the next server. A request is therefore
// held when three incarnations of servers crashed under it and it was served neither since, nor
// shortly before the first of these crashes. A request that is served is released at once.
//
// Boxes count crashes together. They exchange sets instead of counts: under which request which
// incarnation of a server crashed, and whether that crash is excused. Sets are merged by union,
// so a message that arrives twice, late or by two paths changes nothing, and an excused crash
// stays excused.
//
// All state is in memory and bounded. What is held is also recorded in the platform's log (package
// quarantinelog), so that boxes which all restart at once still hold it. Nothing waits for the log.
package quarantine

import (
	"cmp"
	"sync"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fingerprint"
)

// HoldThreshold is how many servers must crash under a request before it is held. One or two may
// be chance: a call of 0.3 s that runs next to a request that crashes one of 18 servers each
// second is cut off with a probability of 2 in 100, and three times in a row with 8 in a million.
const HoldThreshold = 3

const (
	// servedGrace is how long after a request was served further crashes under it are excused. A
	// page that many callers request is in flight at several servers, which may crash together.
	servedGrace = 2 * time.Second
	// runningLead is how much longer than a call that crashed a stream must have been running at its server to
	// show that what they share did not cause the crash. Requests that crash servers do so some 0.1 s after they
	// begin.
	runningLead = time.Second
	// deferAfter is how long a call must have been running for its crash to be pending for reviewDelay before it
	// counts. By then streams that had been running as long elsewhere, and go on, have a lead of runningLead and
	// excuse it, and other boxes have reported that.
	deferAfter  = 500 * time.Millisecond
	reviewDelay = 2 * time.Second
	// firstRetryDelay is how long after its latest crash a held request may be tried once, by one
	// box. Each further crash multiplies the delay by retryBackoff. Three tries take two hours.
	firstRetryDelay = 5 * time.Minute
	retryBackoff    = 4
	// maxHold is when a held request is forgotten, and suspectTTL when a request with fewer crashes
	// is.
	maxHold    = 24 * time.Hour
	suspectTTL = 10 * time.Minute
)

// Request identifies a request.
type Request = fingerprint.Fingerprint

// Config configures a Set.
type Config struct {
	// Threshold is how many servers must crash under a request before it is held; zero selects
	// HoldThreshold.
	Threshold int
	// MayRetry reports whether this box is the one that may try a request that has been held for
	// long. Nil means never.
	MayRetry func(Request) bool
	// OnChange is called for each change in the state of a request, without any lock held; it may
	// be nil.
	OnChange func(Change)
}

// Change is a change in the state of a request.
type Change struct {
	Request Request
	// Crashes is the number of crashes under the request that are not excused.
	Crashes int
	// Held reports that the request is held from now on, and Released that it no longer is.
	Held     bool
	Released bool
	// FromPeer reports that the change was received from another box.
	FromPeer bool
	// Recorded reports that the change was read from the log.
	Recorded bool
}

// Crash is the crash of an incarnation of a server under a request.
type Crash struct {
	Request Request
	// Caller is a number that identifies the request's caller.
	Caller uint64
	// Incarnation is a number that identifies the incarnation of the server.
	Incarnation uint64
	// Running is how long the server had been sending events of the call's stream; zero if it had sent none.
	Running time.Duration
}

// Set is the crash records of requests that a box has.
type Set struct {
	cfg Config

	mu      sync.Mutex
	records map[Request]*record
	// served has the requests that were served recently, and running those of streams in progress.
	served, running recentlyServed
	// generation counts the changes to send to other boxes.
	generation uint64
}

// New returns an empty set.
func New(cfg Config) *Set {
	cfg.Threshold = cmp.Or(cfg.Threshold, HoldThreshold)
	return &Set{cfg: cfg, records: map[Request]*record{}}
}

// NoteCrash records that a server crashed under a request.
func (s *Set) NoteCrash(crash Crash) { s.NoteCrashes([]Crash{crash}) }

// NoteCrashes records that a server crashed under several requests at once, before any of their changes
// is reported.
func (s *Set) NoteCrashes(crashes []Crash) {
	var changes []Change
	for _, each := range crashes {
		if change, changed := s.noteCrash(each, boottime.Now()); changed {
			changes = append(changes, change)
		}
	}
	s.notifyAll(changes)
}

func (s *Set) noteCrash(c Crash, now time.Time) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.merge(c.Request, c.Caller, []crash{{incarnation: c.Incarnation, at: now, running: c.Running}}, now)
}

// review counts a crash that was pending, unless it has been excused, and reports the change.
func (s *Set) review(request Request, incarnation uint64) {
	if change, changed := s.endPending(request, incarnation); changed {
		s.notify(change)
	}
}

func (s *Set) endPending(request Request, incarnation uint64) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.records[request]
	if entry == nil {
		return Change{}, false
	}
	before := entry.count()
	entry.endPending(incarnation)
	after := entry.count()
	// The other boxes have the crash already and review it themselves.
	return Change{Request: request, Crashes: after, FromPeer: true, Held: before < s.cfg.Threshold && after >= s.cfg.Threshold}, after != before
}

// NoteServed records that a server completed a request. All crashes so far are excused.
func (s *Set) NoteServed(request Request) { s.noteSound(request, &s.served, completed) }

// NoteRunning records that a server has been sending events of a request's stream for some time. Crashes so far
// of calls that had been running for runningLead less are excused. A request that crashes servers a certain time
// after it began excuses none of its crashes.
func (s *Set) NoteRunning(request Request, running time.Duration) {
	s.noteSound(request, &s.running, running)
}

// noteSound records that a request has been running for some time, and reports the change.
func (s *Set) noteSound(request Request, recent *recentlyServed, running time.Duration) {
	change, changed := s.excuse(request, recent, running, boottime.Now())
	if changed {
		s.notify(change)
	}
}

func (s *Set) excuse(request Request, recent *recentlyServed, running time.Duration, now time.Time) (Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	recent.note(request, running, now)
	entry := s.records[request]
	if entry == nil {
		return Change{}, false
	}
	held := s.isHeld(entry)
	if !entry.excuseUntil(now, running) {
		return Change{}, false
	}
	s.markChanged(entry)
	return Change{Request: request, Crashes: entry.count(), Released: held && !s.isHeld(entry)}, true
}

// merge adds crashes to the record of a request. The caller holds mu.
func (s *Set) merge(request fingerprint.Fingerprint, caller uint64, crashes []crash, now time.Time) (Change, bool) {
	entry := s.records[request]
	if entry == nil || s.isExpired(entry, now) {
		delete(s.records, request)
		entry = &record{request: request, caller: caller}
	}
	before, changed := entry.count(), false
	for _, c := range crashes {
		left := reviewDelay - now.Sub(c.at)
		c.pending = c.running >= deferAfter && c.running < unknownRunning && left > 0
		if now.Sub(c.at) < maxHold && entry.add(c) {
			changed = true
			if c.pending {
				time.AfterFunc(left, func() { s.review(request, c.incarnation) })
			}
		}
	}
	if !changed {
		return Change{}, false
	}
	for _, last := range append(s.served.last(request, now), s.running.last(request, now)...) {
		entry.excuseUntil(last.at.Add(servedGrace), last.running)
	}
	if s.records[request] == nil {
		s.makeRoom(now)
		s.records[request] = entry
	}
	s.markChanged(entry)
	after := entry.count()
	return Change{Request: request, Crashes: after, Held: before < s.cfg.Threshold && after >= s.cfg.Threshold, Released: before >= s.cfg.Threshold && after < s.cfg.Threshold}, true
}

// markChanged marks a record to be sent to other boxes. The caller holds mu.
func (s *Set) markChanged(entry *record) {
	s.generation++
	entry.changed = s.generation
}

// Admit reports whether a request may be sent to a server, and otherwise for how long it is held.
// A request that has been held for long enough is admitted once, by the box that may retry it.
func (s *Set) Admit(request Request) (heldFor time.Duration, admitted bool) {
	left, held := s.HeldFor(request)
	if !held || left > 0 {
		return left, !held
	}
	if s.cfg.MayRetry == nil || !s.cfg.MayRetry(request) {
		return firstRetryDelay, false
	}
	return s.admitRetry(request)
}

// HeldFor reports whether a request is held, and for how much longer; the time is zero when one
// box may try it.
func (s *Set) HeldFor(request Request) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.records[request]
	if entry == nil || !s.isHeld(entry) {
		return 0, false
	}
	return max(boottime.Until(s.heldUntil(entry)), 0), true
}

// admitRetry admits a held request once if it may be tried. Until the outcome is known, the next
// try is delayed by the same time again.
func (s *Set) admitRetry(request Request) (heldFor time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, now := s.records[request], boottime.Now()
	if entry == nil || !s.isHeld(entry) {
		return 0, true
	}
	if left := s.heldUntil(entry).Sub(now); left > 0 {
		return left, false // another call was admitted in the meantime
	}
	entry.triedAt = now
	return 0, true
}

// Crashes returns the number of crashes under a request that are not excused.
func (s *Set) Crashes(request Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry := s.records[request]; entry != nil {
		return entry.count()
	}
	return 0
}

// Counts returns how many requests are held, and how many others have crashes that are not
// excused.
func (s *Set) Counts() (held, suspected int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.records {
		switch {
		case s.isHeld(entry):
			held++
		case entry.count() > 0:
			suspected++
		}
	}
	return held, suspected
}

func (s *Set) notifyAll(changes []Change) {
	for _, change := range changes {
		s.notify(change)
	}
}

func (s *Set) notify(change Change) {
	if s.cfg.OnChange != nil {
		s.cfg.OnChange(change)
	}
}
