// Scenarios: the load on a site and the faults during a simulation.

package sitebench

// Scenario is the load and the faults of a simulation.
type Scenario struct {
	Name string
	// Load multiplies the call rates, and StoreCapacity the capacity of the store boxes.
	Load, StoreCapacity float64
	// WeightsAt are the seconds at which new weights are announced. The box that orders the loads
	// is cut off for CoordinatorOutage seconds, from half a second after the first announcement.
	WeightsAt         []float64
	CoordinatorOutage float64
	// Between the seconds SlowFrom and SlowUntil one large store box transfers parts more slowly
	// by SlowFactor.
	SlowFrom, SlowUntil, SlowFactor float64
	// Surges are periods with a higher load.
	Surges []Surge
	// HungShare of the runners hang between the seconds HungFrom and HungUntil. Boxes detect this
	// by the missing responses.
	HungShare, HungFrom, HungUntil float64
}

// Surge multiplies the call rates between two seconds.
type Surge struct {
	From, Until, Factor float64
}

// loadAt returns the factor on the call rates at a time in milliseconds.
func (s Scenario) loadAt(millis float64) float64 {
	load := s.Load
	for _, surge := range s.Surges {
		if second := millis / millisPerSecond; second >= surge.From && second < surge.Until {
			load *= surge.Factor
		}
	}
	return load
}

// maxLoad returns an upper bound of loadAt.
func (s Scenario) maxLoad() float64 {
	peak := s.Load
	for _, surge := range s.Surges {
		peak *= max(1, surge.Factor)
	}
	return peak
}

// OverloadScenario returns the scenario with the longest queues: a burst while a quarter of the
// runners hang, then new weights, for which all shared parts must be prefilled again, and another
// burst.
func OverloadScenario() Scenario {
	return Scenario{
		Name: "worst load", Load: 1, StoreCapacity: 1, WeightsAt: []float64{14},
		Surges: []Surge{{3, 11, 1.7}, {16, 22, 1.7}}, HungShare: 0.25, HungFrom: 4, HungUntil: 9,
	}
}

// Scenarios returns the scenarios of the experiments: a calm one, one with new weights, and one
// that resembles the quiet days of the users' bench, with a slow link and two new versions of the
// weights, the first of which comes while the box that orders the loads is cut off.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Load: 1, StoreCapacity: 1},
		{Name: "new weights", Load: 1, StoreCapacity: 1, WeightsAt: []float64{20}},
		{Name: "quiet", Load: 1, StoreCapacity: 1, WeightsAt: []float64{20, 24}, CoordinatorOutage: 3.3, SlowFrom: 15, SlowUntil: 20, SlowFactor: 3},
	}
}
