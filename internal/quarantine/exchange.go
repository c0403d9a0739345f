// What boxes tell each other. A word is all that is known of one request; words that changed
// since what the other box has are told, in the order of their changes.

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

// mostWords bounds the requests of one message: some 100 bytes each.
const mostWords = 64

// RequestRecord tells of one request.
type RequestRecord struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Request Request
	Caller  uint64
	Crashes []CrashRecord
}

// CrashRecord tells of a server that ended.
type CrashRecord struct {
	_msgpack struct{} `msgpack:",as_array"`

	Incarnation uint64
	// Age is how long ago, by the box that tells.
	Age     time.Duration
	Excused bool
}

// ChangesSince gives what changed after a generation, at most mostWords of it, and the generation
// that it leads to.
func (s *Set) ChangesSince(since uint64) ([]RequestRecord, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since == s.generation {
		return nil, since
	}
	var changed []*record
	for _, known := range s.records {
		if known.changed > since {
			changed = append(changed, known)
		}
	}
	slices.SortFunc(changed, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
	next := s.generation
	if len(changed) > mostWords {
		changed = changed[:mostWords]
		next = changed[mostWords-1].changed
	}
	now := boottime.Now()
	words := make([]RequestRecord, len(changed))
	for i, known := range changed {
		words[i] = known.word(now)
	}
	return words, next
}

func (r *record) word(now time.Time) RequestRecord {
	word := RequestRecord{Request: r.request, Caller: r.caller, Crashes: make([]CrashRecord, len(r.ends))}
	for i, e := range r.ends {
		word.Crashes[i] = CrashRecord{Incarnation: e.life, Age: now.Sub(e.at), Excused: e.excused}
	}
	return word
}

// Merge takes over what another box tells.
func (s *Set) Merge(words []RequestRecord) {
	now := boottime.Now()
	for _, word := range words {
		change, changed := s.hear(word, now)
		if changed {
			change.FromPeer = true
			s.tellChanged(change)
		}
	}
}

func (s *Set) hear(word RequestRecord, now time.Time) (Change, bool) {
	ends := make([]end, 0, min(len(word.Crashes), mostEnds))
	for _, e := range word.Crashes[:min(len(word.Crashes), mostEnds)] {
		ends = append(ends, end{life: e.Incarnation, at: now.Add(-max(e.Age, 0)), excused: e.Excused})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.join(word.Request, word.Caller, ends, now)
}
