// Brittle servers: calls are bounded by this box's share of the learned room (package advisory). One
// box for each service tries whether a server has more room than is known.

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// brittleMemory is how long a service counts as brittle after the last statement of one of its
	// servers, for servers that start.
	brittleMemory = time.Minute
	// A try of more room may cost a refusal. Tries are refusalsPerTry/N seconds apart at least, where
	// the server withstands N refusals a second, so that they use up an eighth of these at most.
	refusalsPerTry = 8
	minTryInterval = time.Second
	// tryTimeout bounds a try that gets no call.
	tryTimeout = time.Second
)

// brittleService is what is known of a service that recently had a brittle server.
type brittleService struct {
	maxRefusals float64
	// room is the last known room of one of its servers; zero if unknown.
	room float64
	at   time.Time
	// tried is the server that gets one call more than its known room until triedUntil, and nextTry
	// when the next one may be tried.
	tried               string
	triedUntil, nextTry time.Time
}

func isBrittle(state *State) bool {
	_, brittle := state.statements.Brittle()
	return brittle
}

// noteBrittle records for its service what is known of a server. The caller holds mu.
func (f *Fleet) noteBrittle(state *State, now time.Time) {
	maxRefusals, brittle := state.statements.Brittle()
	if !brittle {
		return
	}
	service := f.brittle[state.Service]
	if service == nil {
		service = &brittleService{nextTry: now.Add(tryInterval(maxRefusals))}
		f.brittle[state.Service] = service
	}
	service.maxRefusals, service.at = maxRefusals, now
	service.room = state.statements.Room(state.Slots)
}

func tryInterval(maxRefusals float64) time.Duration {
	return max(time.Duration(refusalsPerTry/maxRefusals*float64(time.Second)), minTryInterval)
}

// inheritBrittle makes a server that has just started or returned brittle if its service is. The
// caller holds mu.
func (f *Fleet) inheritBrittle(state *State, now time.Time) {
	if service := f.brittle[state.Service]; service != nil && now.Sub(service.at) <= brittleMemory {
		state.statements.Inherit(service.maxRefusals, service.room, now)
	}
}

// applyBrittleReport processes another box's report of a server's brittleness. The caller holds mu.
func (f *Fleet) applyBrittleReport(state *State, report *advisory.BrittleReport, now time.Time) {
	if report == nil {
		return
	}
	change := state.statements.ApplyBrittleReport(*report, now)
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
	return state.statements.RoomShare(state.Slots, position, now)
}

// lacksRoom reports whether a brittle server has no room for a call of this box. The caller holds mu.
func (f *Fleet) lacksRoom(state *State, now time.Time) bool {
	if !isBrittle(state) {
		return false
	}
	if state.statements.BlockedFor(now) > 0 {
		return true
	}
	share := f.roomShare(state, now)
	if f.isTried(state, now) {
		share++
	}
	return state.inFlight >= share
}

// isTried reports whether this box tries a server above its known room. The caller holds mu.
func (f *Fleet) isTried(state *State, now time.Time) bool {
	service := f.brittle[state.Service]
	return service != nil && service.tried == state.Incarnation && now.Before(service.triedUntil)
}

// learnRoom learns from the result of a call, which is still counted. The caller holds mu.
func (f *Fleet) learnRoom(state *State, outcome Outcome, now time.Time) {
	if outcome != OutcomeFull && outcome != OutcomeServed {
		return
	}
	inFlight := state.inFlight + f.remoteWork(state.Incarnation).inFlight
	maxRefusals, brittle := state.statements.Brittle()
	service := f.brittle[state.Service]
	tried := brittle && f.isTried(state, now)
	change := advisory.Change{}
	switch {
	case outcome == OutcomeFull:
		change = state.statements.LearnRefusal(inFlight, state.Slots, tried, now)
		if tried {
			service.tried, service.nextTry = "", now.Add(2*tryInterval(maxRefusals))
		}
	case !brittle || service == nil || state.inFlight < f.roomShare(state, now) || float64(inFlight) < state.statements.Room(state.Slots):
	case tried && state.inFlight > f.roomShare(state, now):
		change = state.statements.Grow(state.Slots, now)
		service.tried, service.nextTry = "", now.Add(tryInterval(maxRefusals))
	case now.After(service.triedUntil) && now.After(service.nextTry) && f.mayTry(state.Service):
		service.tried, service.triedUntil, service.nextTry = state.Incarnation, now.Add(tryTimeout), now.Add(tryInterval(maxRefusals))
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
				room += state.statements.Room(state.Slots)
				share += f.roomShare(state, now)
			}
		}
	}
	return brittle, room, share
}

// logBrittle logs a change of a server's brittleness or of its room. The caller holds mu.
func (f *Fleet) logBrittle(state *State, source string, now time.Time) {
	maxRefusals, brittle := state.statements.Brittle()
	event := "server_brittle_ended"
	if brittle {
		event = "server_brittle"
	}
	f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
		Float64("max_refusals", maxRefusals).Float64("room", state.statements.Room(state.Slots)).Int("share", f.roomShare(state, now)).
		Dur("blocked", state.statements.BlockedFor(now)).Str("source", source).Int("in_flight", state.inFlight).Msg(event)
}
