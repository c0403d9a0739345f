// A brittle server fails if it refuses more calls in a second than it states. Its room, the number of
// calls that it holds for all boxes together, is learned from refusals, and each box keeps to its
// share of the room.

package advisory

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minMaxRefusals is assumed for a server that states fewer. It is above zero, which stands for a
	// server that isn't brittle.
	minMaxRefusals = 0.5
	// roomDecrease is the part of the room that remains after a refusal at most, and minRoomDecrease
	// the part that remains at least if fewer calls were known to be at the server, or after a second
	// refusal within a second, which shows that the first decrease was too small.
	roomDecrease, minRoomDecrease = 7.0 / 8, 3.0 / 4
	// settleTime is how long after a change of the room, or the first statement, the room isn't lowered.
	// In that time other boxes learn of the change, and calls that were placed before it end. Without it,
	// 80 boxes that learned of a refusal one after the other lowered the room to half of what it was.
	settleTime = 250 * time.Millisecond
	// rampTime is how long it takes from half of the room to all of it. If all boxes filled a server at
	// the same moment, a room that is still too large would cost several refusals.
	rampTime = 250 * time.Millisecond
	// decreaseWeight and increaseWeight are the weights of one refusal in the room that is learned before
	// a server is brittle. Calls on their way that will be refused count as calls at the server, so that
	// most samples are too high.
	decreaseWeight, increaseWeight = 1.0 / 8, 1.0 / 32
	// refusalWindow is the time in which a server counts its refusals.
	refusalWindow = time.Second
	// maxReducedRefusals is the part of the refusals withstood in a second up to which a server still gets
	// calls for half of its room. Above, it gets none for settleTime first.
	maxReducedRefusals = 0.5
	// fillTime is how long it takes until a server that has just started gets calls for all its room.
	fillTime = 2 * time.Second
)

// room is the room that was learned at a time; raised means that it was raised then.
type room struct {
	calls  float64
	raised bool
	at     time.Time
}

// brittleness is what is known about the brittleness of one incarnation of a server.
type brittleness struct {
	// brittle is the newest statement, with the refusals per second, and ownBrittle the newest from
	// this box's own answers.
	brittle, ownBrittle limit
	// room is the newest known room, and ownRoom the newest that this box has learned while the
	// server was brittle. before is the room that was learned while it was not.
	room, ownRoom room
	before        float64
	// since is when this box learned that the server is brittle.
	since time.Time
	// filledAt is when the server may get calls for all its room.
	filledAt time.Time
	// blockedUntil is the time until which the server gets no calls after refusals, and ownBlocked
	// the part of it that is due to this box's calls. refusals are the times of the refusals of this
	// box's calls in the last second.
	blockedUntil, ownBlocked time.Time
	// reducedUntil is the time until which calls get half of the room, and ownReduced the part of it that
	// is due to this box's calls.
	reducedUntil, ownReduced time.Time
	refusals                 []time.Time
	// otherRefusals is the number of refusals in the last second that other boxes report.
	otherRefusals int
}

// Brittle returns how many calls a brittle server may refuse in a second, or false if it isn't
// brittle.
func (b *brittleness) Brittle() (maxRefusals float64, brittle bool) {
	return b.brittle.perSecond, b.brittle.perSecond > 0
}

// Inherit makes a server that has just started brittle like the others of its service, until it
// makes a statement itself. known is the room of one of them; zero if unknown.
func (b *brittleness) Inherit(maxRefusals, known float64, now time.Time) {
	if b.brittle.at.IsZero() {
		b.brittle = limit{perSecond: maxRefusals, at: now}
	}
	if known > 0 && b.room.calls == 0 {
		b.room = room{calls: known}
	}
	b.filledAt = now.Add(fillTime)
}

// Presume makes a server brittle from which there has been no statement yet, since another server of its
// service states that it is.
func (b *brittleness) Presume(maxRefusals float64, now time.Time) {
	if b.brittle.at.IsZero() {
		b.applyBrittle(limit{perSecond: maxRefusals, at: now})
	}
}

// BlockedFor returns how much longer the server gets no calls because it refused some.
func (b *brittleness) BlockedFor(now time.Time) time.Duration {
	return max(b.blockedUntil.Sub(now), 0)
}

// IsBlocked reports whether the server gets no calls now because it refused some.
func (b *brittleness) IsBlocked(now time.Time) bool { return now.Before(b.blockedUntil) }

// Room returns the number of calls that the server holds for all boxes; zero if it is unknown.
func (b *brittleness) Room(slots int) float64 {
	switch {
	case b.room.calls > 0:
		return b.room.calls
	case b.before > 0:
		return math.Floor(b.before)
	default:
		return float64(slots)
	}
}

// RoomShare returns how many calls this box may have at a brittle server. The shares of all boxes
// add up to no more than the room. It is half of that after refusals, and after the first statement, when
// boxes that don't know of it yet still place calls without a bound.
func (b *brittleness) RoomShare(slots int, position Position, now time.Time) int {
	calls := b.Room(slots)
	if b.IsFilling(now) {
		calls *= 1 - float64(b.filledAt.Sub(now))/float64(fillTime)
	}
	if missing := rampTime - now.Sub(b.reducedUntil); missing > 0 {
		calls *= 1 - min(float64(missing)/float64(rampTime), 1)/2
	}
	return roomShare(max(calls, 1), position)
}

// IsFilling reports whether the server has come back so recently that it gets calls only for a part of
// its room.
func (b *brittleness) IsFilling(now time.Time) bool { return now.Before(b.filledAt) }

// roomShare divides a room among boxes in whole calls.
func roomShare(calls float64, position Position) int {
	present := max(position.Present, 1)
	portion := int(calls * float64(present) / float64(max(position.Listed, present)))
	share := portion / present
	if position.Rank < portion%present {
		share++
	}
	return share
}

// LearnRefusal learns from a refusal for want of room at which inFlight calls of all boxes, this one
// included, were known to be at the server. trial means that the call exceeded the known room. A call that
// was placed before this box knew the server to be brittle was not bounded by the room, and shows nothing
// about it.
func (b *brittleness) LearnRefusal(inFlight, slots int, trial bool, placed, now time.Time) Change {
	calls := b.Room(slots)
	admitted := float64(max(inFlight-1, 1))
	if _, brittle := b.Brittle(); !brittle {
		if b.before == 0 {
			b.before = cmp.Or(calls, admitted)
		}
		weight := decreaseWeight
		if admitted > b.before {
			weight = increaseWeight
		}
		b.before += weight * (admitted - b.before)
		return Change{}
	}
	if placed.Before(b.since) {
		return Change{}
	}
	calls = cmp.Or(calls, admitted)
	switch {
	case trial:
	case now.Sub(b.room.at) < settleTime, now.Sub(b.since) < settleTime:
	default:
		b.forgetRefusals(now)
		lower := min(calls-1, math.Round(calls*roomDecrease), admitted)
		if len(b.refusals)+b.otherRefusals > 0 {
			lower = 0
		}
		b.room = room{calls: max(lower, math.Ceil(calls*minRoomDecrease), 1), at: now}
		if b.room.calls == calls {
			b.room.calls = max(calls-1, 1)
		}
	}
	if b.room.calls == 0 {
		b.room = room{calls: calls, at: now}
	}
	b.ownRoom = b.room
	b.noteRefusal(trial, now)
	b.ownBlocked, b.ownReduced = b.blockedUntil, b.reducedUntil
	return Change{Room: true}
}

// Grow raises the room by one call, after a call that exceeded the room was served.
func (b *brittleness) Grow(slots int, now time.Time) Change {
	b.room = room{b.Room(slots) + 1, true, now}
	b.ownRoom = b.room
	return Change{Room: true}
}

// noteRefusal records a refusal. After one that wasn't a trial, more calls are there than the server has
// room for, so that there are fewer until the change is known.
func (b *brittleness) noteRefusal(trial bool, now time.Time) {
	b.refusals = append(b.refusals, now)
	b.forgetRefusals(now)
	b.block(now)
	if !trial {
		interval := time.Duration(float64(refusalWindow) / max(b.brittle.perSecond, minMaxRefusals))
		b.reducedUntil = latest(b.reducedUntil, now.Add(min(settleTime, interval)))
	}
}

// SetOtherRefusals sets the number of refusals in the last second that other boxes report.
func (b *brittleness) SetOtherRefusals(refusals int, now time.Time) {
	more := refusals > b.otherRefusals
	b.otherRefusals = refusals
	if _, brittle := b.Brittle(); brittle && more {
		b.forgetRefusals(now)
		b.block(now)
	}
}

