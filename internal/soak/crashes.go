// Boxes that crash together and in series, alone and beside faults of the log, changes by operators and
// crashes of runners. They are drawn from their own random sequence, so that the other faults of a seed
// stay the same.

package soak

import (
	"math/rand/v2"
	"time"
)

// SlowLog delays every call of the log.
const SlowLog Kind = "slow_log"

const (
	// minCrashInterval and meanCrashInterval are the shortest and the mean time between two crashes.
	minCrashInterval  = 2 * time.Second
	meanCrashInterval = 6 * time.Second
	// maxFleetDowntime is the longest time until boxes start again after all of them crashed. While some are
	// left, it is maxCrashDowntime: callers have no others then, and these are in touch.
	maxFleetDowntime = 1500 * time.Millisecond
	maxCrashDowntime = 4 * time.Second
	// shortSeriesTime and longSeriesTime bound the time from the first to the last of the boxes that crash one
	// after the other. In a long series the first ones are in touch again before the last ones crash.
	shortSeriesTime = 2 * time.Second
	longSeriesTime  = 10 * time.Second
	// A crash is repeated after minRepeatTime to maxRepeatTime with repeatProbability.
	minRepeatTime, maxRepeatTime = time.Second, 4 * time.Second
	repeatProbability            = 0.35
	// maxCrashedRunners is how many runners crash together with boxes.
	maxCrashedRunners = 3
	// companionProbability is the probability of another fault beside a crash, which starts up to
	// companionLead before it or as long after it.
	companionProbability = 0.5
	companionLead        = 600 * time.Millisecond
)

// companionKinds are the faults beside a crash. Changes of the configuration change a key.
var companionKinds = []Kind{LogDown, SlowLog, RestoreLog, ApplyConfig, UpdateWeights, LeaveServer}

// crashedBoxes is which boxes crash.
type crashedBoxes uint8

const (
	allBoxes crashedBoxes = iota
	// allButOneBox, someBoxes and oneOfEachZone (one box of each zone) leave some.
	allButOneBox
	someBoxes
	oneOfEachZone
	// boxesInTurn crash one after the other, the others at the same moment.
	boxesInTurn
	// boxesAndRunners are all or some boxes and some runners.
	boxesAndRunners
	crashedBoxesCount
)

// PlanCrashes draws the crashes of a seed. Boxes are in cfg.Zones zones in turn, and servers with an even
// number are runners.
func PlanCrashes(cfg PlanConfig) []Fault {
	rng := rand.New(rand.NewPCG(cfg.Seed, 4))
	var faults []Fault
	for at := minCrashInterval; at < cfg.LoadDuration; {
		which := crashedBoxes(rng.IntN(int(crashedBoxesCount)))
		faults = append(faults, drawCrash(rng, cfg, which, at)...)
		if rng.Float64() < companionProbability {
			faults = append(faults, drawCompanions(rng, cfg, at)...)
		}
		if rng.Float64() < repeatProbability {
			at += between(rng, minRepeatTime, maxRepeatTime)
			faults = append(faults, drawCrash(rng, cfg, which, at)...)
		}
		at += minCrashInterval + time.Duration(rng.ExpFloat64()*float64(meanCrashInterval-minCrashInterval))
	}
	return faults
}

func between(rng *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rng.Int64N(int64(to-from)))
}

// drawCrash draws one crash of boxes. In half of them the boxes start again at once.
func drawCrash(rng *rand.Rand, cfg PlanConfig, which crashedBoxes, at time.Duration) []Fault {
	var gap time.Duration
	boxes := rng.Perm(cfg.Boxes)
	switch which {
	case allButOneBox:
		boxes = boxes[:max(cfg.Boxes-1, 1)]
	case someBoxes:
		boxes = boxes[:1+rng.IntN(max(cfg.Boxes-1, 1))]
	case oneOfEachZone:
		boxes = firstOfEachZone(boxes, cfg.Zones)
	case boxesInTurn:
		gap = between(rng, 0, []time.Duration{shortSeriesTime, longSeriesTime}[rng.IntN(2)]) / time.Duration(cfg.Boxes)
	case boxesAndRunners:
		boxes = boxes[:1+rng.IntN(cfg.Boxes)]
	}
	downtime, maxDowntime := time.Duration(0), maxCrashDowntime
	if len(boxes) == cfg.Boxes {
		maxDowntime = maxFleetDowntime
	}
	if rng.IntN(2) == 0 {
		downtime = between(rng, 0, maxDowntime)
	}
	var faults []Fault
	for i, box := range boxes {
		faults = append(faults, Fault{Kind: KillBox, Start: at + time.Duration(i)*gap, ActiveFor: downtime, Target: box})
	}
	if which == boxesAndRunners {
		for _, runner := range rng.Perm(cfg.Servers / 2)[:min(1+rng.IntN(maxCrashedRunners), cfg.Servers/2)] {
			faults = append(faults, Fault{Kind: KillServer, Start: at, ActiveFor: between(rng, minFaultDuration, maxFaultDuration), Target: 2 * runner})
		}
	}
	return faults
}

// firstOfEachZone returns the first box of each zone.
func firstOfEachZone(boxes []int, zones int) []int {
	var first []int
	found := map[int]bool{}
	for _, box := range boxes {
		if zone := box % max(zones, 1); !found[zone] {
			found[zone] = true
			first = append(first, box)
		}
	}
	return first
}

// drawCompanions draws one to three faults of one kind around a crash.
func drawCompanions(rng *rand.Rand, cfg PlanConfig, at time.Duration) []Fault {
	kind, count := companionKinds[rng.IntN(len(companionKinds))], 1
	if kind.scope() == oneServer || kind == ApplyConfig {
		count += rng.IntN(3)
	}
	var faults []Fault
	for range count {
		fault := drawFault(rng, cfg, kind, at+between(rng, -companionLead, companionLead))
		fault.CopyAge = time.Duration(rng.Int64N(int64(maxCopyAge)))
		if kind == LeaveServer {
			fault.Target = 2 * (fault.Target / 2)
		}
		faults = append(faults, fault)
	}
	return faults
}
