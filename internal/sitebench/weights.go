// Loading of new weights: a fifth of the runners at a time receives no calls for a moment,
// finishes its runs and loads the weights.

package sitebench

// firstWeights is the version that all runners have at the start.
const firstWeights = 1

const (
	// orderDelayMillis is the time from the announcement of weights to the first order.
	orderDelayMillis = 100.0
	// pauseMillis is how long a runner receives no calls before it is ordered to load, and one in
	// runnersPerLoad runners loads at a time, as in package weightorders.
	pauseMillis    = 200.0
	runnersPerLoad = 5
	// coordinatorLossMillis is the time from the first announcement until the box that orders the
	// loads is cut off, in scenarios with such an outage.
	coordinatorLossMillis = 500.0
)

// scheduleWeights schedules the announcement of each version of the scenario.
func (sim *simulation) scheduleWeights() {
	for i, second := range sim.scenario.WeightsAt {
		version := firstWeights + 1 + i
		sim.schedule(millisPerSecond*second, func() { sim.announceWeights(version) })
	}
}

// announceWeights announces a version and schedules the freeing of the parts of the previous one.
// The first announcement also starts the loads, which then follow each other until the scenario
// ends.
func (sim *simulation) announceWeights(version int) {
	sim.newest = version
	sim.announcedAt[version] = sim.now
	for _, s := range sim.stores {
		for p := range s.visibleAt {
			if p.weights == version-1 {
				sim.scheduleFree(s, p)
			}
		}
	}
	if version != firstWeights+1 {
		return
	}
	for range (len(sim.runners) + runnersPerLoad - 1) / runnersPerLoad {
		sim.schedule(orderDelayMillis, sim.loadNext)
	}
}

// coordinatorIsAway reports whether the box that orders the loads is cut off at present.
func (sim *simulation) coordinatorIsAway() bool {
	cutOff := sim.announcedAt[firstWeights+1] + coordinatorLossMillis
	return sim.scenario.CoordinatorOutage > 0 && sim.now > cutOff && sim.now < cutOff+millisPerSecond*sim.scenario.CoordinatorOutage
}

// loadNext loads the newest weights on the runner with the oldest ones, and then continues with
// the next runner.
func (sim *simulation) loadNext() {
	if sim.coordinatorIsAway() {
		sim.schedule(orderDelayMillis, sim.loadNext)
		return
	}
	var next *runner
	for _, r := range sim.runners {
		if !r.draining && r.weights < sim.newest && (next == nil || r.weights < next.weights) {
			next = r
		}
	}
	if next == nil {
		if sim.now < sim.endMillis() {
			sim.schedule(orderDelayMillis, sim.loadNext)
		}
		return
	}
	next.draining = true
	sim.schedule(pauseMillis, func() {
		next.onDrained = func() {
			sim.schedule(sim.site.LoadMillis, func() {
				next.weights, next.draining, next.cached = sim.newest, false, nil
				sim.loadNext()
			})
		}
		next.notifyDrained()
	})
}
