// How many runners are out of service, and how many may be. The decision is package loadpace's; this
// file collects its inputs and keeps the learnt durations of each model.

package weightorders

import (
	"cmp"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/loadpace"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// modelState is the state of the loads of a model. The controller's lock guards it.
type modelState struct {
	// pausing and loading count the runners with a task by its phase.
	pausing, loading int
	pace             loadpace.Pace
	// learned holds the durations, and demand the smoothed demand.
	learned loadpace.Learned
	demand  loadpace.Average
	// latest is the demand that the pace was decided by; known means that it was known.
	latest float64
	known  bool
}

// paceReport is what a log line says about the pace.
type paceReport struct {
	out, allowed int
	demand       float64
	demandKnown  bool
}

// model returns the state of a model. The caller holds mu.
func (c *Controller) model(name string) *modelState {
	state := c.models[name]
	if state == nil {
		state = &modelState{}
		c.models[name] = state
	}
	return state
}

// updatePace decides how many runners may be out of service. The caller holds mu.
func (c *Controller) updatePace(state *modelState, model string, listed int, work fleet.ModelWork, behind []fleet.BehindServer) {
	if !c.cfg.Mechanisms.Enabled(mechanism.LoadPace) {
		state.pace = loadpace.Fixed(listed)
		return
	}
	state.known = c.cfg.LoadsKnown != nil && c.cfg.LoadsKnown()
	if state.known {
		state.latest = state.demand.Add(c.measureDemand(work), boottime.Now())
	}
	state.pace = loadpace.Decide(loadpace.State{
		Listed: listed, Runners: work.Servers, Behind: c.groupBehind(model, behind), Demand: state.latest, DemandKnown: state.known,
		Drain: state.learned.Drain(), Load: state.learned.Load(),
	})
}

// measureDemand returns the used fraction of the runners' capacity.
func (c *Controller) measureDemand(work fleet.ModelWork) float64 {
	limits := loadpace.Limits{}
	if c.cfg.Limits != nil {
		limits = c.cfg.Limits(work.Service)
	}
	return loadpace.Work{
		Runners: work.Servers, Slots: work.Slots, InFlight: work.InFlight, HeldTokens: work.HeldTokens, PrefillTime: work.PrefillTime,
	}.Demand(limits)
}

// groupBehind counts the runners by the version that they hold, those with the least time left
// first.
func (c *Controller) groupBehind(model string, behind []fleet.BehindServer) []loadpace.Behind {
	counts := map[int]int{}
	for _, server := range behind {
		counts[server.Held]++
	}
	groups := make([]loadpace.Behind, 0, len(counts))
	for version, count := range counts {
		left, known := time.Duration(0), false
		if c.cfg.TimeLeft != nil {
			left, known = c.cfg.TimeLeft(model, version)
		}
		groups = append(groups, loadpace.Behind{Runners: count, Left: left, Undated: !known})
	}
	slices.SortFunc(groups, func(a, b loadpace.Behind) int { return cmp.Compare(a.Left, b.Left) })
	return groups
}

// selection decides which runners are taken out of service next.
type selection struct {
	pace loadpace.Pace
	work fleet.ModelWork
	// behind counts the runners with older weights, and behindInZone those of each zone.
	behind       int
	behindInZone map[string]int
	// out counts the runners that are out of service, and outInZone those of each zone.
	out       int
	outInZone map[string]int
}

// newSelection counts the runners of a model that are out of service. Runners whose loads are about to
// end do not count, so that the pause of the next ones ends with these loads. The caller holds mu.
func (c *Controller) newSelection(state *modelState, model string, work fleet.ModelWork, behind []fleet.BehindServer) *selection {
	s := &selection{pace: state.pace, work: work, behind: len(behind), behindInZone: map[string]int{}, outInZone: map[string]int{}}
	for _, server := range behind {
		s.behindInZone[server.Zone]++
	}
	ending := state.learned.Load() - pauseBeforeOrder
	for _, reached := range c.tasks {
		aboutToEnd := reached.phase == loading && boottime.Since(reached.since) >= ending
		if reached.model == model && !aboutToEnd {
			s.add(reached.zone)
		}
	}
	return s
}

// add counts a runner of a zone that is out of service.
func (s *selection) add(zone string) {
	s.out++
	s.outInZone[zone]++
}

// allows reports whether one more runner of a zone may be taken out of service.
func (s *selection) allows(zone string, exceed bool) bool {
	return s.out < s.pace.Out && s.outInZone[zone] < s.pace.ZoneLimit(s.work.Servers, s.work.ByZone[zone], s.behind, s.behindInZone[zone], exceed)
}

// countSameVersion counts the servers at the start that hold the same version as the first.
func countSameVersion(behind []fleet.BehindServer) int {
	for i := range behind {
		if behind[i].Held != behind[0].Held {
			return i
		}
	}
	return len(behind)
}

// OutOfService returns the number of runners of each model that this box has taken out of service
// for a load.
func (c *Controller) OutOfService() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int, len(c.models))
	for model, state := range c.models {
		counts[model] = state.pausing + state.loading
	}
	return counts
}

// claimSlot moves a runner to the loading phase if a loading slot is free for it. Runners that have
// drained come first, and among these those with older weights. Others get a slot only if there is
// one for every runner that waits, or after drainLimit.
func (c *Controller) claimSlot(t task, drained bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := t.server.Incarnation
	reached := c.tasks[name]
	reached.drained = drained
	c.tasks[name] = reached
	free := t.state.pace.Loading - t.state.loading
	ready := drained || boottime.Since(reached.since) >= drainLimit
	if free <= 0 || free < t.state.pausing && (!ready || free <= c.countReadyBefore(reached)) {
		return false
	}
	reached.phase, reached.since = loading, boottime.Now()
	c.tasks[name] = reached
	t.state.pausing--
	t.state.loading++
	return true
}

// countReadyBefore counts the runners that have drained and hold older weights than another one of
// the model. The caller holds mu.
func (c *Controller) countReadyBefore(other progress) int {
	count := 0
	for _, reached := range c.tasks {
		if reached.phase == pausing && reached.drained && reached.model == other.model && reached.held < other.held {
			count++
		}
	}
	return count
}

// checkInterval returns the time between two checks of a task on its runner.
func (c *Controller) checkInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slotInterval * time.Duration(1+len(c.tasks)/tasksPerInterval)
}

// addDrain records the time that a runner took to drain.
func (c *Controller) addDrain(t task, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.learned.AddDrain(took)
}

// addLoad records a load that a poll found to have ended after a time.
func (c *Controller) addLoad(t task, ended time.Duration, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.state.learned.AddLoad(ended, first)
}

// nextPoll returns how long to wait before the next poll of a runner whose load began so long ago.
func (c *Controller) nextPoll(t task, elapsed time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.state.learned.NextPoll(elapsed)
}
