// Brittle servers: calls are bounded by this box's share of the learned room (package advisory). One
// box for each service tries whether a server has more room than is known.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
)

const (
	// brittleMemory is how long a service counts as brittle after the last statement of one of its
	// servers, for servers that start.
	brittleMemory = time.Minute
	// A try of more room may cost a refusal. Tries of a server are refusalsPerTry/N seconds apart at
	// least, where it withstands N refusals a second, so that they use up an eighth of these at most.
	refusalsPerTry = 8
	minTryInterval = time.Second
	// minUsedRoom is the part of the room that must be known to be used when a try is served. The counts
	// of other boxes are as old as their reports, and their calls may be as short.
	minUsedRoom = 1.0
	// tryTimeout bounds a try that gets no call.
	tryTimeout = time.Second
)

// brittleService is what is known of a service that recently had a brittle server.
type brittleService struct {
	maxRefusals float64
	// room is the last known room of one of its servers; zero if unknown.
	room float64
	at   time.Time
	// tried is the server that gets one call more than its known room until triedUntil.
	tried      string
	triedUntil time.Time
}

func isBrittle(state *State) bool {
	_, brittle := state.stated().Brittle()
	return brittle
}

// IsBrittle reports whether a service has a listed server that is brittle.
func (f *Fleet) IsBrittle(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.brittle[service] == nil {
		return false
	}
	for state := range f.groups[service].all() {
		if isBrittle(state) && state.delistedAt.IsZero() {
			return true
		}
	}
	return false
}

// noteBrittle records for its service what is known of a server. The caller holds mu.
func (f *Fleet) noteBrittle(state *State, now time.Time) {
	maxRefusals, brittle := state.stated().Brittle()
	if !brittle {
		return
	}
	service := f.brittle[state.Service]
	if service == nil {
		service = &brittleService{}
		f.brittle[state.Service] = service
	}
	if service.at.IsZero() || now.Sub(service.at) > brittleMemory {
		for other := range f.groups[state.Service].all() {
			other.ownStatements().Presume(maxRefusals, now)
		}
	}
	service.maxRefusals, service.at = maxRefusals, now
	service.room = state.stated().Room(state.Slots)
}

func tryInterval(maxRefusals float64) time.Duration {
	return max(time.Duration(refusalsPerTry/maxRefusals*float64(time.Second)), minTryInterval)
}

// inheritBrittle makes a server that has just started or returned brittle if its service is. The
// caller holds mu.
func (f *Fleet) inheritBrittle(state *State, now time.Time) {
	service := f.brittle[state.Service]
	if service != nil && f.cfg.Mechanisms.Enabled(mechanism.SlowReturn) && now.Sub(service.at) <= brittleMemory {
		state.ownStatements().Inherit(service.maxRefusals, service.room, now)
	}
}

// applyBrittleReport processes another box's report of a server's brittleness. The caller holds mu.
func (f *Fleet) applyBrittleReport(state *State, report *advisory.BrittleReport, now time.Time) {
	if report == nil {
		return
	}
	change := state.ownStatements().ApplyBrittleReport(*report, now)
	state.ownStatements().SetOtherRefusals(state.others.refusals, now)
	f.logAdvisory(state, change, sourceReport, now)
	f.noteBrittle(state, now)
}

// roomShare returns how many calls this box may have at a brittle server. A box that doesn't know
// how many boxes there are has no share. The caller holds mu.
func (f *Fleet) roomShare(state *State, now time.Time) int {
	position := advisory.Position{}
	if f.cfg.LimitPosition != nil {
		position = f.cfg.LimitPosition(state.Zone, state.Incarnation)
		if position.Listed == 0 && position.Present <= 1 {
			return 0
		}
	}
	return state.stated().RoomShare(state.Slots, position, now)
}

// lacksRoom reports whether a brittle server has no room for a call of this box. The caller holds mu.
func (f *Fleet) lacksRoom(state *State, now time.Time) bool {
	if !isBrittle(state) {
		return false
	}
	if state.stated().IsBlocked(now) {
		return true
	}
	switch left := f.roomShare(state, now) - state.inFlight; {
	case left > 0:
		return false
	case left < 0:
		return true
	default:
		return !f.isTried(state, now) // a try gets one call more
	}
}

