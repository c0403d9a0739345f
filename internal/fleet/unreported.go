// Room for the calls that other boxes may have placed since their last load reports. Where a box
// chooses by reported loads, all boxes see the same runners least busy, and may all choose one of
// them. So a box takes a slot only if there are more than may have been taken, or if the slot is in
// this box's share.

package fleet

import (
	"math"
	"time"

	"github.com/cometlock/cometlock/internal/placing"
)

// addUnreported adds to a query the number of calls that may have reached a runner unreported. In a
// small service all boxes look at the same runners, so that all of the calls may have reached one.
// In a larger one, each call is placed among another sample, which spreads them. The caller holds
// mu.
func (f *Fleet) addUnreported(query *Query, runners int, now time.Time) {
	if !f.limitsSlots(query) || query.Boxes <= 1 || query.Lag <= 0 {
		return
	}
	placed := &f.useOf(query.Service).placed
	placed.decay(now)
	perSecond := placed.calls / arrivalsWindow.Seconds() * float64(query.Boxes-1)
	if f.isSampled(query.Service) {
		perSecond /= float64(max(runners, 1))
	}
	load := &query.Load
	load.UnreportedCalls = perSecond * query.Lag.Seconds()
	load.UnreportedElsewhere = perSecond * max(query.OtherZoneLag, query.Lag).Seconds()
	if placed.calls > 0 {
		load.MeanTokens = placed.work / placed.calls
	}
}

// keepWithRoom removes the servers without room for unreported calls. The caller holds mu.
func (f *Fleet) keepWithRoom(found *selection, query *Query, now time.Time) {
	if query.Load.UnreportedCalls == 0 {
		return
	}
	admitted, candidates := found.admitted[:0], found.candidates[:0]
	for i, state := range found.admitted {
		if f.leavesRoom(query, state, &found.candidates[i], now) {
			admitted, candidates = append(admitted, state), append(candidates, found.candidates[i])
		}
	}
	found.admitted, found.candidates = admitted, candidates
}

// leavesRoom reports whether a server has room for a call and for unreported ones, or the call is in
// this box's share of the room. The caller holds mu.
func (f *Fleet) leavesRoom(query *Query, state *State, candidate *placing.Candidate, now time.Time) bool {
	if placing.LeavesRoom(query.Load, candidate) {
		return true
	}
	own := placing.Share{OwnRecent: state.recentCalls(query.reportAge(state), now)}
	own.Rank, own.Boxes = f.rankAt(state, query)
	return placing.InOwnShare(query.Load, candidate, own)
}

// maxRankedBoxes is the number of boxes up to which they are ranked for each server. Ranks of more
// boxes at hundreds of servers would take many milliseconds whenever a box comes or goes.
const maxRankedBoxes = 256

// rankAt returns the number of boxes that precede this one for a server, and the number of all
// boxes. Where ranks would take too long, or this box receives the reports of a minority of the
// boxes and would precede most of them, a hash stands for the rank. The caller holds mu.
func (f *Fleet) rankAt(state *State, query *Query) (rank, boxes int) {
	if f.cfg.LimitPosition != nil && query.Boxes <= maxRankedBoxes && !f.isSampled(query.Service) {
		if position := f.cfg.LimitPosition(state.Zone, state.Incarnation); 2*position.Present > query.Boxes {
			return position.Rank, max(position.Present, query.Boxes)
		}
	}
	return int((state.order ^ query.BoxSeed) % uint64(query.Boxes)), query.Boxes
}

// notePlaced records the placement of a call. The caller holds mu.
func (f *Fleet) notePlaced(state *State, query *Query, now time.Time) {
	if !f.limitsSlots(query) {
		return
	}
	f.useOf(query.Service).placed.add(float64(query.Load.Tokens), now)
	state.recent, state.recentAt = state.recentCalls(query.reportAge(state), now)+1, now
}

// reportAge returns the age of the load reports that concern a server.
func (q *Query) reportAge(state *State) time.Duration {
	if state.Zone == q.Zone {
		return q.Lag
	}
	return max(q.Lag, q.OtherZoneLag)
}

// recentCalls estimates how many calls this box placed at the server within the lag.
func (s *State) recentCalls(lag time.Duration, now time.Time) float64 {
	if s.recent == 0 || lag <= 0 {
		return 0
	}
	return s.recent * math.Exp(-now.Sub(s.recentAt).Seconds()/lag.Seconds())
}
