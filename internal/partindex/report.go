// What store boxes say, in the product's words.

package partindex

import "time"

// Key names a part under the namespace that it was made under.
type Key struct {
	Namespace string
	ID        string
}

// Change is one event of a store box: a part is whole, or gone.
type Change struct {
	Key
	// Tokens is how much of the part is kept; 0 when it is gone.
	Tokens int
}

// Report is an answer of a store box to "what changed" or "what do you keep".
type Report struct {
	// Life changes when the store box restarts.
	Epoch int64
	// Next is where the next question begins.
	Next int64
	// Gap says that events before these are missing.
	Gap     bool
	Changes []Change
	// Unfinished are parts that are being written, or that broke off and hold their
	// room all the same, with the room that they take; only a list tells of them.
	Unfinished []Change
	// ClockMillis is the servers' clock, 0 when the report does not say.
	ClockMillis int64
	// AsOf is a moment at which the store box lived this life and had told all that
	// it kept: not later than its answer, however long that was on its way.
	AsOf time.Time
}