// isTried reports whether this box tries a server above its known room. The caller holds mu.
func (f *Fleet) isTried(state *State, now time.Time) bool {
	service := f.brittle[state.Service]
	return service != nil && service.tried == state.Incarnation && now.Before(service.triedUntil)
}

// learnRoom learns from the result of a call, which is still counted. The caller holds mu.
func (f *Fleet) learnRoom(state *State, outcome Outcome, placed, now time.Time) {
	if outcome != OutcomeFull && outcome != OutcomeServed {
		return
	}
	inFlight := state.inFlight + state.others.inFlight
	maxRefusals, brittle := state.stated().Brittle()
	service := f.brittle[state.Service]
	tried := brittle && f.isTried(state, now)
	change := advisory.Change{}
	switch {
	case outcome == OutcomeFull:
		change = state.ownStatements().LearnRefusal(inFlight, state.Slots, tried, placed, now)
		if brittle {
			state.nextTry = now.Add(2 * tryInterval(maxRefusals))
		}
		if tried {
			service.tried = ""
		}
	case tried && state.inFlight > f.roomShare(state, now):
		service.tried = ""
		if float64(inFlight) >= minUsedRoom*state.stated().Room(state.Slots) {
			change = state.ownStatements().Grow(state.Slots, now)
		}
	}
	if !change.Room {
		return
	}
	f.logBrittle(state, sourceAnswer, now)
	f.noteBrittle(state, now)
	f.reporting[state] = struct{}{}
	if f.cfg.OnRoomChange != nil {
		f.cfg.OnRoomChange()
	}
}

// startTry starts to try a server above its known room when this box found none for a call, unless
// another try is in progress. The caller holds mu.
func (f *Fleet) startTry(query *Query, now time.Time) {
	service := f.brittle[query.Service]
	if service == nil || query.UncappedOnly || service.tried != "" && now.Before(service.triedUntil) || !f.mayTry(query.Service) {
		return
	}
	for _, state := range f.sample(query, 0) {
		if !isBrittle(state) || now.Before(state.nextTry) || !f.isPresent(state, now) || state.stated().IsBlocked(now) || state.stated().IsFilling(now) {
			continue
		}
		if state.nextTry.IsZero() {
			state.nextTry = now.Add(tryInterval(service.maxRefusals)) // it has been brittle only since now
			continue
		}
		service.tried, service.triedUntil = state.Incarnation, now.Add(tryTimeout)
		state.nextTry = now.Add(tryInterval(service.maxRefusals))
		return
	}
}

// mayTry reports whether this box is the one that tries servers of a service. The caller holds mu.
func (f *Fleet) mayTry(service string) bool {
	if f.cfg.LimitPosition == nil {
		return true
	}
	position := f.cfg.LimitPosition("", "service/"+service)
	return position.Rank == 0 && 2*position.Present > position.Listed
}

// CountBrittle counts the listed brittle servers, their known room, and this box's share of it.
func (f *Fleet) CountBrittle() (brittle int, room float64, share int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for service := range f.brittle {
		for state := range f.groups[service].all() {
			if isBrittle(state) && state.delistedAt.IsZero() {
				brittle++
				room += state.stated().Room(state.Slots)
				share += f.roomShare(state, now)
			}
		}
	}
	return brittle, room, share
}

// logBrittle logs a change of a server's brittleness or of its room. The caller holds mu.
func (f *Fleet) logBrittle(state *State, source string, now time.Time) {
	maxRefusals, brittle := state.stated().Brittle()
	event := "server_brittle_ended"
	if brittle {
		event = "server_brittle"
	}
	f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
		Float64("max_refusals", maxRefusals).Float64("room", state.stated().Room(state.Slots)).Int("share", f.roomShare(state, now)).
		Dur("blocked", state.stated().BlockedFor(now)).Str("source", source).Int("in_flight", state.inFlight).Msg(event)
}
