// Work that is passed on. A hub tells each box that follows it the sum of what all others
// have to do, and everybody else the sum of what it and its followers have. So between
// boxes and hubs the work of each box goes to every other one by one way.

package loadshare

import (
	"maps"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// sumsFor is how long the sums of work are told that were once made: a hub tells 50 boxes
// within each hubEvery.
const sumsFor = 30 * time.Millisecond

// takeLoads takes over the work that a message tells.
func (w *word) takeLoads(m message) {
	before := w.loads
	w.loads = make(map[string]fleet.Load, len(m.Loads)+len(m.Far))
	if m.FarKept {
		maps.Copy(w.loads, before)
	}
	for _, load := range m.Far {
		w.loads[load.Incarnation] = load
	}
	for _, load := range m.Loads {
		w.loads[load.Incarnation] = load
	}
}

// allWork sums up the work of this box and of all that tell it. The caller holds mu.
func (s *Share) allWork(own []fleet.Load, now time.Time) map[string]fleet.Load {
	if now.Sub(s.sumsAt) < sumsFor {
		return s.sums
	}
	s.sums, s.sumsAt = byServer(own), now
	for _, last := range s.heard {
		last.addTo(s.sums, now)
	}
	return s.sums
}

// followersWork sums up the work of this box and of its followers but one. The caller holds
// mu.
func (s *Share) followersWork(own []fleet.Load, but string, now time.Time) map[string]fleet.Load {
	sums := byServer(own)
	for box, last := range s.heard {
		if box != but && last.hub == s.cfg.Box {
			last.addTo(sums, now)
		}
	}
	return sums
}

func byServer(loads []fleet.Load) map[string]fleet.Load {
	sums := make(map[string]fleet.Load, len(loads))
	for _, load := range loads {
		sums[load.Incarnation] = load
	}
	return sums
}

// addTo adds what a box told. A pause that it told of has gone on since.
func (w *word) addTo(sums map[string]fleet.Load, now time.Time) {
	for server, load := range w.loads {
		sum := sums[server]
		sum.Incarnation = server
		sum.InFlight += load.InFlight
		sum.PendingTokens += load.PendingTokens
		sum.HeldTokens += load.HeldTokens
		sum.PausedFor = max(sum.PausedFor, load.PausedFor-now.Sub(w.receivedAt))
		sum.Advisory = advisory.Join(sum.Advisory, load.Advisory.After(now.Sub(w.receivedAt)))
		sums[server] = sum
	}
}

// without lists work without that of one box; what it knows of a server's weights is told
// by all.
func (w *word) without(sums map[string]fleet.Load) []fleet.Load {
	loads := make([]fleet.Load, 0, len(sums))
	for server, sum := range sums {
		if w != nil {
			own := w.loads[server]
			// The box may have told more since the sums were made.
			sum.InFlight = max(sum.InFlight-own.InFlight, 0)
			sum.PendingTokens = max(sum.PendingTokens-own.PendingTokens, 0)
			sum.HeldTokens = max(sum.HeldTokens-own.HeldTokens, 0)
		}
		if sum.InFlight > 0 || sum.PendingTokens > 0 || sum.HeldTokens > 0 || sum.PausedFor > 0 || len(sum.Weights) > 0 || sum.Advisory != nil {
			loads = append(loads, sum)
		}
	}
	return loads
}

// work writes down the work that another box is told, and whether it is that of all, for a
// follower. The caller holds mu.
func (s *Share) work(box string, own []fleet.Load, now time.Time) (loads []fleet.Load, all bool) {
	last := s.heard[box]
	switch {
	case last != nil && last.hub == s.cfg.Box:
		return last.without(s.allWork(own, now)), true
	case s.isFollowed():
		return (*word)(nil).without(s.followersWork(own, box, now)), false
	default:
		return own, false
	}
}

// isFollowed reports whether any box follows this one. The caller holds mu.
func (s *Share) isFollowed() bool {
	for _, last := range s.heard {
		if last.hub == s.cfg.Box {
			return true
		}
	}
	return false
}

// splitFar takes the work at servers of other zones out of what a follower is told. It is
// called without mu, since the fleet asks for headroom while it holds its own.
func (s *Share) splitFar(loads []fleet.Load) (near, far []fleet.Load) {
	zones := s.cfg.Fleet.ServerZones()
	for _, load := range loads {
		if zones[load.Incarnation] == s.cfg.Zone {
			near = append(near, load)
		} else {
			far = append(far, load)
		}
	}
	return near, far
}
