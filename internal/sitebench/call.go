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
	waitStep = 10.0
	// outdatedPart is the part of the aim that a call waits longer for the newest
	// weights, at the end of the time in which older ones are of use.
	outdatedPart = 0.3
)

// A caller that is refused is told to come back after so many times its aim: at least
// leastComeBack, and up to comeBackSpread more, so that not all come back at once.
const (
	leastComeBack  = 1
	comeBackSpread = 2
)

// call is one call of a caller, with its second try if it has one.
type call struct {
	world *world
	class int
	thing int
	box   int
	// own is the prompt besides its shared part, in tokens, and steps the length of its
	// answer.
	own   float64
	steps float64
	// spread breaks ties.
	spread uint64

	began float64
	// lookUntil ends the waiting for room of this try; tries counts them.
	lookUntil float64
	tries     int
	pending   int // at its runner, until it has been read
	// workMillis is the work that it brings its runner.
	workMillis float64
	// asks says that owners give this try its place.
	asks bool
}

func (w *world) newCall(class int) *call {
	kind := w.site.Classes[class]
	return &call{
		world: w, class: class, thing: w.random.IntN(kind.Contexts), box: w.random.IntN(w.site.Boxes),
		own: kind.OwnTokens.draw(w.random), steps: kind.Steps.draw(w.random), spread: w.random.Uint64(),
	}
}

func (c *call) kind() Class                 { return c.world.site.Classes[c.class] }
func (c *call) shared() float64             { return c.world.things[c.class][c.thing].tokens }
func (c *call) tokens() float64             { return c.own + c.shared() }
func (c *call) partOf(weights int) part     { return part{c.class, c.thing, weights} }
func (c *call) since(began float64) float64 { return c.world.now - began }

// arrive begins a try.
func (c *call) arrive() {
	if c.tries++; c.tries == 1 {
		c.began = c.world.now
		c.world.result.owed += c.kind().Worth
		c.world.result.calls++
	}
	c.lookUntil = c.world.now + placing.WaitFraction*c.kind().TargetMillis
	c.look()
}

// look places the call, or waits a little for room, or refuses it.
func (c *call) look() {
	w := c.world
	if chosen := w.policy.choose(c); chosen != nil {
		c.handOver(chosen)
		return
	}
	if w.now < c.lookUntil {
		w.after(waitStep, c.look)
		return
	}
	// The caller comes back once, when it was told to.
	wait := c.kind().TargetMillis * (leastComeBack + comeBackSpread*w.random.Float64())
	if c.tries == 1 && c.since(c.began)+wait < c.kind().PatienceMillis {
		w.after(wait, c.arrive)
		return
	}
	w.result.refused++
}

// handOver gives the call to a runner.
func (c *call) handOver(r *runner) {
	j, begins := c.newJob(r)
	r.work[c.box].add(c.work())
	c.world.arrivals[c.box].note(c.world.now, c.workMillis)
	if c.asks {
		r.granted.add(c.work())
	}
	c.world.after(begins+c.world.site.FirstEventMillis, func() { r.take(j) })
}

// work is what the call is to its runner when it gets there.
func (c *call) work() boxWork { return boxWork{1, c.pending, int(c.tokens())} }

// newJob makes the prompt as a runner gets it, and gives the milliseconds until its shared
// part is there: it is fetched if a store box keeps it, and otherwise read and saved.
func (c *call) newJob(r *runner) (j *job, begins float64) {
	w := c.world
	p := c.partOf(r.weights)
	j = &job{call: c}
	c.pending = int(c.own)
	switch from := w.holding(p); {
	case w.policy.clairvoyant && w.read[p]: // nothing has to be moved
	case from != nil:
		ends := from.move(w, c.shared())
		begins = min(ends-w.now, fetchMillis)
		if ends-w.now > fetchMillis {
			j.shared = true
			w.result.lateFetches++
		}
	default:
		j.shared = true
		c.pending = int(c.tokens())
		if r.weights >= w.newest {
			if j.saveTo = w.place(p, c.shared()); j.saveTo != nil {
				w.saving[p] = w.now + savingMillis
			}
		}
	}
	return j, begins
}

// Worth of answers by older weights: a fifth is lost after a moment, and all in the end.
const (
	outdatedMillis = 1500.0
	outdatedLoss   = 0.2
	uselessMillis  = 12_000.0
)

// answered ends the wait for the first event.
func (c *call) answered(r *runner) {
	w, kind := c.world, c.kind()
	r.work[c.box].sub(boxWork{0, c.pending, 0})
	took := c.since(c.began)
	worth := kind.Worth
	switch {
	case took > kind.PatienceMillis:
		worth = 0
		w.result.tooLate++
	case took > kind.TargetMillis:
		worth = kind.LateWorth
		w.result.lateAnswers++
	}
	if newer, named := w.namedAt[r.weights+1]; named {
		switch age := w.now - newer; {
		case age > uselessMillis:
			worth = 0
		case age > outdatedMillis:
			worth *= 1 - outdatedLoss
		}
	}
	w.result.earned += worth
	w.result.add(c.class, took)
}

// describe writes down a runner as a box knows it, for the policy.
func (c *call) describe(r *runner, owner bool) placing.Candidate {
	seen := r.seenBy(c.box)
	if owner {
		seen = r.toldByAll
		seen.add(r.granted)
	}
	work := c.own
	if c.world.holding(c.partOf(r.weights)) == nil {
		work = c.tokens()
	}
	candidate := placing.Candidate{
		Name: r.name, InFlight: seen.calls, Slots: c.world.site.Slots, PendingTokens: seen.pending, HeldTokens: seen.held, PrefillTokens: int(work),
		Headroom: r.owner == c.box || owner,
	}
	if newer, named := c.world.namedAt[r.weights+1]; named {
		candidate.ExtraCost = outdatedPart * c.kind().TargetMillis * math.Min(1, (c.world.now-newer)/uselessMillis)
	}
	return candidate
}

// query asks the policy for this call as a box does.
func (c *call) query() placing.Query {
	site := c.world.site
	query := placing.Query{
		TokenCost: 1 / site.PrefillRate, TieBreaker: c.spread, PrefillLimit: placing.PrefillFraction * c.kind().TargetMillis, Tokens: int(c.tokens()),
	}
	if c.tokens() >= placing.MinAffinityTokens {
		query.Memory = int(site.MemoryTokens)
	}
	if c.shared() >= placing.MinAffinityTokens && c.world.holding(c.partOf(c.world.newest)) == nil {
		query.AffinityKey = c.partOf(c.world.newest).number() | 1 // zero would be no home
	}
	return query
}
