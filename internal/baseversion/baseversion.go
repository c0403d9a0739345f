// Package baseversion maintains the base versions of each service: the software versions of its streams that have no
// recorded origin. In most cases that is one version for all streams of a service.
//
// A caller may resume a stream at any box, also after all boxes crashed, and only the version that began the stream
// may continue it (package streamorigin). The list of servers at that time does not say which version that was: one
// may have replaced another while no box was running. Recording every stream would, but nearly all services have a
// single version nearly always. So one record in the platform's log has the base version of each service, and a box
// sends the first event of a stream of any other version only once the stream's origin is in the log. A stream
// without a record is then of the base version.
//
// The base version is replaced only after none of its servers has been listed for as long as callers resume its
// streams (next.go). The service then has no base version for a while: for as long as boxes use a table that they read
// before, and callers resume the streams that began under it. So no stream of one base version is resumed at the
// next.
//
//	next.go    whether the base version of a service changes: a decision over plain data
//	shares.go  the base version of a single stream, where a service has several
//	record.go  encodes and decodes the table of base versions, the value of the record
//	keeper.go  reads the record on demand
//	write.go   writes the record at one elected box
package baseversion

import (
	"slices"
	"time"
)

// Base is the base version of a service.
type Base struct {
	// Version is the base version. If Present is false the service has none, and the origins of all its streams
	// are recorded.
	Version string
	Present bool
	// Shares has the versions among which the base version of each stream is chosen; empty if it is Version for all. An
	// older version of the program knows Version only.
	Shares []Share
	// Earlier has the shares under which streams may have begun that are still resumed.
	Earlier []EarlierShares
	// Since is when this took effect, by the clock of the box that wrote it.
	Since time.Time
	// Replaced is set if streams without a record may have been of another version before.
	Replaced bool
	// Era is the era of the log in which this was last confirmed. A log with a later era was restored from a copy
	// since, and may lack origins of streams.
	Era int64
	// RecordsFrom is a position in the stream of origins: all records of streams of other versions that may still be
	// resumed are at this position or after it. If the log has dropped some of these, origins may be missing.
	RecordsFrom int64
}

// isSameBase reports whether b and other differ at most in RecordsFrom, which has no effect on which streams are
// recorded.
func (b Base) isSameBase(other Base) bool {
	isSame := b.Version == other.Version && b.Present == other.Present && b.Since.Equal(other.Since) && b.Replaced == other.Replaced && b.Era == other.Era
	return isSame && slices.Equal(b.Shares, other.Shares) && equalEarlier(b.Earlier, other.Earlier)
}

// Table has the base versions by service.
type Table map[string]Base

// LeaseTime is how long a box may use a table, counted from the start of the read.
const LeaseTime = 10 * time.Second
