// The links of a box, that is, the boxes to which it sends. In a small fleet a box sends to all
// others. Otherwise each box follows a hub of its zone and sends to that hub only. A hub sends to all
// listed boxes of its zone that are to follow it, including those that do not report to it, and to
// all other hubs. In addition a box sends to every box that requests its reports: boxes may disagree
// for a short time on which box is the hub, and the hub of its zone contacts a box that cannot read
// the list.
//
// The hub is chosen (package delegate) among the boxes of the zone that report, here or to a
// follower that reports here, so that a crashed one is not tried repeatedly. If none does, all
// listed boxes are tried, one after the other. A box that cannot be reached, or that sends no
// reports, is avoided for a while.

package loadshare

import (
	"context"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// maxDirectBoxes is the number of boxes up to which all send to each other directly. With 16
	// boxes each sends 190 messages a second, and a hub would save nothing.
	maxDirectBoxes = 16
	// boxesPerHub bounds the boxes of one hub. A hub sends 400 messages a second to 64 boxes and
	// receives up to 640 from them.
	boxesPerHub = 64
	// linkInterval is the interval at which the links are updated. settledLinkInterval is that of a
	// box whose hub responds: at 295 boxes the updates took a seventh of the CPU time of all
	// sending.
	linkInterval        = 300 * time.Millisecond
	settledLinkInterval = 1200 * time.Millisecond
	// candidatesTTL is how long the candidates are cached. They are used about ten times a second,
	// to select links, the reader of the log and the owners of servers.
	candidatesTTL = 100 * time.Millisecond
	// hubTimeout is how long a hub may send nothing: several send intervals.
	hubTimeout = 700 * time.Millisecond
	// avoidDuration is how long a box that did not respond is not chosen as a hub. It is longer
	// than hubTimeout, so that boxes do not leave a hub that responds for one that does not.
	avoidDuration = 3 * time.Second
)

// hubRole is the role of a hub, which forwards reports for the other boxes of its zone.
var hubRole = delegate.Config{Role: "hub", BoxesPerDelegate: boxesPerHub}

// usesHubs reports whether boxes send through hubs. The caller holds mu.
func (s *Share) usesHubs() bool {
	return s.listLoaded && len(s.peers)+1 > maxDirectBoxes && s.cfg.Mechanisms.Enabled(mechanism.Hubs)
}

// Hub returns the name of the hub that this box follows; empty for a hub, and without hubs.
func (s *Share) Hub() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hub
}

// LoopMaintainLinks opens and closes links to other boxes until ctx ends.
func (s *Share) LoopMaintainLinks(ctx context.Context) {
	linkedAt := time.Time{}
	for ctx.Err() == nil {
		wake := s.relink.Chan()
		if !s.hubResponds() || boottime.Since(linkedAt) >= settledLinkInterval {
			s.updateLinks(ctx)
			linkedAt = boottime.Now()
		}
		waiting.ForOrSignal(ctx, linkInterval, wake)
		if isClosed(wake) {
			linkedAt = time.Time{} // the links must be updated now
		}
	}
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// hubResponds reports whether this box follows a hub that sends reports and does not follow another
// hub itself.
func (s *Share) hubResponds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reports[s.hub]
	return s.hub != "" && last != nil && last.hub == "" && boottime.Since(last.receivedAt) <= hubTimeout
}

// updateLinks opens links to new targets and closes the others.
func (s *Share) updateLinks(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.linkTargets(boottime.Now())
	for box, link := range s.links {
		selected, ok := targets[box]
		if peer := s.peers[box]; ok && peer != nil && peer.address == link.address {
			link.selected = selected
			continue
		}
		link.stop()
		delete(s.links, box)
	}
	for box, selected := range targets {
		if peer := s.peers[box]; peer != nil && s.links[box] == nil {
			s.openLink(ctx, box, peer.address, selected)
		}
	}
}

// openLink starts sending to a box. The caller holds mu.
func (s *Share) openLink(ctx context.Context, box, address string, selected bool) {
	ctx, stop := context.WithCancel(ctx)
	link := &peerLink{address: address, selected: selected, stop: stop, urgentCount: s.urgentCount}
	s.links[box] = link
	s.loops.Go(func() { s.loopSend(ctx, box, link) })
}

