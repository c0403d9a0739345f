// Runners: they read one prompt after the other, urgent ones first, answer in batches,
// and keep shared context until its memory is wanted.

package sitebench

import (
	"fmt"
	"slices"
)

// runner is one model runner.
type runner struct {
	sim  *simulation
	name string
	// owner is the box that the headroom of the memory belongs to.
	owner int

	weights int
	// out says that boxes send nothing: it is about to load, or loads.
	draining bool
	// dark says that the runner does nothing, missed that boxes have noticed it.
	hung, hangDetected bool
	// drained is called when the last run ends; nil while nobody waits for that.
	onDrained func()

	prefilling     bool
	urgent, normal []*job
	running        int
	// runs are the prompts that are read or answered.
	active []*job
	// held is the memory of runs, kept that of parts, the last used last.
	activeTokens float64
	cached       []cachedContext

	// work is what each box has here now, and told what it last told the others.
	work, reported []boxWork
	// toldByAll is the sum of told.
	reportedTotal boxWork
	// granted is what the owner of the runner gave places to since boxes last told.
	reserved boxWork
}

// keptPart is a part in a runner's memory.
type cachedContext struct {
	key    contextKey
	tokens float64
}

// job is a prompt at a runner.
type job struct {
	call *call
	// shared says that the shared part is to be read unless the runner keeps it.
	prefillShared bool
	// saveTo keeps the shared part when it has been read.
	saveTo *store
	// handed is when the runner got it, endsAt when its answer ends if no other prompt is
	// read meanwhile. Lost ones are on a runner that went dark.
	queuedAt, finishAt float64
	streaming, lost    bool
}

func newRunner(sim *simulation, number int) *runner {
	return &runner{
		sim: sim, name: fmt.Sprint("runner-", number), owner: number % sim.site.Boxes, weights: firstWeights,
		work: make([]boxWork, sim.site.Boxes), reported: make([]boxWork, sim.site.Boxes),
	}
}

// tell lets other boxes know what each box has here now.
func (r *runner) report() {
	r.reserved = boxWork{}
	r.reportedTotal = boxWork{}
	for box, work := range r.work {
		r.reported[box] = work
		r.reportedTotal.add(work)
	}
}

// seenBy gives the work here as a box knows it: its own as it is, that of others as told.
func (r *runner) knownTo(box int) boxWork {
	seen := r.reportedTotal
	seen.sub(r.reported[box])
	seen.add(r.work[box])
	return seen
}

// take takes a prompt in.
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

// readNext begins to read the next prompt, if there are a slot and memory for it.
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
		j.prefillShared = true // it waited for so long that what was fetched was thrown away
		r.sim.result.lateFetches++
	}
	tokens := j.call.ownTokens
	if j.prefillShared && !r.touch(j.call.keyFor(r.weights)) {
		tokens += j.call.sharedTokens()
	} else {
		j.prefillShared = false
	}
	reading := tokens / r.sim.site.PrefillRate
	if r.sim.site.Interleaved {
		for _, other := range r.active {
			other.finishAt += reading
		}
	}
	r.sim.schedule(reading+r.stepMillis(), func() { r.prefillDone(j) })
}

// stepMillis is how long a step of the batch takes now.
func (r *runner) stepMillis() float64 {
	return r.sim.site.StepMillis + r.sim.site.StepMillisPerRun*float64(r.running)
}

// wasRead ends the reading of a prompt: its answer begins.
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

// ended ends a run.
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

// tellDrained tells who waits for the end of the last run, if that was it.
func (r *runner) notifyDrained() {
	if r.onDrained != nil && r.running == 0 && len(r.urgent)+len(r.normal) == 0 {
		drained := r.onDrained
		r.onDrained = nil
		drained()
	}
}

// uses reports whether a part is kept here, which is then the last used.
func (r *runner) touch(p contextKey) bool {
	for i, kept := range r.cached {
		if kept.key == p {
			r.cached = append(append(r.cached[:i:i], r.cached[i+1:]...), kept)
			return true
		}
	}
	return false
}

// keep keeps a part that was read or fetched.
func (r *runner) cache(p contextKey, tokens float64) {
	if !r.touch(p) {
		r.cached = append(r.cached, cachedContext{p, tokens})
	}
	r.evict()
}

// makeRoom drops the parts unused for longest.
func (r *runner) evict() {
	total := r.activeTokens
	for _, kept := range r.cached {
		total += kept.tokens
	}
	for len(r.cached) > 0 && total > r.sim.site.MemoryTokens {
		total -= r.cached[0].tokens
		r.cached = r.cached[1:]
	}
}

// boxWork is what one box has at a runner.
type boxWork struct{ calls, pending, held int }

func (b *boxWork) add(other boxWork) {
	b.calls, b.pending, b.held = b.calls+other.calls, b.pending+other.pending, b.held+other.held
}

func (b *boxWork) sub(other boxWork) {
	b.add(boxWork{-other.calls, -other.pending, -other.held})
}
