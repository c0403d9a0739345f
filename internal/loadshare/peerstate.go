// The state of each box, merged from its own reports and the rosters of hubs.
//
// Package retire depends on three facts, each of which is true of the box by whatever path its
// reports came: it sent this state after a given time (sentAfter); it did so in one of its
// incarnations; and in that incarnation it has known a version of weights since this box first
// received that version from it (knownSince). Within an incarnation the versions that a box knows
// only grow, so it knew the version for the whole time from knownSince to sentAfter. Of two reports
// of the same incarnation the later one has the newer versions. A report of another incarnation
// resets the state, even if it is an old one that was delayed: the state then claims less than is
// true, never more.

package loadshare

import (
	"maps"
	"time"

	"github.com/cometlock/cometlock/internal/retire"
)

// peerState is the state of another box.
type peerState struct {
	incarnation string
	weights     map[string]int
	// knownSince is when this box first received each version from this incarnation.
	knownSince map[string]time.Time
	// sentAfter is a time after which the box sent this state, as of the last merge.
	sentAfter time.Time
	// listings are the rosters that list this state. All are kept, since the sender of the newest one
	// may stop sending before the others.
	listings []listing
	// isFollower is whether the box reports directly to this one, as a follower.
	isFollower bool
}

// listing is a roster that lists a state, after a number of changes of the roster. While the roster
// does not change, each update of it shows that the box has sent this state since.
type listing struct {
	roster  *remoteRoster
	changes uint64
}

// merge applies an entry of the box that was sent after a given time.
func (p *peerState) merge(entry rosterEntry, sentAfter, now time.Time) {
	if p.incarnation != entry.Incarnation {
		*p = peerState{incarnation: entry.Incarnation, isFollower: p.isFollower}
	}
	if p.weights == nil {
		p.weights, p.knownSince = map[string]int{}, map[string]time.Time{}
	}
	for model, version := range entry.Weights {
		if version > p.weights[model] {
			p.weights[model], p.knownSince[model] = version, now
		}
	}
	if sentAfter.After(p.sentAfter) {
		p.sentAfter = sentAfter
	}
}

// mergeRoster applies the entry of the box in a roster.
func (p *peerState) mergeRoster(entry rosterEntry, roster *remoteRoster, now time.Time) {
	p.merge(entry, roster.sentAfter, now)
	p.listings = append(p.listings, listing{roster, roster.changes})
}

// lastSent returns a time after which the box sent this state.
func (p *peerState) lastSent() time.Time {
	latest := p.sentAfter
	for _, l := range p.listings {
		if l.roster.changes == l.changes && l.roster.sentAfter.After(latest) {
			latest = l.roster.sentAfter
		}
	}
	return latest
}

// entry returns the entry of the box in a roster.
func (p *peerState) entry(name string) rosterEntry {
	return rosterEntry{Box: name, Incarnation: p.incarnation, Weights: maps.Clone(p.weights)}
}

// stateInterval is the minimum time between two updates of all states while reports arrive.
// followerStateInterval is the same for a box that forwards nothing. The states may be older by
// that time, out of the 1.5 s for which package retire uses them. Each update visits all boxes;
// with 295 of them the updates took a quarter of the CPU time of all reporting.
const (
	stateInterval         = 80 * time.Millisecond
	followerStateInterval = 240 * time.Millisecond
)

// statesDue reports whether the states are due to be updated. The caller holds mu.
func (s *Share) statesDue(now time.Time) bool {
	interval := stateInterval
	if s.hub != "" && !s.hasFollowers() {
		interval = followerStateInterval
	}
	return now.Sub(s.statesAt) >= interval
}

// updateStates merges all reports into the states. The caller holds mu.
//
// Rosters hardly ever change, and list all boxes: without changes, only the boxes that report to
// this one are visited.
func (s *Share) updateStates(now time.Time) {
	s.statesAt = now
	defer s.logStates(now)
	if !s.rostersChanged {
		s.mergeReports(now)
		s.updateRosters(now)
		return
	}
	s.rostersChanged = false
	previous := s.states
	s.states = make(map[string]*peerState, len(previous))
	for name := range s.reports {
		s.stateOf(previous, name)
	}
	s.mergeReports(now)
	for _, last := range s.reports {
		for name, entry := range last.roster.entries {
			if name != s.cfg.Box {
				s.stateOf(previous, name).mergeRoster(entry, &last.roster, now)
			}
		}
	}
	s.updateRosters(now)
	s.handleStateChanges(previous)
}

