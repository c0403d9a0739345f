// Package logposition defines positions in the streams of the platform's log.
//
// The log may come back from a copy and lose the records since then. Their offsets are given out again,
// so an offset alone does not say which record it means. The log numbers its histories: the era rises
// each time that it comes back. A position holds the era in its upper bits and the offset in the lower
// ones. Every position of a later era is higher than all of earlier eras, so comparing two positions
// tells which record is newer, and a fencing token taken from a position only rises.
package logposition

import "github.com/rs/zerolog"

// offsetBits is the number of bits of an offset. A stream with 20,000 records a second reaches the limit
// after seven years. Positions of the first 2,000 eras are exact in JSON numbers, which have 53 bits.
const offsetBits = 42

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(62-offsetBits) - 1

// New returns the position of an offset in an era.
func New(era, offset int64) int64 { return era<<offsetBits | offset }

// Era returns the era of a position, which is negative for a position that is.
func Era(position int64) int64 { return position >> offsetBits }

// Offset returns the offset of a position, which is 0 for one that is negative.
func Offset(position int64) int64 { return max(position, 0) & (1<<offsetBits - 1) }

// Logged is a position as it is logged: the offset and, unless it is 0, the era.
type Logged int64

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l Logged) MarshalZerologObject(event *zerolog.Event) {
	position := int64(l)
	if position < 0 {
		event.Int64("offset", position)
		return
	}
	event.Int64("offset", Offset(position))
	if era := Era(position); era > 0 {
		event.Int64("era", era)
	}
}