// block keeps calls from a server that has refused so many in the last second that few more would crash
// it. Once its calls have ended, it gets calls for half of the room, for a time that grows with the refusals
// to a whole second: a server that lets fewer calls wait still holds those at work.
func (b *brittleness) block(now time.Time) {
	used := min(float64(len(b.refusals)+b.otherRefusals)/max(b.brittle.perSecond, minMaxRefusals), 1)
	if used <= maxReducedRefusals {
		return
	}
	b.blockedUntil = latest(b.blockedUntil, now.Add(settleTime))
	b.reducedUntil = latest(b.reducedUntil, now.Add(time.Duration(used*used*float64(refusalWindow))))
}

// forgetRefusals drops the refusals that no longer count. It writes nothing if there are none: servers that
// have stated nothing share one record.
func (b *brittleness) forgetRefusals(now time.Time) {
	if len(b.refusals) == 0 {
		return
	}
	b.refusals = slices.DeleteFunc(b.refusals, func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
}

func (b *brittleness) applyAnswerBrittle(answer Answer) (changed bool) {
	next := limit{max(answer.MaxRefusals, minMaxRefusals), answer.Received}
	switch answer.Brittle {
	case LimitNamed:
	case LimitMalformed:
		if b.brittle.perSecond == 0 {
			return false
		}
		next.perSecond = b.brittle.perSecond
	case LimitAbsent:
		if !answer.Genuine || b.brittle.at.IsZero() {
			return false
		}
		next = limit{at: answer.Sent}
	}
	if next.at.After(b.ownBrittle.at) {
		b.ownBrittle = next
	}
	return b.applyBrittle(next)
}

func (b *brittleness) applyBrittle(next limit) (changed bool) {
	if !next.at.After(b.brittle.at) {
		return false
	}
	changed = next.perSecond != b.brittle.perSecond
	if b.brittle.perSecond == 0 {
		b.since = next.at
		b.reducedUntil = latest(b.reducedUntil, next.at.Add(settleTime))
	}
	b.brittle = next
	if next.perSecond == 0 {
		b.filledAt, b.blockedUntil, b.ownBlocked = time.Time{}, time.Time{}, time.Time{}
		b.reducedUntil, b.ownReduced = time.Time{}, time.Time{}
	}
	return changed
}

// raiseMargin is how much newer than the known room a raised one must be. A report is repeated, and
// dated a little differently each time; it must not undo a refusal just after it.
const raiseMargin = 500 * time.Millisecond

// ApplyBrittleReport applies another box's report. Only a raised room may exceed the known one: a box
// that has just started learns from a refusal without knowing what the others have learned.
func (b *brittleness) ApplyBrittleReport(report BrittleReport, now time.Time) Change {
	change := Change{}
	if report.Known && report.MaxRefusals >= 0 {
		change.Brittle = b.applyBrittle(limit{report.MaxRefusals, now.Add(-max(report.Age, 0))})
	}
	next := room{report.Room, report.Raised, now.Add(-max(report.RoomAge, 0))}
	switch known := b.room.calls; {
	case next.calls < 1 || next.calls == known:
	case known == 0, next.calls < known && next.at.After(b.room.at), next.raised && next.at.Sub(b.room.at) > raiseMargin:
		b.room, change.Room = next, true
	}
	if report.BlockedFor > 0 {
		b.blockedUntil = latest(b.blockedUntil, now.Add(min(report.BlockedFor, refusalWindow)))
	}
	if report.ReducedFor > 0 {
		b.reducedUntil = latest(b.reducedUntil, now.Add(min(report.ReducedFor, refusalWindow)))
	}
	return change
}

// BrittleReport returns the report for other boxes, or nil if there is nothing to report. The room is
// reported for as long as the server is brittle, for boxes that start.
func (b *brittleness) BrittleReport(now time.Time) *BrittleReport {
	report := BrittleReport{}
	reportedFor := limitReportedFor
	if b.ownBrittle.perSecond == 0 {
		reportedFor = endReportedFor
	}
	if !b.ownBrittle.at.IsZero() && now.Sub(b.ownBrittle.at) <= reportedFor {
		report.Known, report.MaxRefusals, report.Age = true, b.ownBrittle.perSecond, now.Sub(b.ownBrittle.at)
	}
	if _, brittle := b.Brittle(); brittle && b.ownRoom.calls > 0 {
		report.Room, report.Raised, report.RoomAge = b.ownRoom.calls, b.ownRoom.raised, now.Sub(b.ownRoom.at)
		report.BlockedFor = max(b.ownBlocked.Sub(now), 0)
		report.ReducedFor = max(b.ownReduced.Sub(now), 0)
	}
	b.forgetRefusals(now)
	report.Refusals = len(b.refusals)
	if !report.Known && report.Room == 0 && report.Refusals == 0 {
		return nil
	}
	return &report
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
