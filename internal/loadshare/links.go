// Whom a box tells. Where there are few boxes, all others. Otherwise each follows the hub of
// its zone and tells that one; a hub tells all boxes of its zone that are listed, also those
// that it does not hear, and the hubs of the other zones. Who wants to be told is told
// besides: for some moments boxes disagree on who is the hub, and a box that cannot read the
// list is found by the hub of its zone.
//
// The hub is chosen (package delegate) among the boxes of a zone that anybody hears, so that
// one which is gone is not tried again and again; where nobody is heard, among all that are
// listed, one after the other. One that cannot be reached is left alone for a while, and so
// is one that says nothing.

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
	// fewBoxes is the number of boxes up to which they tell each other directly: with 16
	// that is 190 messages a second for each of them, and a hub saves nothing.
	fewBoxes = 16
	// boxesPerHub bounds the boxes of one hub: 64 of them are told 400 times a second
	// together, and tell it up to 640 times.
	boxesPerHub = 64
	// linkEvery is the time between two looks at whom to tell, and settledEvery that of a box
	// whose hub says that it is one: looks at 295 boxes were a seventh of what telling takes.
	linkEvery    = 300 * time.Millisecond
	settledEvery = 1200 * time.Millisecond
	// othersFor is how long the other boxes are remembered as they were described. It is asked for
	// some ten times a second, by who tells whom, who reads for whom and who owns what.
	othersFor = 100 * time.Millisecond
	// hubPatience is how long a hub may say nothing: some messages' time.
	hubPatience = 700 * time.Millisecond
	// avoidFor is how long a box is not taken for a hub that did not answer. Longer than
	// hubPatience, so that boxes do not leave a hub that answers for one that does not.
	avoidFor = 3 * time.Second
)

// hubRole is what a hub does for the other boxes of its zone.
var hubRole = delegate.Config{Role: "hub", BoxesPerDelegate: boxesPerHub}

// hubs reports whether boxes tell each other by way of hubs. The caller holds mu.
func (s *Share) hubs() bool {
	return s.followed && len(s.peers)+1 > fewBoxes && s.cfg.Off.On(mechanism.Hubs)
}

// Hub names the hub that this box follows; empty for a hub, and where there are none.
func (s *Share) Hub() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hub
}

