// Runners prefill one prompt at a time, urgent ones first, decode in batches, and cache shared
// parts as long as their memory is not needed for runs.

package sitebench

import (
	"fmt"
	"slices"
)

// runner is a model of one model runner.
type runner struct {
	sim  *simulation
	name string
	// owner is the box that may use the headroom of the memory.
	owner int

	weights int
	// draining means that boxes send no calls, because the runner is about to load weights or is
	// loading them.
	draining bool
	// hung means that the runner does nothing, and hangDetected that the boxes have detected it.
	hung, hangDetected bool
	// onDrained is called when the last run has ended. It is nil while no load of weights waits
	// for that.
	onDrained func()

	prefilling     bool
	urgent, normal []*job
	running        int
	// active are the jobs that are being prefilled or decoded.
	active []*job
	// activeTokens is the memory of the active jobs. cached are the cached parts, the most
	// recently used last.
	activeTokens float64
	cached       []cachedContext

	// work is the current work of each box at this runner, and reported is the work that each box
	// last reported to the others.
	work, reported []boxWork
	// reportedTotal is the sum of reported.
	reportedTotal boxWork
	// reserved is the work that the runner's owner has placed here since the last reports.
	reserved boxWork
}

// cachedContext is a shared part in a runner's cache.
type cachedContext struct {
	key    contextKey
	tokens float64
}

// job is a prompt at a runner.
type job struct {
	call *call
	// prefillShared means that the shared part must be prefilled unless the runner has it cached.
	prefillShared bool
	// saveTo is the store box that saves the shared part once it has been prefilled, or nil.
	saveTo *store
	// queuedAt is when the runner received the job. finishAt is when its answer ends if no other
	// prompt is prefilled meanwhile. A lost job was at a runner that hung.
	queuedAt, finishAt float64
	streaming, lost    bool
}

func newRunner(sim *simulation, number int) *runner {
	return &runner{
		sim: sim, name: fmt.Sprint("runner-", number), owner: number % sim.site.Boxes, weights: firstWeights,
		work: make([]boxWork, sim.site.Boxes), reported: make([]boxWork, sim.site.Boxes),
	}
}

// report sends the current work of each box at this runner to the other boxes.
func (r *runner) report() {
	r.reserved = boxWork{}
	r.reportedTotal = boxWork{}
	for box, work := range r.work {
		r.reported[box] = work
		r.reportedTotal.add(work)
	}
}

// knownTo returns the work at this runner as far as a box knows it: its own current work and the
// reported work of the others.
func (r *runner) knownTo(box int) boxWork {
	known := r.reportedTotal
	known.sub(r.reported[box])
	known.add(r.work[box])
	return known
}

// enqueue queues a job.
func (r *runner) enqueue(j *job) {
	j.queuedAt = r.sim.now
	if r.hung {
		r.reroute(j)
		return
	}
	if r.sim.site.Classes[j.call.class].Urgent {
		r.urgent = append(r.urgent, j)
	} else {
		r.normal = append(r.normal, j)
	}
	r.prefillNext()
}

// prefillNext starts the next prefill, if there are a free slot and enough memory.
func (r *runner) prefillNext() {
	queue := &r.urgent
	if len(*queue) == 0 {
		queue = &r.normal
	}
	if r.prefilling || len(*queue) == 0 || r.running >= r.sim.site.Slots {
		return
	}
	j := (*queue)[0]
	if r.running > 0 && r.activeTokens+j.call.tokens() > r.sim.site.MemoryTokens {
		return
	}
	*queue = (*queue)[1:]
	r.prefilling = true
	r.running++
	r.active = append(r.active, j)
	r.activeTokens += j.call.tokens()
	r.evict()
	if r.sim.site.Interleaved && !j.prefillShared && r.sim.now-j.queuedAt > fetchMillis {
		j.prefillShared = true // it was queued for so long that the fetched part was discarded
		r.sim.result.lateFetches++
	}
	tokens := j.call.ownTokens
	if j.prefillShared && !r.touch(j.call.keyFor(r.weights)) {
		tokens += j.call.sharedTokens()
	} else {
		j.prefillShared = false
	}
	prefillMillis := tokens / r.sim.site.PrefillRate
	if r.sim.site.Interleaved {
		for _, other := range r.active {
			other.finishAt += prefillMillis
		}
	}
	r.sim.schedule(prefillMillis+r.stepMillis(), func() { r.prefillDone(j) })
}

// stepMillis returns the current time of a batch step.
func (r *runner) stepMillis() float64 {
	return r.sim.site.StepMillis + r.sim.site.StepMillisPerRun*float64(r.running)
}

// prefillDone ends the prefill of a job and starts its answer.
func (r *runner) prefillDone(j *job) {
	if j.lost {
		return
	}
	sim := r.sim
	r.prefilling = false
	p := j.call.keyFor(r.weights)
	if j.prefillShared {
		if sim.prefilled[p] {
			sim.result.recomputed += j.call.sharedTokens()
		}
		sim.prefilled[p] = true
		sim.result.sharedPrefilled += j.call.sharedTokens()
		if j.saveTo != nil {
			j.saveTo.save(sim, p, j.call.sharedTokens())
		}
	}
	r.cache(p, j.call.sharedTokens())
	j.streaming = true
	j.call.firstEvent(r)
	j.finishAt = sim.now + j.call.steps*r.stepMillis()
	sim.schedule(j.call.steps*r.stepMillis(), func() { r.finish(j) })
	r.prefillNext()
}

// finish ends a job.
func (r *runner) finish(j *job) {
	if j.lost {
		return
	}
	if left := j.finishAt - r.sim.now; left > 0 {
		r.sim.schedule(left, func() { r.finish(j) })
		return
	}
	r.running--
	r.active = slices.DeleteFunc(r.active, func(run *job) bool { return run == j })
	r.activeTokens -= j.call.tokens()
	r.work[j.call.box].sub(boxWork{1, 0, int(j.call.tokens())})
	r.prefillNext()
	r.notifyDrained()
}

// notifyDrained calls onDrained if the runner has no jobs left.
func (r *runner) notifyDrained() {
	if r.onDrained != nil && r.running == 0 && len(r.urgent)+len(r.normal) == 0 {
		callback := r.onDrained
		r.onDrained = nil
		callback()
	}
}

// touch reports whether a part is cached, and marks it as the most recently used.
func (r *runner) touch(p contextKey) bool {
	for i, entry := range r.cached {
		if entry.key == p {
			r.cached = append(append(r.cached[:i:i], r.cached[i+1:]...), entry)
			return true
		}
	}
	return false
}

// cache adds a part that was prefilled or fetched to the cache.
func (r *runner) cache(p contextKey, tokens float64) {
	if !r.touch(p) {
		r.cached = append(r.cached, cachedContext{p, tokens})
	}
	r.evict()
}

// evict removes the least recently used parts until the memory suffices.
func (r *runner) evict() {
	total := r.activeTokens
	for _, entry := range r.cached {
		total += entry.tokens
	}
	for len(r.cached) > 0 && total > r.sim.site.MemoryTokens {
		total -= r.cached[0].tokens
		r.cached = r.cached[1:]
	}
}

// boxWork is the work of one box at a runner: calls, tokens to prefill, and tokens of memory.
type boxWork struct{ calls, pending, held int }

func (b *boxWork) add(other boxWork) {
	b.calls, b.pending, b.held = b.calls+other.calls, b.pending+other.pending, b.held+other.held
}

func (b *boxWork) sub(other boxWork) {
	b.add(boxWork{-other.calls, -other.pending, -other.held})
}
