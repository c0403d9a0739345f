// The decision which base version follows.

package baseversion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// absence is how long no server of the base version must have been listed before it is replaced. Boxes
	// remember versions for as long, and callers resume streams for less.
	absence = time.Minute
	// pauseTime is how long a service has no base version between two, or before the first one if it has several
	// versions. A box may begin streams without a record for LeaseTime from when the pause begins, and they are resumed
	// for less than absence. The rest is what messages and clocks may differ.
	pauseTime = absence + LeaseTime + 5*time.Second
)

// Observation is what a box knows of a service.
type Observation struct {
	// Listed counts the listed servers by software version.
	Listed map[string]int
	// Remembered are the versions that have been listed within absence, if the box has been running for as long.
	Remembered []string
	// ObservedFor is how long the box has been reading the list of servers.
	ObservedFor time.Duration
	// KnownFor is how long the box has known the present record of the service.
	KnownFor time.Duration
	// Era is the newest era of the log, and EraSeenFor how long the box has known of it.
	Era        int64
	EraSeenFor time.Duration
	// OriginsEnd is where the stream of origins ended when the service had its base version alone; zero if unknown.
	OriginsEnd int64
}

// isAlone reports whether a service has had its base version alone for so long that no stream of another one is
// resumed.
func (o *Observation) isAlone(base Base) bool {
	return base.Present && len(o.Remembered) == 1 && o.Remembered[0] == base.Version && o.ObservedFor >= absence && o.KnownFor >= pauseTime
}

// Next returns the base version of a service that follows the present one; present is nil if there is none in the
// log. changed is false while the present one stays. Since is left to the caller.
func Next(present *Base, seen Observation) (next Base, changed bool) {
	if present == nil {
		return first(seen)
	}
	next = *present
	switch {
	case present.Era != seen.Era:
		next.Era = seen.Era // streams whose records the log may have lost are no longer resumed
		return next, seen.EraSeenFor >= pauseTime
	case seen.isAlone(*present) && seen.OriginsEnd > present.RecordsFrom:
		next.RecordsFrom = seen.OriginsEnd
		return next, true
	case present.Present:
		next.Version, next.Present, next.Replaced = "", false, true
		isGone := len(seen.Remembered) > 0 && !slices.Contains(seen.Remembered, present.Version) && seen.ObservedFor >= absence
		return next, isGone
	case len(seen.Listed) > 0 && seen.KnownFor >= pauseTime:
		next.Version, next.Present = mostCommon(seen.Listed), true
		return next, true
	default:
		return next, false
	}
}

// first returns the first base version of a service: the only one, or none while there are several. A log that came
// back from a copy may have lost the record of another one. Where there is none, streams may have begun without a
// record while their boxes knew of one version.
func first(seen Observation) (next Base, changed bool) {
	next.Era = seen.Era
	if seen.Era == 0 && len(seen.Remembered) == 1 {
		next.Version, next.Present = seen.Remembered[0], true
	}
	next.Replaced = !next.Present
	return next, len(seen.Remembered) > 0
}

// mostCommon returns the version with most servers, since the origins of its streams need no record.
func mostCommon(listed map[string]int) string {
	return slices.MaxFunc(slices.Sorted(maps.Keys(listed)), func(a, b string) int { return cmp.Compare(listed[a], listed[b]) })
}
