// The world: what a play holds, how it is set up from a site, a day and a seed, and what
// happens at moments that are known from the start.

package sitebench

import (
	"fmt"
	"math/rand/v2"

	"github.com/cometlock/cometlock/internal/retire"
)

// part names a shared context as made by a version of the weights.
type part struct {
	class, thing, weights int
}

// thing is a shared context, whatever version of the weights makes it.
type thing struct {
	tokens float64
	// fetchedFor and freedAfter are the milliseconds after newer weights until which it
	// is fetched and after which it is freed, by the rule that boxes go by.
	fetchedFor, freedAfter float64
}

// newThing makes a shared context of a class, of a random size.
func (w *world) newThing(class, number int) thing {
	id := fmt.Sprintf("%d/%d", class, number)
	return thing{
		tokens:     w.site.Classes[class].SharedTokens.draw(w.random),
		fetchedFor: float64(retire.FetchWindow(id).Milliseconds()), freedAfter: float64(retire.FreeDelay(id).Milliseconds()),
	}
}

// thingOf gives the context that a part was made of.
func (w *world) thingOf(p part) thing { return w.things[p.class][p.thing] }

// number gives a number that a shared context has for itself, whatever the weights.
func (p part) number() uint64 { return uint64(p.class*classSpan+p.thing) * oddMultiplier }

// classSpan keeps the numbers of classes apart: no class has as many contexts.
const classSpan = 1_000_003

const millisPerSecond = 1000

// world is one play of a day on a site. Times are milliseconds.
type world struct {
	site   Site
	day    Scenario
	policy Policy
	random *rand.Rand

	now     float64
	planned events
	count   int

	runners []*runner
	stores  []*store
	// things are the shared contexts, by class.
	things [][]thing
	// namedAt is when each version after the first was named.
	namedAt map[int]float64
	newest  int
	// read holds the parts that some runner has read.
	read map[part]bool
	// saving holds until when a part counts as being saved.
	saving map[part]float64
	// arrivals is what each box observes of its own calls.
	arrivals []arrivals
	result   Result
}

// stream is the second half of each seed of random choices; any number would do.
const stream = 7

// endMillis is when the day ends: no call comes after it, though those that came are
// still answered.
func (w *world) endMillis() float64 { return w.site.Seconds * millisPerSecond }

// Simulate plays a day on a site by a policy; a seed gives the same result each time.
func Simulate(site Site, day Scenario, policy Policy, seed uint64) Result {
	w := &world{
		site: site, day: day, policy: policy, random: rand.New(rand.NewPCG(seed, stream)), newest: firstWeights,
		namedAt: map[int]float64{}, read: map[part]bool{}, saving: map[part]float64{},
	}
	w.arrivals = make([]arrivals, site.Boxes)
	for number := range site.Runners {
		w.runners = append(w.runners, newRunner(w, number))
	}
	for _, box := range site.StoreBoxes {
		w.stores = append(w.stores, newStore(box, day.StoreCapacity))
	}
	for c, class := range site.Classes {
		w.things = append(w.things, nil)
		for number := range class.Contexts {
			w.things[c] = append(w.things[c], w.newThing(c, number))
		}
		w.planCalls(c)
	}
	w.planTells()
	w.planWeights()
	w.planDark()
	w.playAll()
	w.result.finish(w)
	return w.result
}

// planCalls plans the calls of a class, at random moments.
func (w *world) planCalls(class int) {
	most := w.day.mostLoad()
	rate := w.site.Classes[class].PerSecond * most / millisPerSecond
	for at := w.random.ExpFloat64() / rate; at < w.endMillis(); at += w.random.ExpFloat64() / rate {
		if load := w.day.loadAt(at); load < most && w.random.Float64() > load/most {
			continue
		}
		c := w.newCall(class)
		w.after(at, c.arrive)
	}
}

// planDark plans the runners that do nothing for a while.
func (w *world) planDark() {
	for _, r := range w.runners[:int(w.day.HungShare*float64(len(w.runners)))] {
		w.after(w.day.HungFrom*millisPerSecond, r.goDark)
		w.after(w.day.HungUntil*millisPerSecond, r.comeBack)
	}
}

// planTells lets boxes know each other's work at regular moments.
func (w *world) planTells() {
	for at := 0.0; at < w.endMillis(); at += w.site.ReportMillis {
		w.after(at, func() {
			for _, r := range w.runners {
				r.tell()
			}
		})
	}
}
