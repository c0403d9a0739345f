// Package sitebench simulates the placement of prompts in virtual time. It compares the policy
// that entry boxes use (package placing, with the delays of package retire) with others on a model
// of a site: runners, store boxes, several boxes that know of each other's work with a delay, and
// new weights.
//
// A simulation takes seconds, and only the seeds cause variance, so it shows whether a change of
// the policy helps. It does not predict what a real site does: runners are modelled by a few
// numbers. docs/design/placement.md describes how far it agrees with the users' bench.
package sitebench

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Distribution is a log-normal distribution of sizes, with the given mean and the standard
// deviation of the logarithm, clamped to the range from 1 to Max.
type Distribution struct {
	Mean, Deviation, Max float64
}

func (d Distribution) sample(random *rand.Rand) float64 {
	shift := math.Log(d.Mean) - d.Deviation*d.Deviation/2
	return max(1, min(d.Max, math.Exp(shift+d.Deviation*random.NormFloat64())))
}

// Class is a class of prompts.
type Class struct {
	Name      string
	PerSecond float64
	// Worth is the worth of an answer that starts within TargetMillis of the first try, and
	// LateWorth that of a later one. The caller leaves after PatienceMillis.
	Worth, LateWorth             float64
	TargetMillis, PatienceMillis float64
	// Contexts is the number of shared contexts. Each prompt contains one of them.
	Contexts     int
	SharedTokens Distribution
	OwnTokens    Distribution
	// Steps is the length of an answer, in steps of the runner's batch.
	Steps Distribution
	// Urgent prompts are prefilled before others.
	Urgent bool
}

// StoreBox is a box that stores shared contexts.
type StoreBox struct {
	Tokens float64
	// TokensPerMilli is the throughput of its link, and LatencyMillis the latency of a transfer.
	TokensPerMilli, LatencyMillis float64
}

// Site is a deployment and the load on it.
type Site struct {
	Name    string
	Seconds float64
	Boxes   int
	// ReportMillis is the interval between the load reports of a box.
	ReportMillis float64
	Runners      int
	Slots        int
	// MemoryTokens is the capacity of a runner's memory, which running and cached contexts share.
	MemoryTokens float64
	// PrefillRate is the number of prompt tokens that a runner prefills per millisecond.
	PrefillRate float64
	// FirstEventMillis is the time to the first event besides prefill. A step of a batch takes
	// StepMillis, plus StepMillisPerRun for each run in the batch.
	FirstEventMillis, StepMillis, StepMillisPerRun float64
	// Zones is the number of zones that boxes and runners are divided into. Long prompts are then
	// placed by the owner of a zone's runners. Zero means a single zone in which boxes place all
	// calls themselves.
	Zones int
	// Interleaved means that a prefill delays the answers of its runner, whose decode steps run
	// between the chunks of the prefill, and that a prompt's parts are fetched when it starts to
	// run. The two older sites do not use it.
	Interleaved bool
	// LoadMillis is the time that a runner takes to load new weights.
	LoadMillis float64
	StoreBoxes []StoreBox
	// RecomputePrice is the price of a thousand shared tokens that are prefilled again.
	RecomputePrice float64
	Classes        []Class
}

// Large returns a fifth of the users' large site, which has few slots per runner and enough
// storage for all shared contexts.
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

// Sites returns the two sites of today's users, with the figures of the users' own page.
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

// storeBoxes returns small store boxes with low latency, followed by large ones.
func storeBoxes(small int, smallBox StoreBox, large int, largeBox StoreBox) []StoreBox {
	return append(slices.Repeat([]StoreBox{smallBox}, small), slices.Repeat([]StoreBox{largeBox}, large)...)
}
