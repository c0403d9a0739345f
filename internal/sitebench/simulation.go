// The world: what a play holds, how it is set up from a site, a day and a seed, and what
// happens at moments that are known from the start.

package sitebench

import (
	"fmt"
	"math/rand/v2"

	"github.com/cometlock/cometlock/internal/retire"
)

// part names a shared context as made by a version of the weights.
type contextKey struct {
	class, context, weights int
}

// thing is a shared context, whatever version of the weights makes it.
type sharedContext struct {
	tokens float64
	// fetchedFor and freedAfter are the milliseconds after newer weights until which it
	// is fetched and after which it is freed, by the rule that boxes go by.
	fetchWindow, freeDelay float64
}

// newThing makes a shared context of a class, of a random size.
func (sim *simulation) newSharedContext(class, number int) sharedContext {
	id := fmt.Sprintf("%d/%d", class, number)
	return sharedContext{
		tokens:      sim.site.Classes[class].SharedTokens.sample(sim.random),
		fetchWindow: float64(retire.FetchWindow(id).Milliseconds()), freeDelay: float64(retire.FreeDelay(id).Milliseconds()),
	}
}

// thingOf gives the context that a part was made of.
func (sim *simulation) contextOf(p contextKey) sharedContext { return sim.contexts[p.class][p.context] }

// number gives a number that a shared context has for itself, whatever the weights.
func (k contextKey) hash() uint64 { return uint64(k.class*classStride+k.context) * goldenGamma }

// classSpan keeps the numbers of classes apart: no class has as many contexts.
const classStride = 1_000_003

const millisPerSecond = 1000

// world is one play of a day on a site. Times are milliseconds.
type simulation struct {
	site     Site
	scenario Scenario
	policy   Policy
	random   *rand.Rand

	now      float64
	pending  events
	sequence int

	runners []*runner
	stores  []*store
	// things are the shared contexts, by class.
	contexts [][]sharedContext
	// namedAt is when each version after the first was named.
	announcedAt map[int]float64
	newest      int
	// read holds the parts that some runner has read.
	prefilled map[contextKey]bool
	// saving holds until when a part counts as being saved.
	saving map[contextKey]float64
	// arrivals is what each box observes of its own calls.
	arrivals []arrivalRate
	result   Result
}

// stream is the second half of each seed of random choices; any number would do.
const randomStream = 7

// endMillis is when the day ends: no call comes after it, though those that came are
// still answered.
func (sim *simulation) endMillis() float64 { return sim.site.Seconds * millisPerSecond }

// Simulate plays a day on a site by a policy; a seed gives the same result each time.
func Simulate(site Site, scenario Scenario, policy Policy, seed uint64) Result {
	sim := &simulation{
		site: site, scenario: scenario, policy: policy, random: rand.New(rand.NewPCG(seed, randomStream)), newest: firstWeights,
		announcedAt: map[int]float64{}, prefilled: map[contextKey]bool{}, saving: map[contextKey]float64{},
	}
	sim.arrivals = make([]arrivalRate, site.Boxes)
	for number := range site.Runners {
		sim.runners = append(sim.runners, newRunner(sim, number))
	}
	for _, box := range site.StoreBoxes {
		sim.stores = append(sim.stores, newStore(box, scenario.StoreCapacity))
	}
	for c, class := range site.Classes {
		sim.contexts = append(sim.contexts, nil)
		for number := range class.Contexts {
			sim.contexts[c] = append(sim.contexts[c], sim.newSharedContext(c, number))
		}
		sim.scheduleCalls(c)
	}
	sim.scheduleReports()
	sim.scheduleWeights()
	sim.scheduleHangs()
	sim.runAll()
	sim.result.finish(sim)
	return sim.result
}

// planCalls plans the calls of a class, at random moments.
func (sim *simulation) scheduleCalls(class int) {
	most := sim.scenario.maxLoad()
	rate := sim.site.Classes[class].PerSecond * most / millisPerSecond
	for at := sim.random.ExpFloat64() / rate; at < sim.endMillis(); at += sim.random.ExpFloat64() / rate {
		if load := sim.scenario.loadAt(at); load < most && sim.random.Float64() > load/most {
			continue
		}
		c := sim.newCall(class)
		sim.schedule(at, c.arrive)
	}
}

// planDark plans the runners that do nothing for a while.
func (sim *simulation) scheduleHangs() {
	for _, r := range sim.runners[:int(sim.scenario.HungShare*float64(len(sim.runners)))] {
		sim.schedule(sim.scenario.HungFrom*millisPerSecond, r.hang)
		sim.schedule(sim.scenario.HungUntil*millisPerSecond, r.recover)
	}
}

// planTells lets boxes know each other's work at regular moments.
func (sim *simulation) scheduleReports() {
	for at := 0.0; at < sim.endMillis(); at += sim.site.ReportMillis {
		sim.schedule(at, func() {
			for _, r := range sim.runners {
				r.report()
			}
		})
	}
}
