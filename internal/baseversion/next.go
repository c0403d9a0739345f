// The decision whether the base version of a service changes.

package baseversion

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minAbsence is how long no server of the base version must have been listed before it is replaced. Boxes
	// remember delisted versions for as long, and callers resume streams for less.
	minAbsence = time.Minute
	// pauseTime is how long a service has no base version between two, or before the first one if it has several
	// versions. Boxes may begin streams without a record in the first LeaseTime of the pause, and callers resume
	// those for less than minAbsence. The rest allows for delayed messages and clock differences.
	pauseTime = minAbsence + LeaseTime + 5*time.Second
)

// Observation is the state of a service as a box sees it.
type Observation struct {
	// Listed counts the listed servers by software version.
	Listed map[string]int
	// Remembered are the versions that were listed within the last minAbsence, as far as the box has observed it.
	Remembered []string
	// ObservedFor is how long the box's list of servers has been up to date.
	ObservedFor time.Duration
	// KnownFor is the time since the box first read the current base version of the service.
	KnownFor time.Duration
	// Era is the newest era of the log, and EraSeenFor the time since the box first saw it.
	Era        int64
	EraSeenFor time.Duration
	// OriginsEnd is a recent end of the stream of origins if the service has only its base version; zero if unknown.
	OriginsEnd int64
}

// hasOnlyBase reports whether the base version has been the only version for so long that no stream of another one is
// resumed.
func (o *Observation) hasOnlyBase(base Base) bool {
	isOnly := base.Present && len(base.Shares) == 0 && len(o.Remembered) == 1 && o.Remembered[0] == base.Version
	return isOnly && o.ObservedFor >= minAbsence && o.KnownFor >= pauseTime
}

// lacks reports whether no server of one of some versions has been listed for minAbsence.
func (o *Observation) lacks(versions []string) bool {
	isGone := func(version string) bool { return !slices.Contains(o.Remembered, version) }
	return len(o.Remembered) > 0 && o.ObservedFor >= minAbsence && slices.ContainsFunc(versions, isGone)
}

// needsShares reports whether one of the versions could not serve its share of the streams.
func (o *Observation) needsShares(base *Base) bool {
	isDue := len(base.Earlier) == 0 || o.KnownFor >= minShareTime
	return isDue && isSkewed(base.shares(), o.Listed)
}

// Next returns the base version of a service that follows the present one, which is nil if the log has none. changed
// is false if the present one stays. NextAt sets Since and Earlier.
func Next(present *Base, observed Observation) (next Base, changed bool) {
	if present == nil {
		return firstBase(observed)
	}
	next = *present
	switch {
	case present.Era != observed.Era:
		next.Era = observed.Era // streams whose records the log may have lost are no longer resumed
		return next, observed.EraSeenFor >= pauseTime
	case observed.hasOnlyBase(*present) && observed.OriginsEnd > present.RecordsFrom:
		next.RecordsFrom = observed.OriginsEnd
		return next, true
	case present.Present && observed.lacks(present.versions()):
		next.Version, next.Present, next.Replaced, next.Shares, next.Earlier = "", false, true, nil, nil
		return next, true
	case present.Present && observed.needsShares(present):
		next.Shares = sharesOf(observed.Listed)
		return next, true
	case present.Present:
		return next, false
	case len(observed.Listed) > 0 && observed.KnownFor >= pauseTime:
		next.Version, next.Present = mostCommon(observed.Listed), true
		if isSkewed(next.shares(), observed.Listed) {
			next.Shares = sharesOf(observed.Listed)
		}
		return next, true
	default:
		return next, false
	}
}

// NextAt is Next for a change at a time.
func NextAt(present *Base, observed Observation, now time.Time) (next Base, changed bool) {
	next, changed = Next(present, observed)
	if !changed || present != nil && present.isSameBase(next) {
		return next, changed
	}
	next.Since = now.Truncate(time.Millisecond) // the precision of the record
	if present != nil && present.Present && next.Present && !slices.Equal(present.Shares, next.Shares) {
		next.addEarlier(present, next.Since)
	}
	return next, true
}

// firstBase returns the first base version of a service: the only version, or none while there are several. There is
// none either in a log that was restored from a copy, which may have lost the record of another one. Replaced is set
// then, since boxes that knew of one version only may have begun streams without a record.
func firstBase(observed Observation) (next Base, changed bool) {
	next.Era = observed.Era
	if observed.Era == 0 && len(observed.Remembered) == 1 {
		next.Version, next.Present = observed.Remembered[0], true
	}
	next.Replaced = !next.Present
	return next, len(observed.Remembered) > 0
}

// mostCommon returns the version with the most servers, so that as few streams as possible need a record.
func mostCommon(listed map[string]int) string {
	return slices.MaxFunc(slices.Sorted(maps.Keys(listed)), func(a, b string) int { return cmp.Compare(listed[a], listed[b]) })
}
