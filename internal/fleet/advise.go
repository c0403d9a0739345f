// What servers say of themselves in their answers (package advisory).

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// Sources of what is known of a server, in the log.
const (
	sourceAnswer = "answer"
	sourceReport = "report"
)

// Advise takes over what an answer says of the incarnation that gave it.
func (f *Fleet) Advise(incarnation string, answer advisory.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.servers[incarnation]
	if state == nil {
		return
	}
	if change := state.advised.TakeAnswer(answer); change != (advisory.Change{}) {
		f.logAdvised(state, change, sourceAnswer, boottime.Now())
		f.changed.Broadcast() // other boxes are to know soon
	}
}

// takeReport takes over what another box reports of a server's answers. The caller holds mu.
func (f *Fleet) takeReport(state *State, report *advisory.Report, now time.Time) {
	if report != nil {
		f.logAdvised(state, state.advised.TakeReport(*report, now), sourceReport, now)
	}
}

// logAdvised logs what a statement changed. The caller holds mu.
func (f *Fleet) logAdvised(state *State, change advisory.Change, source string, now time.Time) {
	if change.Limit {
		f.logLimit(state, source, now)
	}
	if change.Draining {
		f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
			Bool("entry_draining", state.Leaving).Str("source", source).Int("in_flight", state.inFlight).Msg("server_draining")
	}
	if change.Paused {
		f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
			Dur("pause", state.advised.PausedFor(now)).Int("in_flight", state.inFlight).Msg("server_paused")
	}
}

// position gives where this box stands among those that share a server's rate limit. The caller holds
// mu.
func (f *Fleet) position(state *State, now time.Time) advisory.Position {
	if _, _, limited := state.advised.Limit(now); !limited || f.cfg.LimitPosition == nil {
		return advisory.Position{}
	}
	return f.cfg.LimitPosition(state.Zone, state.Incarnation)
}

// isCapped reports whether this box counts its calls at a server, so that only calls which it places
// for itself may go there. The caller holds mu.
func (f *Fleet) isCapped(state *State, now time.Time) bool {
	_, _, limited := state.advised.Limit(now)
	return limited || f.isBounded(state, now)
}

// Limited counts the listed servers that name a rate limit, and those of them that this box has a share
// of.
func (f *Fleet) Limited() (limited, shared int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for _, state := range f.servers {
		share, named := state.advised.Share(now, f.position(state, now))
		if !named || !state.gone.IsZero() {
			continue
		}
		limited++
		if share > 0 {
			shared++
		}
	}
	return limited, shared
}

// logLimit logs that a server's rate limit has changed. The caller holds mu.
func (f *Fleet) logLimit(state *State, source string, now time.Time) {
	perSecond, age, limited := state.advised.Limit(now)
	event := "server_limit_ended"
	if limited {
		event = "server_limit_named"
	}
	f.cfg.Logger.Info().Str("server", state.Incarnation).Str("service", state.Service).Str("server_zone", state.Zone).
		Float64("per_second", perSecond).Dur("age", age).Str("source", source).Int("in_flight", state.inFlight).Msg(event)
}

// Advised gives what servers said of themselves in answers to this box, by incarnation, where boxes do
// not share their work.
func (f *Fleet) Advised() map[string]*advisory.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	reports := map[string]*advisory.Report{}
	for incarnation, state := range f.servers {
		if report := state.advised.Report(now); report != nil {
			reports[incarnation] = report
		}
	}
	return reports
}

// TakeAdvised takes over what another box reports, by incarnation.
func (f *Fleet) TakeAdvised(reports map[string]*advisory.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	for incarnation, report := range reports {
		if state := f.servers[incarnation]; state != nil {
			f.takeReport(state, report, now)
		}
	}
}
