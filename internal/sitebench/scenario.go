// Scenarios: how much is sent to a site, and what goes wrong there.

package sitebench

// Scenario is how a site is played.
type Scenario struct {
	Name string
	// Load times the calls of each second, and Room that of the store boxes.
	Load, StoreCapacity float64
	// WeightsAt are the seconds at which new weights are named. The box that gives the
	// orders is away for CoordinatorOutage seconds from the first of them on, half a second
	// after it.
	WeightsAt         []float64
	CoordinatorOutage float64
	// SlowFrom and SlowUntil are the seconds between which one large store box moves
	// context SlowFactor times more slowly.
	SlowFrom, SlowUntil, SlowFactor float64
	// Surges are times at which more is sent.
	Surges []Surge
	// HungShare of the runners does nothing between two seconds; boxes notice it by the
	// silence.
	HungShare, HungFrom, HungUntil float64
}

// Surge times the calls between two seconds.
type Surge struct {
	From, Until, Factor float64
}

// loadAt is how many times the calls of the site come at a moment, in milliseconds.
func (s Scenario) loadAt(millis float64) float64 {
	load := s.Load
	for _, surge := range s.Surges {
		if second := millis / millisPerSecond; second >= surge.From && second < surge.Until {
			load *= surge.Factor
		}
	}
	return load
}

// mostLoad bounds loadAt.
func (s Scenario) maxLoad() float64 {
	most := s.Load
	for _, surge := range s.Surges {
		most *= max(1, surge.Factor)
	}
	return most
}

// OverloadScenario gives the day on which work waits for longest: a burst while a quarter of the
// runners is silent, then new weights, for which all is read anew, and another burst.
func OverloadScenario() Scenario {
	return Scenario{
		Name: "worst load", Load: 1, StoreCapacity: 1, WeightsAt: []float64{14},
		Surges: []Surge{{3, 11, 1.7}, {16, 22, 1.7}}, HungShare: 0.25, HungFrom: 4, HungUntil: 9,
	}
}

// Scenarios gives the days that experiments play: a calm one, one with new weights, and one
// as quiet days of the users' bench are, with a slow link and two versions of weights of
// which the first comes while the giver of orders is cut off.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "calm", Load: 1, StoreCapacity: 1},
		{Name: "new weights", Load: 1, StoreCapacity: 1, WeightsAt: []float64{20}},
		{Name: "quiet", Load: 1, StoreCapacity: 1, WeightsAt: []float64{20, 24}, CoordinatorOutage: 3.3, SlowFrom: 15, SlowUntil: 20, SlowFactor: 3},
	}
}
