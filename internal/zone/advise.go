package zone

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// ApplyAdvisory takes over what an answer says of the engine at an address.
func (v *View) ApplyAdvisory(address string, answer advisory.Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if srv != nil && srv.config.Address == address {
			srv.advisoryState.TakeAnswer(answer)
		}
	}
}

// AdvisoryReports gives what runners said of themselves in answers to this box, by name.
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

// ApplyAdvisoryReports takes over what another box reports, by name.
func (v *View) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	for name, report := range reports {
		if srv := v.byName[name]; srv != nil && report != nil {
			srv.advisoryState.TakeReport(*report, now)
		}
	}
}

// position gives where this box stands among those that share a runner's rate limit. The caller holds mu.
func (v *View) limitPositionFor(srv *server, now time.Time) advisory.Position {
	if _, _, limited := srv.advisoryState.Limit(now); !limited || v.limitPosition == nil {
		return advisory.Position{}
	}
	return v.limitPosition(srv.config.Name)
}

// takesRun reports whether a runner takes a run of this box now by what it says of itself. The caller
// holds mu.
func (v *View) acceptsRun(srv *server, now time.Time) bool {
	return srv.advisoryState.PausedFor(now) == 0 && srv.advisoryState.HasRoom(now, v.limitPositionFor(srv, now))
}

// noteRun counts a run of this box against a runner's rate limit. The caller holds mu.
func (v *View) noteRun(srv *server, now time.Time) {
	srv.advisoryState.NoteSent(now, v.limitPositionFor(srv, now))
}

// UnavailableFor is how long no runner of the zone takes a run of this box by what it says of itself; zero while
// one does, or where that is not known.
func (v *View) UnavailableFor(model string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := boottime.Now()
	shortest := time.Duration(0)
	for _, srv := range v.servers {
		if srv == nil || !slices.Contains(srv.config.Models, model) || srv.isLeaving() || srv.evacuated {
			continue
		}
		wait, _ := srv.advisoryState.Wait(now, v.limitPositionFor(srv, now))
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
