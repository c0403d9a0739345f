// Package sitebench measures the placing of prompts in virtual time: the policy that
// entry boxes use (package placing, and the times of package retire) and others, against
// a model of a site with runners, store boxes, several boxes that know of each other late,
// and new weights.
//
// It shows which way a change of the policy goes, in seconds and without noise from
// anything but the seeds. It is no promise of what a site does: runners read and answer
// by a few numbers here. docs/design/placement.md says how far it agrees with the users'
// bench.
package sitebench

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Distribution is a distribution of sizes: log-normal by its mean and the deviation of its
// logarithm, and cut off.
type Distribution struct {
	Mean, Deviation, Max float64
}

func (s Distribution) sample(random *rand.Rand) float64 {
	shift := math.Log(s.Mean) - s.Deviation*s.Deviation/2
	return max(1, min(s.Max, math.Exp(shift+s.Deviation*random.NormFloat64())))
}

// Class is a kind of prompts.
type Class struct {
	Name      string
	PerSecond float64
	// Worth is that of an answer that begins within TargetMillis of the first try, and
	// LateWorth that of a later one; after PatienceMillis the caller leaves.
	Worth, LateWorth             float64
	TargetMillis, PatienceMillis float64
	// Contexts is the number of shared contexts, of which each prompt holds one.
	Contexts     int
	SharedTokens Distribution
	OwnTokens    Distribution
	// Steps is the length of an answer in steps of the runner's batch.
	Steps Distribution
	// Urgent prompts are read before others.
	Urgent bool
}

// StoreBox keeps shared contexts.
type StoreBox struct {
	Tokens float64
	// TokensPerMilli is how fast its link moves context, LatencyMillis the wait before.
	TokensPerMilli, LatencyMillis float64
}

// Site is a fleet with what is sent to it.
type Site struct {
	Name    string
	Seconds float64
	Boxes   int
	// ReportMillis is the time between two words of a box on its work.
	ReportMillis float64
	Runners      int
	Slots        int
	// MemoryTokens is what a runner's memory takes, of running and kept context.
	MemoryTokens float64
	// PrefillRate is how many prompt tokens a runner reads in a millisecond.
	PrefillRate float64
	// FirstEventMillis is the time to the first event besides reading; a step of a batch
	// takes StepMillis and StepMillisPerRun for each run in it.
	FirstEventMillis, StepMillis, StepMillisPerRun float64
	// Zones divides boxes and runners; zero where all are in one and boxes place by themselves.
	// Long prompts then get their places from the owner of a zone's runners.
	Zones int
	// Interleaved says that reading a prompt holds up the answers of its runner, whose steps
	// come between the pieces that are read, and that a prompt's parts are fetched when it
	// begins to run. The figures of the two older sites are without this.
	Interleaved bool
	// LoadMillis is how long a runner loads new weights.
	LoadMillis float64
	StoreBoxes []StoreBox
	// RecomputePrice is the price of a thousand shared tokens that are read again.
	RecomputePrice float64
	Classes        []Class
}

// Large gives a fifth of the users' large site: few slots for each runner, and room for as
// much as is shared.
func Large() Site {
	return Site{
		Name: "a fifth of fjordlinje-render-large", Seconds: 30, Boxes: 59, Zones: 6, ReportMillis: 240, Runners: 33, Slots: 12, MemoryTokens: 86_716, PrefillRate: 54.6,
		FirstEventMillis: 61, StepMillis: 5.61, StepMillisPerRun: 0.121, Interleaved: true, LoadMillis: 1100, RecomputePrice: 0.84,
		StoreBoxes: storeBoxes(4, StoreBox{285_477, 434, 0.5}, 5, StoreBox{799_336, 271, 6}),
		Classes: []Class{
			{
				Name: "design-brief-review", PerSecond: 50, Worth: 8.3, LateWorth: 1.7, TargetMillis: 1000, PatienceMillis: 10_000, Contexts: 403,
				SharedTokens: Distribution{12800, 0.6, 34000}, OwnTokens: Distribution{4260, 0.7, 17000}, Steps: Distribution{120, 1.4, 480},
			},
			{
				Name: "material-tag-suggest", PerSecond: 283, Worth: 1.9, LateWorth: 0.38, TargetMillis: 600, PatienceMillis: 5000, Contexts: 2260,
				SharedTokens: Distribution{301, 0.5, 656}, OwnTokens: Distribution{82, 0.7, 328}, Steps: Distribution{45, 1.4, 181}, Urgent: true,
			},
		},
	}
}

// Sites gives the two sites of today's users, by the figures of their own page.
func Sites() []Site {
	long := func(class Class) Class {
		class.SharedTokens, class.OwnTokens = Distribution{12800, 0.6, 34000}, Distribution{4260, 0.7, 17000}
		return class
	}
	short := func(class Class) Class {
		class.SharedTokens, class.OwnTokens, class.Urgent = Distribution{301, 0.5, 656}, Distribution{82, 0.7, 328}, true
		return class
	}
	return []Site{
		{
			Name: "lspf-ops", Seconds: 44, Boxes: 8, ReportMillis: 80, Runners: 14, Slots: 16, MemoryTokens: 110_777, PrefillRate: 157,
			FirstEventMillis: 26, StepMillis: 3.55, StepMillisPerRun: 0.0462, LoadMillis: 1100, RecomputePrice: 0.84,
			StoreBoxes: storeBoxes(3, StoreBox{499_901, 1288, 0.5}, 2, StoreBox{2_385_895, 814, 6}),
			Classes: []Class{
				long(Class{Name: "dispute-verdict", PerSecond: 60.7, Worth: 7.6, LateWorth: 1.5, TargetMillis: 400, PatienceMillis: 6000, Contexts: 485, Steps: Distribution{17.1, 1.4, 68}}),
				short(Class{Name: "plate-match", PerSecond: 308, Worth: 1.9, LateWorth: 0.38, TargetMillis: 250, PatienceMillis: 3000, Contexts: 2466, Steps: Distribution{6.45, 1.4, 26}}),
			},
		},
		{
			Name: "fjordlinje-render", Seconds: 44, Boxes: 8, ReportMillis: 80, Runners: 18, Slots: 32, MemoryTokens: 87_295, PrefillRate: 54.6,
			FirstEventMillis: 61, StepMillis: 5.61, StepMillisPerRun: 0.121, LoadMillis: 1100, RecomputePrice: 0.84,
			StoreBoxes: storeBoxes(4, StoreBox{173_179, 434, 0.5}, 3, StoreBox{734_702, 271, 6}),
			Classes: []Class{
				long(Class{Name: "design-brief-review", PerSecond: 26.5, Worth: 11, LateWorth: 2.2, TargetMillis: 800, PatienceMillis: 10_000, Contexts: 212, Steps: Distribution{29.9, 1.4, 120}}),
				short(Class{Name: "material-tag-suggest", PerSecond: 221, Worth: 1.9, LateWorth: 0.38, TargetMillis: 600, PatienceMillis: 5000, Contexts: 1767, Steps: Distribution{11.3, 1.4, 45}}),
			},
		},
	}
}

// storeBoxes gives some small store boxes that answer soon, and then some large ones.
func storeBoxes(small int, smallBox StoreBox, large int, largeBox StoreBox) []StoreBox {
	return append(slices.Repeat([]StoreBox{smallBox}, small), slices.Repeat([]StoreBox{largeBox}, large)...)
}
