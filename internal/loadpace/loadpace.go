// Package loadpace decides how many runners of a model may be out of service at once while new
// weights are loaded (Decide), and when a loading runner is polled (LoadTime). It is pure: it uses
// no clock and no I/O.
//
// A runner that is to load gets no new calls, drains, and then loads. Only a share of the runners
// may load at once, since loads slow each other down. Runners that drain are out of service
// besides. While there is spare capacity, so many drain that another one is ready whenever a load
// ends. Otherwise as many are out as may load: with fewer, answers by the older weights would become
// worthless before the last runner has loaded, and with more, calls are refused, which costs them
// more than answers by older weights.
package loadpace

import (
	"math"
	"time"
)

const (
	// runnersPerLoad limits how many runners load at the same time: one in five. With more, each
	// load is slower. With fewer, older weights serve for longer.
	runnersPerLoad = 5
	// targetUse is the fraction of their capacity up to which the remaining runners are used while more
	// runners are out than may load. Calls come in clumps, long prompts need much of a runner's memory
	// in one piece, and runners that have just loaded compute again what others had cached, so that
	// calls are refused from less than half of the capacity on; a refusal costs a call more than an
	// answer by older weights.
	targetUse = 0.45
	// maxOutFraction bounds the fraction of the runners that are out of service, since demand may
	// rise while they are.
	maxOutFraction = 0.4
	// zoneSlack is the factor by which the fraction of a zone that is out of service may exceed that
	// of all zones when no other zone has runners with weights as old.
	zoneSlack = 1.3
	// maxZoneFraction bounds the fraction of a zone in that case.
	maxZoneFraction = 0.75
	// unevenness is the part of a round of loads that is lost because the rounds of the runners
	// don't end together.
	unevenness = 0.1
	// drainSpread is the factor by which more runners drain than the mean durations require, since
	// both durations vary.
	drainSpread = 1.2
)

// Behind counts runners that hold the same older version.
type Behind struct {
	Runners int
	// Left is the time until answers by this version are worthless. It has no meaning if Undated is
	// set: nobody knows how long ago the next version was declared.
	Left    time.Duration
	Undated bool
}

// State describes the runners of a model and their load.
type State struct {
	// Listed counts all runners, and Runners those that serve or would if they were not out for a
	// load.
	Listed, Runners int
	// Behind has the runners with older versions, those with the least time left first.
	Behind []Behind
	// Demand is the fraction of the capacity of all Runners that is in use. It has no meaning unless
	// DemandKnown is set.
	Demand      float64
	DemandKnown bool
	// Drain is the mean time from the pause of a runner until its last call has ended, and Load
	// that of a load.
	Drain, Load time.Duration
}

// Pace bounds the runners that are out of service. The zero value allows none.
type Pace struct {
	// Out is how many runners may be out of service at once, Loading how many of them may load.
	Out, Loading int
	// Needed is the part of Out that the deadline requires.
	Needed int
}

// Fixed returns the pace that ignores demand: one runner in five is out of service.
func Fixed(runners int) Pace {
	slots := divideUp(runners, runnersPerLoad)
	return Pace{Out: slots, Loading: slots}
}

// Decide returns the pace for a state.
func Decide(s State) Pace {
	pace := Fixed(s.Listed)
	pace.Needed = min(s.needed(pace.Loading), pace.Out)
	if s.DemandKnown {
		pace.Out = max(pace.Out, min(s.useful(pace.Loading), s.spare()))
	}
	return pace
}

// useful returns how many runners out of service keep all loading slots in use.
func (s State) useful(slots int) int {
	ratio := float64(s.Drain) / float64(max(s.Load, minLoad))
	count := math.Ceil(float64(slots) * (1 + drainSpread*ratio))
	return max(min(int(count), s.Listed), slots)
}

// spare returns how many runners the calls can do without.
func (s State) spare() int {
	free := float64(s.Runners) * (1 - s.Demand/targetUse)
	return max(int(min(free, maxOutFraction*float64(s.Runners))), 0)
}

// needed returns how many runners must be out of service at once so that each version is replaced
// in time, if those with the least time left come first. It is at least one while any is behind.
func (s State) needed(slots int) int {
	cycle := max(s.Drain+s.Load, minLoad)
	count, most := 0, 0
	for _, behind := range s.Behind {
		count += behind.Runners
		required := slots
		if !behind.Undated {
			rounds := float64(behind.Left)/float64(cycle) - unevenness
			required = int(math.Ceil(float64(count) / max(rounds, 1)))
		}
		most = max(most, min(required, count))
	}
	return most
}

// ZoneLimit returns how many of a zone's runners may be out of service at once: the same fraction
// as of all runners, or as many as the deadline needs there. Calls prefer their own zone. exceed is
// set if no other zone has runners with weights as old that could be taken instead.
func (p Pace) ZoneLimit(runners, inZone, behind, behindInZone int, exceed bool) int {
	equal := float64(p.Out) * float64(inZone) / float64(max(runners, 1))
	if exceed {
		equal = min(zoneSlack*equal, maxZoneFraction*float64(inZone))
	}
	needed := float64(p.Needed) * float64(behindInZone) / float64(max(behind, 1))
	return max(int(math.Ceil(max(equal, needed))), 1)
}

// divideUp returns the quotient rounded up.
func divideUp(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }
