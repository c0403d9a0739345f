// Shrinking reduces the faults of a failed run to few that still violate an invariant.

package soak

import "slices"

// Shrink removes faults, first half of them at a time and at last single ones, as long as a run with
// the remaining faults still fails. It calls fails at most runs times.
func Shrink(faults []Fault, runs int, fails func([]Fault) bool) []Fault {
	for part := len(faults) / 2; part >= 1; part /= 2 {
		for at := 0; at < len(faults); {
			if runs == 0 {
				return faults
			}
			runs--
			rest := slices.Delete(slices.Clone(faults), at, min(at+part, len(faults)))
			if len(rest) > 0 && fails(rest) {
				faults = rest
				continue
			}
			at += part
		}
	}
	return faults
}