// LoopMaintainLinks tells those that are to be told until ctx ends.
func (s *Share) LoopMaintainLinks(ctx context.Context) {
	linkedAt := time.Time{}
	for ctx.Err() == nil {
		wake := s.relink.Chan()
		if !s.isSettled() || boottime.Since(linkedAt) >= settledEvery {
			s.link(ctx)
			linkedAt = boottime.Now()
		}
		waiting.ForOrSignal(ctx, linkEvery, wake)
		if isClosed(wake) {
			linkedAt = time.Time{} // whoever woke this loop is to be told now
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

// isSettled reports whether this box follows a hub that says something.
func (s *Share) isSettled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.heard[s.hub]
	return s.hub != "" && last != nil && last.hub == "" && boottime.Since(last.receivedAt) <= hubPatience
}

// link begins to tell those that are to be told from now on, and stops telling the others.
func (s *Share) link(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wanted := s.wanted(boottime.Now())
	for box, told := range s.telling {
		chosen, ok := wanted[box]
		if known := s.peers[box]; ok && known != nil && known.address == told.address {
			told.chosen = chosen
			continue
		}
		told.stop()
		delete(s.telling, box)
	}
	for box, chosen := range wanted {
		if known := s.peers[box]; known != nil && s.telling[box] == nil {
			s.begin(ctx, box, known.address, chosen)
		}
	}
}

// begin starts telling a box. The caller holds mu.
func (s *Share) begin(ctx context.Context, box, address string, chosen bool) {
	ctx, stop := context.WithCancel(ctx)
	told := &telling{address: address, chosen: chosen, stop: stop, urgency: s.urgency}
	s.telling[box] = told
	s.loops.Go(func() { s.loopTellPeer(ctx, box, told) })
}

// wanted lists whom to tell, and whether by this box's choice. The caller holds mu.
func (s *Share) wanted(now time.Time) map[string]bool {
	wanted := map[string]bool{}
	for box, last := range s.heard {
		if last.chosen {
			wanted[box] = false
		}
	}
	if !s.hubs() {
		s.hub = ""
		for box := range s.peers {
			wanted[box] = true
		}
		return wanted
	}
	s.leaveSilentHub(now)
	others := s.others(now)
	hub, follow := delegate.Choose(hubRole, s.self(), others)
	s.follow(hub.Name, now)
	if follow {
		wanted[hub.Name] = true
		return wanted
	}
	for _, box := range delegate.Group(s.cfg.Zone, others) {
		wanted[box.Name] = true
	}
	for _, box := range delegate.OfOtherGroups(hubRole, s.cfg.Zone, append(others, s.self())) {
		wanted[box.Name] = true
	}
	return wanted
}

// follow notes whom this box follows. The caller holds mu.
func (s *Share) follow(hub string, now time.Time) {
	if hub == s.hub && !s.hubSince.IsZero() {
		return
	}
	s.hub, s.hubSince = hub, now
	s.cfg.Logger.Info().Str("hub", hub).Int("listed", len(s.peers)+1).Int("heard", len(s.known)).Msg("hub_chosen")
}

// leaveSilentHub avoids a hub that has said nothing for too long. The caller holds mu.
func (s *Share) leaveSilentHub(now time.Time) {
	if s.hub == "" || now.Sub(s.hubSince) < hubPatience {
		return
	}
	if last := s.heard[s.hub]; last == nil || now.Sub(last.receivedAt) > hubPatience {
		s.cfg.Logger.Warn().Str("hub", s.hub).Msg("hub_silent")
		s.avoided[s.hub] = now.Add(avoidFor)
		s.othersAt = time.Time{}
	}
}

// avoid leaves a box alone for a while that could not be reached.
func (s *Share) avoid(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoided[box] = boottime.Now().Add(avoidFor)
	s.othersAt = time.Time{}
	if box == s.hub {
		s.cfg.Logger.Warn().Str("hub", box).Msg("hub_unreachable")
		s.relink.Broadcast()
	}
}

// others describes the other boxes that are listed. Those are away that could not be
// reached, and those that are not heard in zones of which any box is, by this box or by one
// that it hears and that follows them. The caller holds mu.
//
// Where a hub counted as away that only its followers heard, hubs which had not reached each
// other when they started chose a follower of each other in its place, for good: all boxes but
// one of a zone knew a fifth of the work under way, and heard less than half of the boxes, so
// that nothing of older weights was freed.
func (s *Share) others(now time.Time) []delegate.Box {
	if now.Sub(s.othersAt) >= othersFor {
		s.othersNow, s.othersAt = slices.Clip(s.describeOthers(now)), now
	}
	return s.othersNow
}

func (s *Share) describeOthers(now time.Time) []delegate.Box {
	followed := s.followedByHeard()
	heardIn := map[string]bool{}
	for name, known := range s.peers {
		if (s.known[name] != nil || followed[name]) && !now.Before(s.avoided[name]) {
			heardIn[known.zone] = true
		}
	}
	boxes := make([]delegate.Box, 0, len(s.peers))
	for name, known := range s.peers {
		away := now.Before(s.avoided[name]) || heardIn[known.zone] && s.known[name] == nil && !followed[name]
		boxes = append(boxes, delegate.Box{Name: name, Zone: known.zone, Cores: known.cores, Unavailable: away})
	}
	return boxes
}

// followedByHeard names the boxes that heard ones follow. The caller holds mu.
func (s *Share) followedByHeard() map[string]bool {
	followed := map[string]bool{}
	for _, last := range s.heard {
		if last.hub != "" {
			followed[last.hub] = true
		}
	}
	return followed
}
