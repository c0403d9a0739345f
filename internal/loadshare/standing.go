// What is known of each box, by its own word or by the rosters of hubs.
//
// Three things are kept for package retire, each true of the box however its word came:
// it said what stands here after a moment (at); it said so in one of its lives; and in that
// life it has known a version of weights since this box first heard it say so (since). A box
// knows more and more as long as it lives, so it knew that version all the time from since
// to at. Of two words in the same life the later one knows more. A word in another life
// begins anew, also when it is an old one that came late: then less is counted, never more.

package loadshare

import (
	"maps"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/retire"
)

// standing is what is known of another box.
type standing struct {
	life    string
	weights map[string]int
	// since is when it was first heard, in this life, to know each version.
	since map[string]time.Time
	// at is a moment after which it said so.
	at time.Time
	// follows says that it tells this box itself, as a follower.
	follows bool
}

// learn takes over a word on the box.
func (k *standing) learn(w boxWord, at, now time.Time) {
	if k.life != w.Life {
		*k = standing{life: w.Life, follows: k.follows}
	}
	if k.weights == nil {
		k.weights, k.since = map[string]int{}, map[string]time.Time{}
	}
	for model, version := range w.Weights {
		if version > k.weights[model] {
			k.weights[model], k.since[model] = version, now
		}
	}
	if at.After(k.at) {
		k.at = at
	}
}

// word gives what may be passed on of the box.
func (k *standing) word(name string) boxWord {
	return boxWord{Box: name, Life: k.life, Weights: maps.Clone(k.weights)}
}

// stockEvery is the least time between two looks at what is known of all boxes while others
// tell of themselves, and followerStockEvery the same for a box that passes nothing on: what it
// knows may be so much older, of the 1.5 s that package retire takes for fresh. Each look is at
// all boxes; at 295 of them looks took a quarter of what boxes' telling takes.
const (
	stockEvery         = 80 * time.Millisecond
	followerStockEvery = 240 * time.Millisecond
)

// stockDue reports whether what is known of all boxes is to be worked out anew. The caller
// holds mu.
func (s *Share) stockDue(now time.Time) bool {
	every := stockEvery
	if s.hub != "" && !s.isFollowed() {
		every = followerStockEvery
	}
	return now.Sub(s.stockAt) >= every
}

// takeStock works out anew what is known of each box. The caller holds mu.
func (s *Share) takeStock(now time.Time) {
	s.stockAt = now
	before := s.known
	s.known = make(map[string]*standing, len(before))
	for name, last := range s.heard {
		k := s.stand(before, name)
		k.follows = last.hub == s.cfg.Box
		k.learn(boxWord{Life: last.life, Weights: last.weights}, last.at, now)
	}
	for _, last := range s.heard {
		for name, w := range last.roster.boxes {
			if name != s.cfg.Box {
				s.stand(before, name).learn(w, last.roster.at, now)
			}
		}
	}
	s.post(now)
	s.noteChanges(before)
}

// stand gives what is known of a box, which stays as long as anybody hears it. The caller
// holds mu.
func (s *Share) stand(before map[string]*standing, name string) *standing {
	k := s.known[name]
	if k != nil {
		return k
	}
	if k = before[name]; k == nil {
		k = &standing{}
	}
	k.follows = false
	s.known[name] = k
	return k
}

// post puts on the boards whom this box speaks for, if any box follows it or ever did. The
// caller holds mu.
func (s *Share) post(now time.Time) {
	if len(s.inward.posted) == 0 && !s.isFollowed() {
		return
	}
	outward, inward := map[string]boxWord{}, map[string]boxWord{}
	oldestOut, oldestIn := now, now
	for name, k := range s.known {
		if now.Sub(k.at) > rosterFresh {
			continue
		}
		inward[name] = k.word(name)
		oldestIn = earlier(oldestIn, k.at)
		if k.follows {
			outward[name] = inward[name]
			oldestOut = earlier(oldestOut, k.at)
		}
	}
	s.outward.update(outward, oldestOut, &s.generation)
	s.inward.update(inward, oldestIn, &s.generation)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mostNames bounds the names of boxes in a line of the log.
const mostNames = 6

// noteChanges tells which boxes are heard now that were not before, and which no longer.
// The caller holds mu.
func (s *Share) noteChanges(before map[string]*standing) {
	var heard, silent []string
	for name := range s.known {
		if before[name] == nil {
			heard = append(heard, name)
			s.headroomHeard(name)
		}
	}
	for name := range before {
		if s.known[name] == nil {
			silent = append(silent, name)
			s.headroomSilent(name)
		}
	}
	if len(heard) > 0 {
		s.cfg.Logger.Info().Strs("boxes", some(heard)).Int("count", len(heard)).Int("heard", len(s.known)).Msg("boxes_heard")
	}
	if len(silent) > 0 {
		s.cfg.Logger.Warn().Strs("boxes", some(silent)).Int("count", len(silent)).Int("heard", len(s.known)).Msg("boxes_silent")
	}
	if len(heard)+len(silent) > 0 {
		s.limits.forget()
		s.relink.Send()
	}
}

// some gives the first of some names.
func some(names []string) []string {
	slices.Sort(names)
	return names[:min(len(names), mostNames)]
}

// Peers gives what is known of each other box that is listed and heard, by itself or by
// way of a hub. A box that has not read the list goes by what it hears.
func (s *Share) Peers() []retire.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]retire.Peer, 0, len(s.known))
	for name, k := range s.known {
		if s.peers[name] != nil || !s.followed {
			peers = append(peers, retire.Peer{Box: name, SentAfter: k.at, Weights: maps.Clone(k.weights), KnownSince: maps.Clone(k.since)})
		}
	}
	return peers
}
