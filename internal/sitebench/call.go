// One call: it is placed by a box, perhaps after a wait for room, its shared part is
// fetched or read, and its answer is worth what the class says.

package sitebench

import (
	"math"

	"github.com/cometlock/cometlock/internal/placing"
)

// What boxes do with a call here as in package gateway.
const (
	// waitStep is the time in milliseconds between two looks for room.
	retryMillis = 10.0
	// outdatedPart is the part of the aim that a call waits longer for the newest
	// weights, at the end of the time in which older ones are of use.
	outdatedCostShare = 0.3
)

// A caller that is refused is told to come back after so many times its aim: at least
// leastComeBack, and up to comeBackSpread more, so that not all come back at once.
const (
	minRetryAfter    = 1
	retryAfterSpread = 2
)

// call is one call of a caller, with its second try if it has one.
type call struct {
	sim     *simulation
	class   int
	context int
	box     int
	// own is the prompt besides its shared part, in tokens, and steps the length of its
	// answer.
	ownTokens float64
	steps     float64
	// spread breaks ties.
	tieBreaker uint64

	startedAt float64
	// lookUntil ends the waiting for room of this try; tries counts them.
	waitUntil float64
	tries     int
	pending   int // at its runner, until it has been read
	// workMillis is the work that it brings its runner.
	workMillis float64
	// asks says that owners give this try its place.
	viaOwner bool
}

func (sim *simulation) newCall(class int) *call {
	kind := sim.site.Classes[class]
	return &call{
		sim: sim, class: class, context: sim.random.IntN(kind.Contexts), box: sim.random.IntN(sim.site.Boxes),
		ownTokens: kind.OwnTokens.sample(sim.random), steps: kind.Steps.sample(sim.random), tieBreaker: sim.random.Uint64(),
	}
}

func (c *call) classConfig() Class            { return c.sim.site.Classes[c.class] }
func (c *call) sharedTokens() float64         { return c.sim.contexts[c.class][c.context].tokens }
func (c *call) tokens() float64               { return c.ownTokens + c.sharedTokens() }
func (c *call) keyFor(weights int) contextKey { return contextKey{c.class, c.context, weights} }
func (c *call) since(began float64) float64   { return c.sim.now - began }

// arrive begins a try.
func (c *call) arrive() {
	if c.tries++; c.tries == 1 {
		c.startedAt = c.sim.now
		c.sim.result.offeredWorth += c.classConfig().Worth
		c.sim.result.calls++
	}
	c.waitUntil = c.sim.now + placing.WaitFraction*c.classConfig().TargetMillis
	c.place()
}

// look places the call, or waits a little for room, or refuses it.
func (c *call) place() {
	sim := c.sim
	if chosen := sim.policy.choose(c); chosen != nil {
		c.send(chosen)
		return
	}
	if sim.now < c.waitUntil {
		sim.schedule(retryMillis, c.place)
		return
	}
	// The caller comes back once, when it was told to.
	wait := c.classConfig().TargetMillis * (minRetryAfter + retryAfterSpread*sim.random.Float64())
	if c.tries == 1 && c.since(c.startedAt)+wait < c.classConfig().PatienceMillis {
		sim.schedule(wait, c.arrive)
		return
	}
	sim.result.refused++
}

// handOver gives the call to a runner.
func (c *call) send(r *runner) {
	j, begins := c.newJob(r)
	r.work[c.box].add(c.work())
	c.sim.arrivals[c.box].record(c.sim.now, c.workMillis)
	if c.viaOwner {
		r.reserved.add(c.work())
	}
	c.sim.schedule(begins+c.sim.site.FirstEventMillis, func() { r.enqueue(j) })
}

// work is what the call is to its runner when it gets there.
func (c *call) work() boxWork { return boxWork{1, c.pending, int(c.tokens())} }

// newJob makes the prompt as a runner gets it, and gives the milliseconds until its shared
// part is there: it is fetched if a store box keeps it, and otherwise read and saved.
func (c *call) newJob(r *runner) (j *job, begins float64) {
	sim := c.sim
	p := c.keyFor(r.weights)
	j = &job{call: c}
	c.pending = int(c.ownTokens)
	switch from := sim.storeHolding(p); {
	case sim.policy.clairvoyant && sim.prefilled[p]: // nothing has to be moved
	case from != nil:
		ends := from.transfer(sim, c.sharedTokens())
		begins = min(ends-sim.now, fetchMillis)
		if ends-sim.now > fetchMillis {
			j.prefillShared = true
			sim.result.lateFetches++
		}
	default:
		j.prefillShared = true
		c.pending = int(c.tokens())
		if r.weights >= sim.newest {
			if j.saveTo = sim.chooseStore(p, c.sharedTokens()); j.saveTo != nil {
				sim.saving[p] = sim.now + savingMillis
			}
		}
	}
	return j, begins
}

// Worth of answers by older weights: a fifth is lost after a moment, and all in the end.
const (
	outdatedMillis  = 1500.0
	outdatedLoss    = 0.2
	worthlessMillis = 12_000.0
)

// answered ends the wait for the first event.
func (c *call) firstEvent(r *runner) {
	sim, kind := c.sim, c.classConfig()
	r.work[c.box].sub(boxWork{0, c.pending, 0})
	took := c.since(c.startedAt)
	worth := kind.Worth
	switch {
	case took > kind.PatienceMillis:
		worth = 0
		sim.result.abandoned++
	case took > kind.TargetMillis:
		worth = kind.LateWorth
		sim.result.lateAnswers++
	}
	if newer, named := sim.announcedAt[r.weights+1]; named {
		switch age := sim.now - newer; {
		case age > worthlessMillis:
			worth = 0
		case age > outdatedMillis:
			worth *= 1 - outdatedLoss
		}
	}
	sim.result.earnedWorth += worth
	sim.result.add(c.class, took)
}

// describe writes down a runner as a box knows it, for the policy.
func (c *call) candidateFor(r *runner, owner bool) placing.Candidate {
	seen := r.knownTo(c.box)
	if owner {
		seen = r.reportedTotal
		seen.add(r.reserved)
	}
	work := c.ownTokens
	if c.sim.storeHolding(c.keyFor(r.weights)) == nil {
		work = c.tokens()
	}
	candidate := placing.Candidate{
		Name: r.name, InFlight: seen.calls, Slots: c.sim.site.Slots, PendingTokens: seen.pending, HeldTokens: seen.held, PrefillTokens: int(work),
		Headroom: r.owner == c.box || owner,
	}
	if newer, named := c.sim.announcedAt[r.weights+1]; named {
		candidate.ExtraCost = outdatedCostShare * c.classConfig().TargetMillis * math.Min(1, (c.sim.now-newer)/worthlessMillis)
	}
	return candidate
}

// query asks the policy for this call as a box does.
func (c *call) query() placing.Query {
	site := c.sim.site
	query := placing.Query{
		TokenCost: 1 / site.PrefillRate, TieBreaker: c.tieBreaker, PrefillLimit: placing.PrefillFraction * c.classConfig().TargetMillis, Tokens: int(c.tokens()),
	}
	if c.tokens() >= placing.MinAffinityTokens {
		query.Memory = int(site.MemoryTokens)
	}
	if c.sharedTokens() >= placing.MinAffinityTokens && c.sim.storeHolding(c.keyFor(c.sim.newest)) == nil {
		query.AffinityKey = c.keyFor(c.sim.newest).hash() | 1 // zero would be no home
	}
	return query
}
