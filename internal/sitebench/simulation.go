// The state of a simulation, its setup from a site, a scenario and a seed, and the events that are
// scheduled from the start.

package sitebench

import (
	"fmt"
	"math/rand/v2"

	"github.com/cometlock/cometlock/internal/retire"
)

// contextKey identifies a shared context computed with one version of the weights, called a part.
type contextKey struct {
	class, context, weights int
}

// sharedContext is a shared context, independent of the version of the weights.
type sharedContext struct {
	tokens float64
	// fetchWindow and freeDelay are the milliseconds after newer weights until which the context's
	// part is fetched and after which it is freed, as package retire defines them.
	fetchWindow, freeDelay float64
}

// newSharedContext creates a shared context of a class, with a random size.
func (sim *simulation) newSharedContext(class, number int) sharedContext {
	id := fmt.Sprintf("%d/%d", class, number)
	return sharedContext{
		tokens:      sim.site.Classes[class].SharedTokens.sample(sim.random),
		fetchWindow: float64(retire.FetchWindow(id).Milliseconds()), freeDelay: float64(retire.FreeDelay(id).Milliseconds()),
	}
}

// contextOf returns the shared context of a part.
func (sim *simulation) contextOf(p contextKey) sharedContext { return sim.contexts[p.class][p.context] }

// hash returns a hash of the shared context, independent of the weights.
func (k contextKey) hash() uint64 { return uint64(k.class*classStride+k.context) * goldenGamma }

// classStride separates the hashes of different classes: no class has as many contexts.
const classStride = 1_000_003

const millisPerSecond = 1000

// simulation runs one scenario on a site. Times are in milliseconds.
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
	// contexts are the shared contexts, by class.
	contexts [][]sharedContext
	// announcedAt is when each version after the first was announced.
	announcedAt map[int]float64
	newest      int
	// prefilled holds the parts that a runner has prefilled.
	prefilled map[contextKey]bool
	// saving holds the time until which a part counts as being saved.
	saving map[contextKey]float64
	// arrivals holds what each box has placed itself.
	arrivals []arrivalRate
	result   Result
}

// randomStream is the second half of the seed of the random generator; its value is arbitrary.
const randomStream = 7

// endMillis returns the end of the scenario. No calls arrive after it, but earlier ones are still
// answered.
func (sim *simulation) endMillis() float64 { return sim.site.Seconds * millisPerSecond }

// Simulate runs a scenario on a site with a policy. The same seed gives the same result each time.
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

// scheduleCalls schedules the calls of a class as a Poisson process.
func (sim *simulation) scheduleCalls(class int) {
	peak := sim.scenario.maxLoad()
	rate := sim.site.Classes[class].PerSecond * peak / millisPerSecond
	for at := sim.random.ExpFloat64() / rate; at < sim.endMillis(); at += sim.random.ExpFloat64() / rate {
		if load := sim.scenario.loadAt(at); load < peak && sim.random.Float64() > load/peak {
			continue
		}
		c := sim.newCall(class)
		sim.schedule(at, c.arrive)
	}
}

// scheduleHangs schedules the runners that hang for a while.
func (sim *simulation) scheduleHangs() {
	for _, r := range sim.runners[:int(sim.scenario.HungShare*float64(len(sim.runners)))] {
		sim.schedule(sim.scenario.HungFrom*millisPerSecond, r.hang)
		sim.schedule(sim.scenario.HungUntil*millisPerSecond, r.recover)
	}
}

// scheduleReports schedules the load reports between boxes at regular intervals.
func (sim *simulation) scheduleReports() {
	for at := 0.0; at < sim.endMillis(); at += sim.site.ReportMillis {
		sim.schedule(at, func() {
			for _, r := range sim.runners {
				r.report()
			}
		})
	}
}
