// The decision which software version must serve a resumed stream.

package streamorigin

import (
	"time"

	"github.com/cometlock/cometlock/internal/originlog"
)

const (
	// maxListAge is the age of a box's list of servers up to which it can tell without other boxes that a
	// service has one software version only.
	maxListAge = 3 * time.Second
	// versionMemory is how long boxes and the log remember the software versions of a service.
	versionMemory = originlog.Horizon
	// recordCoverage is how far back records must be complete. A stream in flight is recorded again each
	// rerecordInterval; the rest is how long its boxes may be down until it is resumed.
	recordCoverage = rerecordInterval + 5*time.Second
	// rewriteTime is how long servers may take to write their entries again after the log came back from a copy. One that
	// is missing then has left.
	rewriteTime = 2500 * time.Millisecond
)

// Decide returns the software version that must serve a resumed stream. known is false if the stream may
// have begun at any of several versions, so that it must not be resumed.
//
// A stream that its caller does not name may be of any version that is known; its own may be recorded. It is resumed
// if there is one version only, and a stream without an origin would be of that one, too.
//
// Without the origin, the stream is of its base version, whichever versions are listed now.
//
// Where the log has no base version yet, the stream began while its box knew of one version, and that box has
// not learned of a second one since, or has lost the origin. If no box knows of a second version, it is the one
// that there is. Boxes that have not read of a new version yet ask others for that reason. A box that has just
// started and knows of no server cannot tell, and boxes that have all started since a second version was withdrawn
// know of it only from the log. A box that reaches neither the log nor most other boxes may have missed it.
func Decide(evidence Evidence, listAge time.Duration) (software string, known bool) {
	software, known = evidence.decide(listAge)
	if evidence.Unnamed && (len(evidence.Versions) != 1 || evidence.Versions[0] != software) {
		return "", false
	}
	return software, known
}

// decide is Decide for a stream that its caller names.
func (e *Evidence) decide(listAge time.Duration) (software string, known bool) {
	switch {
	case e.Found:
		return e.Software, true
	case e.Ambiguous:
		return "", false
	case e.Base != nil && !e.Unlisted:
		return e.decideByBase(listAge)
	case e.Base == nil && e.LogEra > 0:
		return "", false // a log that came back from a copy may have lost it
	case e.Unlisted || len(e.Versions) != 1:
		return "", false
	case e.Asked > 0 && e.Responded == 0 && listAge > maxListAge:
		return "", false
	case e.LogFailed && (!e.coversStream() || e.isIsolated()):
		return "", false
	default:
		return e.Versions[0], true
	}
}

// decideByBase returns the base version of the stream, unless it may have begun under another one, or its record may be
// missing in the log. In the latter case a single known version is enough if it is the base version. After the log came
// back from a copy, that must be known from a box that has been running since before the stream began, or from a list in
// which all servers that are running are again.
func (e *Evidence) decideByBase(listAge time.Duration) (software string, known bool) {
	base := e.Base
	software, certain := base.ForBegun(e.Stream, base.Since.Add(e.BaseAge), e.maxAge())
	isListComplete := base.Era == e.LogEra || e.EraSeenFor-listAge >= rewriteTime
	isAlone := len(e.Versions) == 1 && e.Versions[0] == software && (isListComplete || e.coversStream())
	if !base.Present || !certain || e.lacksRecords() && !isAlone || base.Replaced && e.MaxAge > versionMemory+e.BaseAge {
		return "", false
	}
	return software, true
}

// lacksRecords reports whether the log may lack the record of the stream: it came back from a copy since the base
// version was confirmed, was away when the stream may have begun, or has dropped records since.
func (e *Evidence) lacksRecords() bool {
	wasAway := e.OutageEnded > 0 && (e.MaxAge == 0 || e.OutageEnded < e.MaxAge)
	needed := recordCoverage
	if e.Patience > 0 {
		needed = min(needed, e.Patience)
	}
	hasDropped := e.RecordsFrom > e.Base.RecordsFrom && e.RecordsFor < needed
	return wasAway || hasDropped || e.Base.Era != e.LogEra
}

// isIsolated reports whether this box may be cut off from most boxes, alone or with some others. These may have read of
// servers of another version since, and have begun the stream there.
func (e *Evidence) isIsolated() bool { return 2*(e.Responded+e.Ended) < e.Asked }

// coversStream reports whether this box or one that responded has been running since before the stream began,
// or for as long as boxes remember versions, so that it knows all versions that can have begun the stream.
func (e *Evidence) coversStream() bool {
	return e.LongestUptime >= min(versionMemory, e.maxAge())
}

// maxAge returns how long ago the stream began at most.
func (e *Evidence) maxAge() time.Duration {
	if e.MaxAge > 0 {
		return e.MaxAge
	}
	return versionMemory
}
