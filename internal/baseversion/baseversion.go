// Package baseversion keeps the base version of each service: the software version that began the streams whose
// origin is not recorded.
//
// A caller may resume a stream at any box, also after all boxes crashed, and only the version that began it may
// continue it (package streamorigin). Which versions are listed at that time does not tell: one may have replaced
// another while no box was running. A record of each stream would tell, but nearly all services have one version
// nearly always. So one record in the platform's log has the base version of each service, and a box sends the
// first event of a stream of any other version only when its origin is in the log. A stream without a record is
// then one of the base version.
//
// The base version changes only when none of its servers has been listed for so long that no caller resumes a
// stream of it (next.go). Between two of them a service has none, for longer than boxes use what they have read and
// callers resume what began then, so that no stream of the earlier one is resumed at the next.
//
//	next.go    which base version follows, a decision over plain data
//	record.go  the table of base versions ◀▶ the value of its record
//	keeper.go  reads the record on demand
//	write.go   writes it at one box
package baseversion

import "time"

// Base is the base version of a service.
type Base struct {
	// Version is the base version. Without Present the service has none: the origins of all its streams are
	// recorded.
	Version string
	Present bool
	// Since is when this took effect, by the clock of the box that wrote it.
	Since time.Time
	// Replaced is set if streams without a record may have been of another version before.
	Replaced bool
	// Era is the era of the log in which this was last confirmed. A log that came back from a copy since then
	// may have lost the origins of streams.
	Era int64
	// RecordsFrom is the position in the stream of origins from which on the records of all streams lie that are of
	// another version and may be resumed. A log that has dropped later ones may lack records.
	RecordsFrom int64
}

// isSameBase reports whether a base version differs at most in RecordsFrom, which does not change which streams have no
// record.
func (b Base) isSameBase(other Base) bool {
	b.RecordsFrom = other.RecordsFrom
	return b == other
}

// Table has the base versions by service.
type Table map[string]Base

// LeaseTime is how long a box may use what was read from the log.
const LeaseTime = 10 * time.Second
