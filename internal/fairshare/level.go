// Water-filling, and sums that decay.

package fairshare

import (
	"math"
	"time"
)

// waterLevel returns the level L for which the sum of min(demand, L) is the capacity. It is infinite
// if the capacity covers all demands. It reorders the demands.
func waterLevel(demands []float64, capacity float64) float64 {
	for len(demands) > 0 {
		// With what the smaller demands leave, each of the others gets at least an equal part.
		level := capacity / float64(len(demands))
		above := demands[:0]
		for _, demand := range demands {
			if demand > level {
				above = append(above, demand)
			} else {
				capacity -= demand
			}
		}
		if len(above) == len(demands) {
			return level
		}
		demands = above
	}
	return math.Inf(1)
}

// decaying is a sum that decays with useTime.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(amount float64, now time.Time) {
	d.value = d.valueAt(now) + amount
	if now.After(d.at) {
		d.at = now
	}
}

// valueAt returns the value at a time; a time before the last addition counts as that time.
func (d *decaying) valueAt(now time.Time) float64 {
	elapsed := now.Sub(d.at)
	if d.value == 0 || elapsed <= 0 {
		return d.value
	}
	return d.value * math.Exp(-elapsed.Seconds()/useTime.Seconds())
}
