// New weights: a fifth of the runners at a time gets no calls for a moment, ends its runs
// and loads.

package sitebench

// firstWeights is the version that all runners hold when a day begins.
const firstWeights = 1

const (
	// startMillis is from the naming of weights to the first order.
	startMillis = 100.0
	// pauseMillis is how long a runner gets no calls before it is ordered, and
	// runnersPerLoad how many runners there are for each that loads, as in package
	// weightorders.
	pauseMillis    = 200.0
	runnersPerLoad = 5
	// giverLeavesMillis is when the giver of orders is cut off on days that have that.
	giverLeavesMillis = 500.0
)

// planWeights plans the naming of each version of a day.
func (w *world) planWeights() {
	for i, second := range w.day.WeightsAt {
		version := firstWeights + 1 + i
		w.after(millisPerSecond*second, func() { w.nameWeights(version) })
	}
}

// nameWeights names a version: parts of the one before are freed in their time. The first
// also begins the loads, which then follow each other until the day ends.
func (w *world) nameWeights(version int) {
	w.newest = version
	w.namedAt[version] = w.now
	for _, s := range w.stores {
		for p := range s.seen {
			if p.weights == version-1 {
				w.planFree(s, p)
			}
		}
	}
	if version != firstWeights+1 {
		return
	}
	for range (len(w.runners) + runnersPerLoad - 1) / runnersPerLoad {
		w.after(startMillis, w.loadNext)
	}
}

// giverIsAway reports whether the box that gives the orders is cut off now.
func (w *world) giverIsAway() bool {
	leaves := w.namedAt[firstWeights+1] + giverLeavesMillis
	return w.day.CoordinatorOutage > 0 && w.now > leaves && w.now < leaves+millisPerSecond*w.day.CoordinatorOutage
}

// loadNext brings the runner with the oldest weights to the newest, and then the next.
func (w *world) loadNext() {
	if w.giverIsAway() {
		w.after(startMillis, w.loadNext)
		return
	}
	var next *runner
	for _, r := range w.runners {
		if !r.out && r.weights < w.newest && (next == nil || r.weights < next.weights) {
			next = r
		}
	}
	if next == nil {
		if w.now < w.endMillis() {
			w.after(startMillis, w.loadNext)
		}
		return
	}
	next.out = true
	w.after(pauseMillis, func() {
		next.drained = func() {
			w.after(w.site.LoadMillis, func() {
				next.weights, next.out, next.kept = w.newest, false, nil
				w.loadNext()
			})
		}
		next.tellDrained()
	})
}
