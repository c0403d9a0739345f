// Runners: they read one prompt after the other, urgent ones first, answer in batches,
// and keep shared context until its memory is wanted.

package sitebench

import (
	"fmt"
	"slices"
)

// runner is one model runner.
type runner struct {
	world *world
	name  string
	// owner is the box that the headroom of the memory belongs to.
	owner int

	weights int
	// out says that boxes send nothing: it is about to load, or loads.
	out bool
	// dark says that the runner does nothing, missed that boxes have noticed it.
	dark, missed bool
	// drained is called when the last run ends; nil while nobody waits for that.
	drained func()

	reading        bool
	urgent, others []*job
	running        int
	// runs are the prompts that are read or answered.
	runs []*job
	// held is the memory of runs, kept that of parts, the last used last.
	held float64
	kept []keptPart

	// work is what each box has here now, and told what it last told the others.
	work, told []boxWork
	// toldByAll is the sum of told.
	toldByAll boxWork
	// granted is what the owner of the runner gave places to since boxes last told.
	granted boxWork
}

// keptPart is a part in a runner's memory.
type keptPart struct {
	part   part
	tokens float64
}

// job is a prompt at a runner.
type job struct {
	call *call
	// shared says that the shared part is to be read unless the runner keeps it.
	shared bool
	// saveTo keeps the shared part when it has been read.
	saveTo *store
	// handed is when the runner got it, endsAt when its answer ends if no other prompt is
	// read meanwhile. Lost ones are on a runner that went dark.
	handed, endsAt float64
	answered, lost bool
}

func newRunner(w *world, number int) *runner {
	return &runner{
		world: w, name: fmt.Sprint("runner-", number), owner: number % w.site.Boxes, weights: firstWeights,
		work: make([]boxWork, w.site.Boxes), told: make([]boxWork, w.site.Boxes),
	}
}

// tell lets other boxes know what each box has here now.
func (r *runner) tell() {
	r.granted = boxWork{}
	r.toldByAll = boxWork{}
	for box, work := range r.work {
		r.told[box] = work
		r.toldByAll.add(work)
	}
}

// seenBy gives the work here as a box knows it: its own as it is, that of others as told.
func (r *runner) seenBy(box int) boxWork {
	seen := r.toldByAll
	seen.sub(r.told[box])
	seen.add(r.work[box])
	return seen
}

// take takes a prompt in.
func (r *runner) take(j *job) {
	j.handed = r.world.now
	if r.dark {
		r.lose(j)
		return
	}
	if r.world.site.Classes[j.call.class].Urgent {
		r.urgent = append(r.urgent, j)
	} else {
		r.others = append(r.others, j)
	}
	r.readNext()
}

// readNext begins to read the next prompt, if there are a slot and memory for it.
func (r *runner) readNext() {
	queue := &r.urgent
	if len(*queue) == 0 {
		queue = &r.others
	}
	if r.reading || len(*queue) == 0 || r.running >= r.world.site.Slots {
		return
	}
	j := (*queue)[0]
	if r.running > 0 && r.held+j.call.tokens() > r.world.site.MemoryTokens {
		return
	}
	*queue = (*queue)[1:]
	r.reading = true
	r.running++
	r.runs = append(r.runs, j)
	r.held += j.call.tokens()
	r.makeRoom()
	if r.world.site.Interleaved && !j.shared && r.world.now-j.handed > fetchMillis {
		j.shared = true // it waited for so long that what was fetched was thrown away
		r.world.result.lateFetches++
	}
	tokens := j.call.own
	if j.shared && !r.uses(j.call.partOf(r.weights)) {
		tokens += j.call.shared()
	} else {
		j.shared = false
	}
	reading := tokens / r.world.site.PrefillRate
	if r.world.site.Interleaved {
		for _, other := range r.runs {
			other.endsAt += reading
		}
	}
	r.world.after(reading+r.stepMillis(), func() { r.wasRead(j) })
}

// stepMillis is how long a step of the batch takes now.
func (r *runner) stepMillis() float64 {
	return r.world.site.StepMillis + r.world.site.StepMillisPerRun*float64(r.running)
}

// wasRead ends the reading of a prompt: its answer begins.
func (r *runner) wasRead(j *job) {
	if j.lost {
		return
	}
	w := r.world
	r.reading = false
	p := j.call.partOf(r.weights)
	if j.shared {
		if w.read[p] {
			w.result.again += j.call.shared()
		}
		w.read[p] = true
		w.result.sharedRead += j.call.shared()
		if j.saveTo != nil {
			j.saveTo.save(w, p, j.call.shared())
		}
	}
	r.keep(p, j.call.shared())
	j.answered = true
	j.call.answered(r)
	j.endsAt = w.now + j.call.steps*r.stepMillis()
	w.after(j.call.steps*r.stepMillis(), func() { r.ended(j) })
	r.readNext()
}

// ended ends a run.
func (r *runner) ended(j *job) {
	if j.lost {
		return
	}
	if left := j.endsAt - r.world.now; left > 0 {
		r.world.after(left, func() { r.ended(j) })
		return
	}
	r.running--
	r.runs = slices.DeleteFunc(r.runs, func(run *job) bool { return run == j })
	r.held -= j.call.tokens()
	r.work[j.call.box].sub(boxWork{1, 0, int(j.call.tokens())})
	r.readNext()
	r.tellDrained()
}

// tellDrained tells who waits for the end of the last run, if that was it.
func (r *runner) tellDrained() {
	if r.drained != nil && r.running == 0 && len(r.urgent)+len(r.others) == 0 {
		drained := r.drained
		r.drained = nil
		drained()
	}
}

// uses reports whether a part is kept here, which is then the last used.
func (r *runner) uses(p part) bool {
	for i, kept := range r.kept {
		if kept.part == p {
			r.kept = append(append(r.kept[:i:i], r.kept[i+1:]...), kept)
			return true
		}
	}
	return false
}

// keep keeps a part that was read or fetched.
func (r *runner) keep(p part, tokens float64) {
	if !r.uses(p) {
		r.kept = append(r.kept, keptPart{p, tokens})
	}
	r.makeRoom()
}

// makeRoom drops the parts unused for longest.
func (r *runner) makeRoom() {
	total := r.held
	for _, kept := range r.kept {
		total += kept.tokens
	}
	for len(r.kept) > 0 && total > r.world.site.MemoryTokens {
		total -= r.kept[0].tokens
		r.kept = r.kept[1:]
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
