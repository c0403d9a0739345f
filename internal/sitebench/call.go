// A call is placed by a box, possibly after waiting for a free runner. Its shared part is fetched
// or prefilled, and the worth of its answer depends on its class and its latency.

package sitebench

import (
	"math"

	"github.com/cometlock/cometlock/internal/placing"
)

// Constants of the boxes, with the same meaning as in package gateway.
const (
	// retryMillis is the time in milliseconds between two attempts to place a waiting call.
	retryMillis = 10.0
	// outdatedCostShare is how much longer a call may wait for the newest weights: the largest
	// extra cost of a runner with outdated weights, as a share of the call's target latency. The
	// cost grows to this value over the time in which answers by older weights still have worth.
	outdatedCostShare = 0.3
)

// A caller that is refused retries after a multiple of its target latency: at least minRetryAfter,
// and up to retryAfterSpread more, so that the callers do not retry all at once.
const (
	minRetryAfter    = 1
	retryAfterSpread = 2
)

// call is one call, including its second try if it has one.
type call struct {
	sim     *simulation
	class   int
	context int
	box     int
	// ownTokens is the length of the prompt without its shared part. steps is the length of the
	// answer in steps of the runner's batch.
	ownTokens float64
	steps     float64
	// tieBreaker breaks ties between runners.
	tieBreaker uint64

	startedAt float64
	// waitUntil is when this try stops waiting for a runner. tries counts the tries.
	waitUntil float64
	tries     int
	pending   int // prompt tokens at its runner, until they are prefilled
	// workMillis is the prefill time that the call adds to its runner.
	workMillis float64
	// viaOwner means that the owners of the runners place this try.
	viaOwner bool
}

func (sim *simulation) newCall(class int) *call {
	config := sim.site.Classes[class]
	return &call{
		sim: sim, class: class, context: sim.random.IntN(config.Contexts), box: sim.random.IntN(sim.site.Boxes),
		ownTokens: config.OwnTokens.sample(sim.random), steps: config.Steps.sample(sim.random), tieBreaker: sim.random.Uint64(),
	}
}

func (c *call) classConfig() Class            { return c.sim.site.Classes[c.class] }
func (c *call) sharedTokens() float64         { return c.sim.contexts[c.class][c.context].tokens }
func (c *call) tokens() float64               { return c.ownTokens + c.sharedTokens() }
func (c *call) keyFor(weights int) contextKey { return contextKey{c.class, c.context, weights} }
func (c *call) since(start float64) float64   { return c.sim.now - start }

// arrive starts a try.
func (c *call) arrive() {
	if c.tries++; c.tries == 1 {
		c.startedAt = c.sim.now
		c.sim.result.offeredWorth += c.classConfig().Worth
		c.sim.result.calls++
	}
	c.waitUntil = c.sim.now + placing.WaitFraction*c.classConfig().TargetMillis
	c.place()
}

// place sends the call to a runner, retries shortly afterwards if there is none, or refuses the
// call when its waiting time is over.
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
	// A refused caller retries once, after the delay that the box returned.
	wait := c.classConfig().TargetMillis * (minRetryAfter + retryAfterSpread*sim.random.Float64())
	if c.tries == 1 && c.since(c.startedAt)+wait < c.classConfig().PatienceMillis {
		sim.schedule(wait, c.arrive)
		return
	}
	sim.result.refused++
}

func (c *call) send(r *runner) {
	j, delay := c.newJob(r)
	r.work[c.box].add(c.work())
	c.sim.arrivals[c.box].record(c.sim.now, c.workMillis)
	if c.viaOwner {
		r.reserved.add(c.work())
	}
	c.sim.schedule(delay+c.sim.site.FirstEventMillis, func() { r.enqueue(j) })
}

// work returns the load that the call adds to its runner on arrival.
func (c *call) work() boxWork { return boxWork{1, c.pending, int(c.tokens())} }

// newJob creates the job for a runner and returns the milliseconds until its shared part is
// available. The part is fetched if a store box holds it, and is otherwise prefilled and saved.
func (c *call) newJob(r *runner) (j *job, delay float64) {
	sim := c.sim
	p := c.keyFor(r.weights)
	j = &job{call: c}
	c.pending = int(c.ownTokens)
	switch from := sim.storeHolding(p); {
	case sim.policy.clairvoyant && sim.prefilled[p]: // no transfer needed
	case from != nil:
		ends := from.transfer(sim, c.sharedTokens())
		delay = min(ends-sim.now, fetchMillis)
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
	return j, delay
}

// Worth of answers by outdated weights: a fifth is lost after outdatedMillis, and all after
// worthlessMillis.
const (
	outdatedMillis  = 1500.0
	outdatedLoss    = 0.2
	worthlessMillis = 12_000.0
)

// firstEvent records the first event of the answer.
func (c *call) firstEvent(r *runner) {
	sim, config := c.sim, c.classConfig()
	r.work[c.box].sub(boxWork{0, c.pending, 0})
	elapsed := c.since(c.startedAt)
	worth := config.Worth
	switch {
	case elapsed > config.PatienceMillis:
		worth = 0
		sim.result.abandoned++
	case elapsed > config.TargetMillis:
		worth = config.LateWorth
		sim.result.lateAnswers++
	}
	if announced, outdated := sim.announcedAt[r.weights+1]; outdated {
		switch age := sim.now - announced; {
		case age > worthlessMillis:
			worth = 0
		case age > outdatedMillis:
			worth *= 1 - outdatedLoss
		}
	}
	sim.result.earnedWorth += worth
	sim.result.add(c.class, elapsed)
}

// candidateFor returns the state of a runner as a box knows it, for the policy. An owner uses the
// reports of all boxes and its own reservations.
func (c *call) candidateFor(r *runner, owner bool) placing.Candidate {
	known := r.knownTo(c.box)
	if owner {
		known = r.reportedTotal
		known.add(r.reserved)
	}
	work := c.ownTokens
	if c.sim.storeHolding(c.keyFor(r.weights)) == nil {
		work = c.tokens()
	}
	candidate := placing.Candidate{
		Name: r.name, InFlight: known.calls, Slots: c.sim.site.Slots, PendingTokens: known.pending, HeldTokens: known.held, PrefillTokens: int(work),
		Headroom: r.owner == c.box || owner,
	}
	if announced, outdated := c.sim.announcedAt[r.weights+1]; outdated {
		candidate.ExtraCost = outdatedCostShare * c.classConfig().TargetMillis * math.Min(1, (c.sim.now-announced)/worthlessMillis)
	}
	return candidate
}

// query returns the placement query that a box makes for this call.
func (c *call) query() placing.Query {
	site := c.sim.site
	query := placing.Query{
		TokenCost: 1 / site.PrefillRate, TieBreaker: c.tieBreaker, PrefillLimit: placing.PrefillFraction * c.classConfig().TargetMillis, Tokens: int(c.tokens()),
	}
	if c.tokens() >= placing.MinAffinityTokens {
		query.Memory = int(site.MemoryTokens)
	}
	if c.sharedTokens() >= placing.MinAffinityTokens && c.sim.storeHolding(c.keyFor(c.sim.newest)) == nil {
		query.AffinityKey = c.keyFor(c.sim.newest).hash() | 1 // zero would mean no affinity
	}
	return query
}
