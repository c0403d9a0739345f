package zone

import (
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/boottime"
)

// ApplyAdvisory takes over what an answer says of the engine at an address.
func (k *View) ApplyAdvisory(address string, answer advisory.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, known := range k.servers {
		if known != nil && known.config.Address == address {
			known.advised.TakeAnswer(answer)
		}
	}
}

// AdvisoryReports gives what runners said of themselves in answers to this box, by name.
func (k *View) AdvisoryReports() map[string]*advisory.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := boottime.Now()
	reports := map[string]*advisory.Report{}
	for name, known := range k.byName {
		if report := known.advised.Report(now); report != nil {
			reports[name] = report
		}
	}
	return reports
}

// ApplyAdvisoryReports takes over what another box reports, by name.
func (k *View) ApplyAdvisoryReports(reports map[string]*advisory.Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := boottime.Now()
	for name, report := range reports {
		if known := k.byName[name]; known != nil && report != nil {
			known.advised.TakeReport(*report, now)
		}
	}
}

// position gives where this box stands among those that share a runner's rate limit. The caller holds mu.
func (k *View) position(known *server, now time.Time) advisory.Position {
	if _, _, limited := known.advised.Limit(now); !limited || k.limitPosition == nil {
		return advisory.Position{}
	}
	return k.limitPosition(known.config.Name)
}

// takesRun reports whether a runner takes a run of this box now by what it says of itself. The caller
// holds mu.
func (k *View) takesRun(known *server, now time.Time) bool {
	return known.advised.PausedFor(now) == 0 && known.advised.HasRoom(now, k.position(known, now))
}

// noteRun counts a run of this box against a runner's rate limit. The caller holds mu.
func (k *View) noteRun(known *server, now time.Time) {
	known.advised.NoteSent(now, k.position(known, now))
}

// UnavailableFor is how long no runner of the zone takes a run of this box by what it says of itself; zero while
// one does, or where that is not known.
func (k *View) UnavailableFor(model string) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := boottime.Now()
	shortest := time.Duration(0)
	for _, known := range k.servers {
		if known == nil || !slices.Contains(known.config.Models, model) || known.leaves() || known.evacuated {
			continue
		}
		wait, _ := known.advised.Wait(now, k.position(known, now))
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}