// linkTargets returns the boxes to send to, each with whether this box selected it itself. The
// caller holds mu.
func (s *Share) linkTargets(now time.Time) map[string]bool {
	targets := map[string]bool{}
	for box, last := range s.reports {
		if last.wantsReports {
			targets[box] = false
		}
	}
	if !s.usesHubs() {
		s.hub = ""
		for box := range s.peers {
			targets[box] = true
		}
		return targets
	}
	s.avoidTimedOutHub(now)
	candidates := s.candidates(now)
	hub, follow := delegate.Choose(hubRole, s.self(), candidates)
	s.setHub(hub.Name, now)
	if follow {
		targets[hub.Name] = true
		return targets
	}
	for _, box := range delegate.Targets(hubRole, s.self(), candidates) {
		targets[box.Name] = true
	}
	for _, box := range delegate.OfOtherGroups(hubRole, s.cfg.Zone, append(candidates, s.self())) {
		targets[box.Name] = true
	}
	return targets
}

// setHub records the hub that this box follows. The caller holds mu.
func (s *Share) setHub(hub string, now time.Time) {
	if hub == s.hub && !s.hubSince.IsZero() {
		return
	}
	s.hub, s.hubSince = hub, now
	s.cfg.Logger.Info().Str("hub", hub).Int("listed", len(s.peers)+1).Int("heard", len(s.states)).Msg("hub_chosen")
}

// avoidTimedOutHub avoids the hub if it has sent nothing for hubTimeout. The caller holds mu.
func (s *Share) avoidTimedOutHub(now time.Time) {
	if s.hub == "" || now.Sub(s.hubSince) < hubTimeout {
		return
	}
	if last := s.reports[s.hub]; last == nil || now.Sub(last.receivedAt) > hubTimeout {
		s.cfg.Logger.Warn().Str("hub", s.hub).Msg("hub_timed_out")
		s.avoided[s.hub] = now.Add(avoidDuration)
		s.candidatesAt = time.Time{}
	}
}

// avoid marks a box that could not be reached as unavailable for avoidDuration.
func (s *Share) avoid(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[box] = boottime.Now().Add(avoidDuration)
	s.candidatesAt = time.Time{}
	if box == s.hub {
		s.cfg.Logger.Warn().Str("hub", box).Msg("hub_unreachable")
		s.relink.Broadcast()
	}
}

// candidates describes the other listed boxes for package delegate. A box is unavailable if it
// could not be reached. In a zone where at least one box reports, those that do not are unavailable
// too. A box counts as reporting if this box has its state, or a report of a box that follows it.
// The caller holds mu.
//
// If a hub counted as unavailable when only its followers received its reports, two hubs that could
// not reach each other when they started would each choose a follower of the other instead, for
// good. When that happened, all boxes but one of a zone knew of a fifth of the calls in flight and
// received reports of less than half of the boxes, so that no kept parts of older weights were
// freed.
func (s *Share) candidates(now time.Time) []delegate.Box {
	if now.Sub(s.candidatesAt) >= candidatesTTL {
		s.candidateBoxes, s.candidatesAt = slices.Clip(s.computeCandidates(now)), now
	}
	return s.candidateBoxes
}

func (s *Share) computeCandidates(now time.Time) []delegate.Box {
	hubs := s.reportedHubs()
	activeZones := map[string]bool{}
	for name, peer := range s.peers {
		if (s.states[name] != nil || hubs[name]) && !now.Before(s.avoided[name]) {
			activeZones[peer.zone] = true
		}
	}
	boxes := make([]delegate.Box, 0, len(s.peers))
	for name, peer := range s.peers {
		unavailable := now.Before(s.avoided[name]) || activeZones[peer.zone] && s.states[name] == nil && !hubs[name]
		boxes = append(boxes, delegate.Box{Name: name, Zone: peer.zone, Cores: peer.cores, Unavailable: unavailable})
	}
	return boxes
}

// reportedHubs returns the hubs that reporting boxes follow. The caller holds mu.
func (s *Share) reportedHubs() map[string]bool {
	hubs := map[string]bool{}
	for _, last := range s.reports {
		if last.hub != "" {
			hubs[last.hub] = true
		}
	}
	return hubs
}
