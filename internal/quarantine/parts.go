// Parts of prompts that crash servers. A call has several parts, each with a record like that of a request,
// and others share them. When servers crash under one part, they crash under the parts beside it too.
//
// The parts beside it are served in other calls, which excuses their crashes. A sound part whose calls are
// rare, or cannot be served while many servers are away, may be held all the same. It does not block a call
// without the part that all its crashes lie under too.

package quarantine

import (
	"bytes"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// PartThreshold is how many servers must crash under a part before it is held. It is higher than
// HoldThreshold, since each crash lies under several parts, most of which are sound.
const PartThreshold = 4

// probeInterval is the time after which one box may try a part again of which it is not known whether it or
// another one crashes servers. The outcome shows which of them does.
const probeInterval = time.Second

// AdmitAll reports whether a call with some parts may be sent to a server, and otherwise for how long it is
// held.
func (s *Set) AdmitAll(parts []Request) (heldFor time.Duration, admitted bool) {
	blocked := s.blocked(parts)
	if len(blocked.by) == 0 || blocked.left > 0 {
		return blocked.left, blocked.left == 0
	}
	// One box decides for all parts of a call. If each part were tried by another box, none would try a call
	// with two of them.
	if s.cfg.MayRetry == nil || !s.cfg.MayRetry(blocked.by[0]) {
		return blocked.interval, false
	}
	return s.admitTry(parts)
}

// admitTry admits a call with held parts once if they may be tried.
func (s *Set) admitTry(parts []Request) (heldFor time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	blocked := s.blockedAt(parts, now)
	if blocked.left > 0 {
		return blocked.left, false // another call was admitted in the meantime
	}
	for _, part := range blocked.by {
		entry := s.records[part]
		entry.probedAt = now
		if !blocked.probe {
			entry.triedAt = now
		}
	}
	return 0, true
}

// IsSuspect reports whether several servers have crashed under a part that was never served.
func (s *Set) IsSuspect(part Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.records[part]
	return entry != nil && entry.count() > 1 && !entry.isServed()
}

// Blocking returns which of a call's parts are held and block the call: all that are held, except those that
// were served before and whose crashes another held part, which this call does not have, has caused.
func (s *Set) Blocking(parts []Request) []Request { return s.blocked(parts).by }

// blockage describes the parts that block a call.
type blockage struct {
	// by has the parts, in an order that is the same at all boxes.
	by []Request
	// left is how much longer they block it; it is zero when one box may try it. interval is the time until
	// the next try.
	left, interval time.Duration
	// probe means that a try would show which of several parts crashes servers.
	probe bool
}

func (s *Set) blocked(parts []Request) blockage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedAt(parts, boottime.Now())
}

// blockedAt returns which parts block a call. The caller holds mu.
func (s *Set) blockedAt(parts []Request, now time.Time) blockage {
	found := blockage{interval: firstRetryDelay, probe: true}
	var probeLeft time.Duration
	for _, part := range parts {
		entry := s.records[part]
		if entry == nil || !s.isHeld(entry) {
			continue
		}
		explained := s.isExplained(entry, parts)
		if explained && entry.isServed() {
			continue
		}
		found.by = append(found.by, part)
		found.left = max(found.left, s.heldUntil(entry).Sub(now))
		probeLeft = max(probeLeft, entry.probedAt.Add(probeInterval).Sub(now))
		found.probe = found.probe && explained
	}
	if found.probe {
		found.left, found.interval = probeLeft, probeInterval
	}
	slices.SortFunc(found.by, func(a, b Request) int { return bytes.Compare(a[:], b[:]) })
	return found
}

// isExplained reports whether a held part that is not one of the call's parts, and was never served, accounts
// for the crashes of a part. The caller holds mu.
func (s *Set) isExplained(entry *record, parts []Request) bool {
	for part, other := range s.records {
		if other != entry && s.isHeld(other) && !other.isServed() && !slices.Contains(parts, part) && entry.isCoveredBy(other) {
			return true
		}
	}
	return false
}
