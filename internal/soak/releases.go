// Releases of software versions around crashes of boxes. They are drawn from their own random sequence, so that
// the other faults of a seed stay the same.

package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// ReleaseRunner replaces a runner by one of another software version, which starts ActiveFor later.
const ReleaseRunner Kind = "release"

// Release is the replacement of a runner.
type Release struct {
	Server  int
	At      time.Duration
	Version string
}

const (
	// listTime is how long after its start boxes have read the entry of a runner that a release started.
	listTime = time.Second
	// firstRelease is when the first release comes at the earliest: streams have begun by then.
	firstRelease = 3 * time.Second
	// meanReleaseInterval is the mean time between two crashes with releases.
	meanReleaseInterval = 7 * time.Second
	// The first release begins at most replaceLead before the crash to replaceLag after it, and ends before all boxes
	// are back as a rule; with wholeProbability it is of all runners. With secondProbability another one begins
	// minReleaseMargin to maxReleaseMargin before or after the crash: in between, streams are resumed.
	replaceLead, replaceLag            = 400 * time.Millisecond, 300 * time.Millisecond
	wholeProbability                   = 0.6
	secondProbability                  = 0.4
	minReleaseMargin, maxReleaseMargin = 1200 * time.Millisecond, 3 * time.Second
	// minFleetDowntime is the shortest time until boxes start again.
	minFleetDowntime = 600 * time.Millisecond
	// minSecondCrash and maxSecondCrash bound the time to a second crash, which comes with repeatProbability.
	minSecondCrash, maxSecondCrash = 400 * time.Millisecond, 2500 * time.Millisecond
	// minReplaceTime and maxReplaceTime bound the time until the other runner starts, and maxReleaseGap is the
	// longest time between the replacements of two runners.
	minReplaceTime, maxReplaceTime = 20 * time.Millisecond, 300 * time.Millisecond
	maxReleaseGap                  = 20 * time.Millisecond
)

// releaseSize is which runners a release replaces.
type releaseSize uint8

const (
	// allRunners are also all of the only version.
	allRunners releaseSize = iota
	halfOfRunners
	// allRunnersBack brings back the version that was there first.
	allRunnersBack
	releaseSizeCount
)

// PlanReleases draws crashes of all boxes with releases around them. Servers with an even number are runners.
func PlanReleases(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 5))
	var faults []Fault
	released := 0
	for at := firstRelease; at < cfg.LoadDuration; at += time.Duration(rng.ExpFloat64() * float64(meanReleaseInterval)) {
		faults = append(faults, drawFleetCrash(rng, cfg, at)...)
		size := releaseSize(rng.IntN(int(releaseSizeCount)))
		if rng.Float64() < wholeProbability {
			size = allRunners
		}
		released++
		faults = append(faults, drawRelease(rng, cfg, size, at+between(rng, -replaceLead, replaceLag), fmt.Sprint("r", released))...)
		if rng.Float64() < secondProbability {
			released++
			margin := between(rng, minReleaseMargin, maxReleaseMargin)
			if rng.IntN(2) == 0 {
				margin = -margin
			}
			faults = append(faults, drawRelease(rng, cfg, releaseSize(rng.IntN(int(releaseSizeCount))), at+margin, fmt.Sprint("r", released))...)
		}
		if rng.Float64() < repeatProbability {
			faults = append(faults, drawFleetCrash(rng, cfg, at+between(rng, minSecondCrash, maxSecondCrash))...)
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

// drawRelease draws one release.
func drawRelease(rng *rand.Rand, cfg PlanConfig, size releaseSize, at time.Duration, version string) []Fault {
	runners := rng.Perm(cfg.Servers / 2)
	switch size {
	case allRunners:
	case halfOfRunners:
		runners = runners[:max(len(runners)/2, 1)]
	case allRunnersBack:
		version = "v1"
	}
	var faults []Fault
	gap := time.Duration(rng.Int64N(int64(maxReleaseGap)))
	for i, runner := range runners {
		faults = append(faults, Fault{Kind: ReleaseRunner, Start: at + time.Duration(i)*gap, ActiveFor: between(rng, minReplaceTime, maxReplaceTime), Target: 2 * runner, Version: version})
	}
	return faults
}

// isRefusedByRelease reports whether a call was refused because of a release for as long as that lasts: no two runners
// have the version of the stream that it resumes, or runners that ended before boxes read that they leave count as
// crashed, and parts of prompts that they had are held.
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
