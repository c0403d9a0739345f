// Reports of store boxes, independent of their wire format.

package partindex

import "time"

// Key identifies a part within the namespace that it was made under.
type Key struct {
	Namespace string
	ID        string
}

// Change is one event of a store box: a part became complete, or was removed.
type Change struct {
	Key
	// Tokens is the number of tokens held; 0 when the part was removed.
	Tokens int
}

// Report is an answer of a store box: the changes after a position, or a list of all parts.
type Report struct {
	// Epoch changes when the store box restarts.
	Epoch int64
	// Next is the position at which the next poll starts.
	Next int64
	// Gap reports that earlier events are missing.
	Gap     bool
	Changes []Change
	// Unfinished lists parts that are being written, or whose write was aborted, with the space
	// that they still take up. Only a list includes them.
	Unfinished []Change
	// ClockMillis is the servers' clock, or 0 if the report does not include it.
	ClockMillis int64
	// AsOf is a time at which the store box was in this epoch and had reported everything that it
	// held. It is never later than the answer was sent, however long that took to arrive.
	AsOf time.Time
}
