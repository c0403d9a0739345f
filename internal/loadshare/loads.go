// Forwarding of loads. A hub sends each of its followers the total load of all other boxes, and
// sends all other boxes the total of itself and its followers. So the load of each box reaches
// every other box by exactly one path.

package loadshare

import (
	"maps"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// totalsTTL is how long the totals are reused: a hub sends to 50 boxes within each hubInterval.
const totalsTTL = 30 * time.Millisecond

// setLoads stores the load in a message.
func (r *report) setLoads(m message) {
	before := r.loads
	r.loads = make(map[string]fleet.Load, len(m.Loads)+len(m.OtherZoneLoads))
	if m.OtherZoneUnchanged {
		maps.Copy(r.loads, before)
	}
	for _, load := range m.OtherZoneLoads {
		r.loads[load.Incarnation] = load
	}
	for _, load := range m.Loads {
		r.loads[load.Incarnation] = load
	}
}

// totalLoads returns the total load of this box and of all boxes that report to it. The caller
// holds mu.
func (s *Share) totalLoads(own []fleet.Load, now time.Time) map[string]fleet.Load {
	if now.Sub(s.totalsAt) < totalsTTL {
		return s.totals
	}
	s.totals, s.totalsAt = byServer(own), now
	for box, last := range s.reports {
		if box == s.hub || s.isDirectSource(last.hub) {
			last.addTo(s.totals, now)
		}
	}
	return s.totals
}

// followerLoads returns the total load of this box and of its followers except one. The caller
// holds mu.
func (s *Share) followerLoads(own []fleet.Load, except string, now time.Time) map[string]fleet.Load {
	totals := byServer(own)
	for box, last := range s.reports {
		if box != except && last.hub == s.cfg.Box {
			last.addTo(totals, now)
		}
	}
	return totals
}

func byServer(loads []fleet.Load) map[string]fleet.Load {
	byIncarnation := make(map[string]fleet.Load, len(loads))
	for _, load := range loads {
		byIncarnation[load.Incarnation] = load
	}
	return byIncarnation
}

// addTo adds the reported load to the totals. The remaining pause of a server is reduced by the age
// of the report.
func (r *report) addTo(totals map[string]fleet.Load, now time.Time) {
	for server, load := range r.loads {
		total := totals[server]
		total.Incarnation = server
		total.InFlight += load.InFlight
		total.PendingTokens += load.PendingTokens
		total.HeldTokens += load.HeldTokens
		total.PausedFor = max(total.PausedFor, load.PausedFor-now.Sub(r.receivedAt))
		total.Advisory = advisory.Merge(total.Advisory, load.Advisory.Aged(now.Sub(r.receivedAt)))
		total.Brittle = advisory.MergeBrittle(total.Brittle, load.Brittle.Aged(now.Sub(r.receivedAt)))
		totals[server] = total
	}
}

// excludeFrom returns the totals without the load of this report. The weights of a server are
// included for every receiver.
func (r *report) excludeFrom(totals map[string]fleet.Load) []fleet.Load {
	loads := make([]fleet.Load, 0, len(totals))
	for server, total := range totals {
		if r != nil {
			own := r.loads[server]
			// The box may have reported more load since the totals were computed.
			total.InFlight = max(total.InFlight-own.InFlight, 0)
			total.PendingTokens = max(total.PendingTokens-own.PendingTokens, 0)
			total.HeldTokens = max(total.HeldTokens-own.HeldTokens, 0)
		}
		if total.InFlight > 0 || total.PendingTokens > 0 || total.HeldTokens > 0 || total.PausedFor > 0 || len(total.Weights) > 0 || total.Advisory != nil || total.Brittle != nil {
			loads = append(loads, total)
		}
	}
	return loads
}

// loadsFor returns the load to send to another box, and whether it is that of all boxes, which
// followers receive. The caller holds mu.
func (s *Share) loadsFor(box string, own []fleet.Load, now time.Time) (loads []fleet.Load, full bool) {
	last := s.reports[box]
	switch {
	case last != nil && last.hub == s.cfg.Box:
		return last.excludeFrom(s.totalLoads(own, now)), true
	case s.hasFollowers():
		return (*report)(nil).excludeFrom(s.followerLoads(own, box, now)), false
	default:
		return own, false
	}
}

// hasFollowers reports whether any box follows this one. The caller holds mu.
func (s *Share) hasFollowers() bool {
	for _, last := range s.reports {
		if last.hub == s.cfg.Box {
			return true
		}
	}
	return false
}