// mergeReports merges the boxes' own reports into their states. The caller holds mu.
func (s *Share) mergeReports(now time.Time) {
	for name, last := range s.reports {
		state := s.states[name]
		state.isFollower = last.hub == s.cfg.Box
		state.merge(rosterEntry{Incarnation: last.incarnation, Weights: last.weights}, last.sentAfter, now)
	}
}

// stateOf returns the state of a box, which is kept while any report mentions the box. The caller
// holds mu.
func (s *Share) stateOf(previous map[string]*peerState, name string) *peerState {
	state := s.states[name]
	if state != nil {
		return state
	}
	if state = previous[name]; state == nil {
		state = &peerState{}
	}
	state.isFollower, state.sentAfter, state.listings = false, state.lastSent(), state.listings[:0]
	s.states[name] = state
	return state
}

// updateRosters updates the rosters that this box sends, if it has or ever had followers. The
// caller holds mu.
func (s *Share) updateRosters(now time.Time) {
	if len(s.fullRoster.entries) == 0 && !s.hasFollowers() {
		return
	}
	followers, all := map[string]rosterEntry{}, map[string]rosterEntry{}
	oldestFollower, oldest := now, now
	for name, state := range s.states {
		sent := state.lastSent()
		if now.Sub(sent) > maxRosterAge {
			continue
		}
		all[name] = state.entry(name)
		oldest = earlier(oldest, sent)
		if state.isFollower {
			followers[name] = all[name]
			oldestFollower = earlier(oldestFollower, sent)
		}
	}
	s.followerRoster.update(followers, oldestFollower, &s.generation)
	s.fullRoster.update(all, oldest, &s.generation)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// maxLoggedNames bounds the names of boxes in a log line.
const maxLoggedNames = 6

// handleStateChanges records which boxes were added to the states or have expired, and updates what
// depends on them. The caller holds mu.
func (s *Share) handleStateChanges(previous map[string]*peerState) {
	var added, expired []string
	for name := range s.states {
		if previous[name] == nil {
			added = append(added, name)
			s.addHeadroomBox(name)
		}
	}
	for name := range previous {
		if s.states[name] == nil {
			expired = append(expired, name)
			s.removeHeadroomBox(name)
		}
	}
	s.stateLog.add(added, true)
	s.stateLog.add(expired, false)
	if len(added)+len(expired) > 0 {
		s.limits.invalidate()
		s.relink.Broadcast()
	}
}

// logStates logs which boxes report or have timed out, if that is due. The caller holds mu.
func (s *Share) logStates(now time.Time) {
	heard, timedOut := s.stateLog.take(now)
	if len(heard) > 0 {
		s.cfg.Logger.Info().Strs("boxes", firstNames(heard)).Int("count", len(heard)).Int("heard", len(s.states)).Msg("boxes_heard")
	}
	if len(timedOut) > 0 {
		s.cfg.Logger.Warn().Strs("boxes", firstNames(timedOut)).Int("count", len(timedOut)).Int("heard", len(s.states)).Msg("boxes_timed_out")
	}
}

// firstNames returns the first maxLoggedNames of some names.
func firstNames(names []string) []string { return names[:min(len(names), maxLoggedNames)] }

// HeardCount returns the number of other boxes that report, directly or through a hub.
func (s *Share) HeardCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.states)
}

// Peers returns the state of each other box that is listed and reports, directly or through a hub.
// Before the list has been read, it returns all boxes that report.
func (s *Share) Peers() []retire.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]retire.Peer, 0, len(s.states))
	for name, state := range s.states {
		if s.peers[name] != nil || !s.listLoaded {
			peers = append(peers, retire.Peer{Box: name, SentAfter: state.lastSent(), Weights: maps.Clone(state.weights), KnownSince: maps.Clone(state.knownSince)})
		}
	}
	return peers
}
