// Statements of servers about themselves in their answers (package advisory).

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// Sources of a statement, as logged.
const (
	sourceAnswer = "answer"
	sourceReport = "report"
)

// ApplyAdvisory processes an answer's statements about the incarnation that sent it.
func (f *Fleet) ApplyAdvisory(incarnation string, answer advisory.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	if state == nil {
		return
	}
	change := state.ownStatements().ApplyAnswer(answer)
	f.noteBrittle(state, boottime.Now())
	if change != (advisory.Change{}) {
		f.logAdvisory(state, change, sourceAnswer, boottime.Now())
		f.reporting[state] = struct{}{}
		f.loadsChanged.Broadcast() // report it to other boxes soon
		if change.Brittle && f.cfg.OnRoomChange != nil {
			f.cfg.OnRoomChange()
		}
	}
}

// applyReport processes another box's report of a server's statements. The caller holds mu.
func (f *Fleet) applyReport(state *State, report *advisory.Report, now time.Time) {
	if report != nil {
		f.logAdvisory(state, state.ownStatements().ApplyReport(*report, now), sourceReport, now)
		f.reporting[state] = struct{}{}
	}
}

// logAdvisory logs the changes made by a statement. The caller holds mu.
func (f *Fleet) logAdvisory(state *State, change advisory.Change, source string, now time.Time) {
	if change.Limit {
		f.logLimit(state, source, now)
	}
	if change.Brittle || change.Room {
		f.logBrittle(state, source, now)
	}
	if change.Draining {
		f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
			Bool("entry_draining", state.Leaving).Str("source", source).Int("in_flight", state.inFlight).Msg("server_draining")
	}
	if change.Paused {
		f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
			Dur("pause", state.stated().PausedFor(now)).Int("in_flight", state.inFlight).Msg("server_paused")
	}
}

// limitPosition returns this box's position among the boxes that share a server's rate limit. The
// caller holds mu.
func (f *Fleet) limitPosition(state *State) advisory.Position {
	if !state.stated().IsLimited() || f.cfg.LimitPosition == nil {
		return advisory.Position{}
	}
	return f.cfg.LimitPosition(state.Zone, state.Incarnation)
}

// lacksRate reports whether a server's rate limit allows no call of this box now. The caller holds mu.
func (f *Fleet) lacksRate(state *State, now time.Time) bool {
	return state.stated().IsLimited() && !state.stated().HasRoom(now, f.limitPosition(state))
}

// isCapped reports whether this box counts its calls at a server, so that only calls that it places
// for itself may go there. The caller holds mu.
func (f *Fleet) isCapped(state *State, now time.Time) bool {
	return state.stated().IsLimited() || isBrittle(state) || f.isBounded(state, now)
}

// CountLimited counts the listed servers with a rate limit, and those of them whose limit this box
// has a share of.
func (f *Fleet) CountLimited() (limited, shared int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for _, state := range f.servers {
		share, named := state.stated().Share(now, f.limitPosition(state))
		if !named || !state.delistedAt.IsZero() {
			continue
		}
		limited++
		if share > 0 {
			shared++
		}
	}
	return limited, shared
}

// logLimit logs a change of a server's rate limit. The caller holds mu.
func (f *Fleet) logLimit(state *State, source string, now time.Time) {
	perSecond, age, limited := state.stated().Limit(now)
	event := "server_limit_ended"
	if limited {
		event = "server_limit_named"
	}
	f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
		Float64("per_second", perSecond).Dur("age", age).Str("source", source).Int("in_flight", state.inFlight).Msg(event)
}

// AdvisoryReports returns the statements of servers in answers to this box, by incarnation. It is
// used where boxes don't share their loads.
func (f *Fleet) AdvisoryReports() map[string]*advisory.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	reports := map[string]*advisory.Report{}
	for state := range f.reporting {
		if report := state.stated().Report(now); report != nil {
			reports[state.Incarnation] = report
		}
	}
	return reports
}

// ApplyAdvisoryReports processes the reports of another box, by incarnation.
func (f *Fleet) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for incarnation, report := range reports {
		if state := f.servers[incarnation]; state != nil {
			f.applyReport(state, report, now)
		}
	}
}
