package zone

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// ApplyAdvisory applies the advisory headers of a response from the engine at an address.
func (v *View) ApplyAdvisory(address string, answer advisory.Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv != nil && srv.config.Address == address {
			srv.advisoryState.ApplyAnswer(answer)
		}
	}
}

// AdvisoryReports returns the advisories that this box received from runners, by the runner's name.
func (v *View) AdvisoryReports() map[string]*advisory.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	reports := map[string]*advisory.Report{}
	for name, srv := range v.byName {
		if report := srv.advisoryState.Report(now); report != nil {
			reports[name] = report
		}
	}
	return reports
}

// ApplyAdvisoryReports applies the advisories that another box received, by the runner's name.
func (v *View) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	for name, report := range reports {
		if srv := v.byName[name]; srv != nil && report != nil {
			srv.advisoryState.ApplyReport(*report, now)
		}
	}
}

// limitPositionFor returns the position of this box among the boxes that share a runner's rate limit.
// The caller holds mu.
func (v *View) limitPositionFor(srv *server) advisory.Position {
	if !srv.advisoryState.IsLimited() || v.limitPosition == nil {
		return advisory.Position{}
	}
	return v.limitPosition(srv.config.Name)
}

// acceptsRun reports whether a runner's advisories allow this box to send it a run now. The caller
// holds mu.
func (v *View) acceptsRun(srv *server, now time.Time) bool {
	return !srv.advisoryState.IsPaused(now) && srv.advisoryState.HasRoom(now, v.limitPositionFor(srv))
}

// noteRun counts a run of this box towards a runner's rate limit. The caller holds mu.
func (v *View) noteRun(srv *server, now time.Time) {
	srv.advisoryState.NoteSent(now, v.limitPositionFor(srv))
}

// UnavailableFor returns how long the advisories of all runners of a model forbid this box to send
// them runs. It is zero if one of them allows it, or if no runner of the model is in use.
func (v *View) UnavailableFor(model string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	shortest := time.Duration(0)
	for _, srv := range v.servers {
		if srv == nil || !slices.Contains(srv.config.Models, model) || srv.isLeaving() || srv.evacuated {
			continue
		}
		wait, _ := srv.advisoryState.Wait(now, v.limitPositionFor(srv))
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
