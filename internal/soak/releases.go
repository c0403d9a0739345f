// Crashes of all boxes with releases of software versions before, during and after them. They are drawn from their own
// random sequence, so that the other faults of a seed stay the same.

package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ReleaseRunner drains and stops a runner, and starts one of another software version ActiveFor later.
const ReleaseRunner Kind = "release"

// Release is the replacement of a runner by one of another software version.
type Release struct {
	Server  int
	At      time.Duration
	Version string
}

const (
	// maxListingDelay bounds the time from the end of a ReleaseRunner fault until boxes have read the entry of the
	// runner that it starts.
	maxListingDelay = time.Second
	// firstReleaseCrash is the time of the first crash, at which streams are in flight.
	firstReleaseCrash = 3 * time.Second
	// meanReleaseInterval is the mean time between two crashes with releases.
	meanReleaseInterval = 7 * time.Second
	// The first release begins at most maxReleaseLead before a crash or maxReleaseLag after it, so that it mostly ends
	// before all boxes have restarted. With allRunnersProbability it is of all runners. With secondReleaseProbability
	// another one begins minReleaseMargin to maxReleaseMargin before or after the crash, so that streams are resumed
	// between the two.
	maxReleaseLead, maxReleaseLag      = 400 * time.Millisecond, 300 * time.Millisecond
	allRunnersProbability              = 0.6
	secondReleaseProbability           = 0.4
	minReleaseMargin, maxReleaseMargin = 1200 * time.Millisecond, 3 * time.Second
	// minFleetDowntime is the shortest time until crashed boxes start again.
	minFleetDowntime = 600 * time.Millisecond
	// minSecondCrashDelay and maxSecondCrashDelay bound the time to a second crash, drawn with repeatProbability.
	minSecondCrashDelay, maxSecondCrashDelay = 400 * time.Millisecond, 2500 * time.Millisecond
	// minReplaceTime and maxReplaceTime bound the time from the stop of a runner to the start of the other one, and
	// maxReleaseGap the time between the replacements of two runners.
	minReplaceTime, maxReplaceTime = 20 * time.Millisecond, 300 * time.Millisecond
	maxReleaseGap                  = 20 * time.Millisecond
)

// releaseScope is which runners a release replaces.
type releaseScope uint8

const (
	// allRunners includes the replacement of a service's only version.
	allRunners releaseScope = iota
	halfOfRunners
	// rollbackOfAll returns all runners to the first version, v1.
	rollbackOfAll
	releaseScopeCount
)

// PlanReleases draws crashes of all boxes with releases around them. Servers with an even number are runners.
func PlanReleases(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 5))
	var faults []Fault
	released := 0
	for at := firstReleaseCrash; at < cfg.LoadDuration; at += time.Duration(rng.ExpFloat64() * float64(meanReleaseInterval)) {
		faults = append(faults, drawFleetCrash(rng, cfg, at)...)
		scope := releaseScope(rng.IntN(int(releaseScopeCount)))
		if rng.Float64() < allRunnersProbability {
			scope = allRunners
		}
		released++
		faults = append(faults, drawRelease(rng, cfg, scope, at+between(rng, -maxReleaseLead, maxReleaseLag), fmt.Sprint("r", released))...)
		if rng.Float64() < secondReleaseProbability {
			released++
			margin := between(rng, minReleaseMargin, maxReleaseMargin)
			if rng.IntN(2) == 0 {
				margin = -margin
			}
			faults = append(faults, drawRelease(rng, cfg, releaseScope(rng.IntN(int(releaseScopeCount))), at+margin, fmt.Sprint("r", released))...)
		}
		if rng.Float64() < repeatProbability {
			faults = append(faults, drawFleetCrash(rng, cfg, at+between(rng, minSecondCrashDelay, maxSecondCrashDelay))...)
		}
	}
	return faults
}

// drawFleetCrash draws a crash of all boxes.
func drawFleetCrash(rng *rand.Rand, cfg PlanConfig, at time.Duration) []Fault {
	downtime := between(rng, minFleetDowntime, maxFleetDowntime)
	faults := make([]Fault, cfg.Boxes)
	for box := range faults {
		faults[box] = Fault{Kind: KillBox, Start: at, ActiveFor: downtime, Target: box}
	}
	return faults
}

// drawRelease draws one release, which replaces runners one after the other.
func drawRelease(rng *rand.Rand, cfg PlanConfig, scope releaseScope, at time.Duration, version string) []Fault {
	runners := rng.Perm(cfg.Servers / 2)
	switch scope {
	case allRunners:
	case halfOfRunners:
		runners = runners[:max(len(runners)/2, 1)]
	case rollbackOfAll:
		version = "v1"
	}
	var faults []Fault
	gap := time.Duration(rng.Int64N(int64(maxReleaseGap)))
	for i, runner := range runners {
		faults = append(faults, Fault{Kind: ReleaseRunner, Start: at + time.Duration(i)*gap, ActiveFor: between(rng, minReplaceTime, maxReplaceTime), Target: 2 * runner, Version: version})
	}
	return faults
}

// isRefusedByRelease reports whether a release may have caused the refusal of a call, also long after the last fault:
// fewer than minServing runners have the version of the stream that it resumes, or a part of its prompt is quarantined
// (reason ends_servers), since a runner that stops before boxes have read that it drains counts as crashed.
func (h *History) isRefusedByRelease(a *Attempt) bool {
	if len(h.Releases) == 0 || a.Outcome != NotRun {
		return false
	}
	if strings.Contains(h.Reasons[a.ID], "ends_servers") {
		return true
	}
	for i := range h.Streams {
		for _, try := range h.Streams[i].Tries {
			if try.ID == a.ID {
				return try.After > 0 && !h.isServed(&h.Streams[i], try)
			}
		}
	}
	return false
}

// softwareAt returns the software version of a runner at a moment.
func (h *History) softwareAt(server int, at time.Duration) string {
	version, since := h.Software[server], time.Duration(-1)
	for _, release := range h.Releases {
		if release.Server == server && release.At <= at && release.At > since {
			version, since = release.Version, release.At
		}
	}
	return version
}
