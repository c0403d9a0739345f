// Positions in the streams of the log.
//
// The log may come back from a copy and lose the records since then. Their offsets are given out again,
// so an offset alone does not say which record it means. The log numbers its histories: the era rises
// each time that it comes back. A position holds the era in its upper bits and the offset in the lower
// ones. Every position of a later era is higher than all of earlier eras, so comparing two positions
// tells which record is newer, and a fencing token taken from a position only rises.

package sharedlog

import "fmt"

// offsetBits is the number of bits of an offset. A stream with 20,000 records a second reaches the limit
// after seven years. Positions of the first 2,000 eras are exact in JSON numbers, which have 53 bits.
const offsetBits = 42

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(62-offsetBits) - 1

// Position returns the position of an offset in an era.
func Position(era, offset int64) int64 { return era<<offsetBits | offset }

// EraOf returns the era of a position, which is negative for FromNewest.
func EraOf(position int64) int64 { return position >> offsetBits }

// OffsetOf returns the offset of a position, which is 0 for FromStart.
func OffsetOf(position int64) int64 { return max(position, 0) & (1<<offsetBits - 1) }

// FromStart makes Read begin at the beginning of a stream, in whichever era.
const FromStart = -2

// HistoryChangedError means that the position of a read is from an earlier era than the log.
type HistoryChangedError struct {
	// Start is the position of the first record in the log's era.
	Start int64
}

// Error implements error.
func (e *HistoryChangedError) Error() string {
	return fmt.Sprintf("the log came back from a copy and is in era %d", EraOf(e.Start))
}

// CheckEra returns an error if a read from a position was answered in a later era than the position's.
func CheckEra(from, era int64) error {
	if from == FromStart || EraOf(from) == era {
		return nil
	}
	return &HistoryChangedError{Start: Position(era, 0)}
}
