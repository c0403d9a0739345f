// New weights: a fifth of the runners at a time gets no calls for a moment, ends its runs
// and loads.

package sitebench

// firstWeights is the version that all runners hold when a day begins.
const firstWeights = 1

const (
	// startMillis is from the naming of weights to the first order.
	orderDelayMillis = 100.0
	// pauseMillis is how long a runner gets no calls before it is ordered, and
	// runnersPerLoad how many runners there are for each that loads, as in package
	// weightorders.
	pauseMillis    = 200.0
	runnersPerLoad = 5
	// giverLeavesMillis is when the giver of orders is cut off on days that have that.
	coordinatorLossMillis = 500.0
)

// planWeights plans the naming of each version of a day.
func (sim *simulation) scheduleWeights() {
	for i, second := range sim.scenario.WeightsAt {
		version := firstWeights + 1 + i
		sim.schedule(millisPerSecond*second, func() { sim.announceWeights(version) })
	}
}

// nameWeights names a version: parts of the one before are freed in their time. The first
// also begins the loads, which then follow each other until the day ends.
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

// giverIsAway reports whether the box that gives the orders is cut off now.
func (sim *simulation) coordinatorIsAway() bool {
	leaves := sim.announcedAt[firstWeights+1] + coordinatorLossMillis
	return sim.scenario.CoordinatorOutage > 0 && sim.now > leaves && sim.now < leaves+millisPerSecond*sim.scenario.CoordinatorOutage
}

// loadNext brings the runner with the oldest weights to the newest, and then the next.
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
