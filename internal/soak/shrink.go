// Shrinking: the fewest faults of a run that still break a promise.

package soak

import "slices"

// Shrink leaves faults out, halves first and then single ones, as long as a run with the rest
// still fails. It makes at most a number of runs.
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
