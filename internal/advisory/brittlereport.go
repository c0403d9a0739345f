// Reports between boxes of what servers state about their brittleness, and of what was learned.

package advisory

import (
	"cmp"
	"time"
)

// BrittleReport is what one box reports to others about the brittleness of a server, from its own
// calls there.
type BrittleReport struct {
	// MaxRefusals is what the server stated, zero if it is no longer brittle, and Age the age of the
	// statement. Known is false without a statement to this box.
	Known       bool          `msgpack:"k,omitempty"`
	MaxRefusals float64       `msgpack:"m,omitempty"`
	Age         time.Duration `msgpack:"a,omitempty"`
	// Room is the room that the box last learned for all boxes, zero if none, and RoomAge how long
	// ago that was. Raised means that it was raised.
	Room    float64       `msgpack:"r,omitempty"`
	Raised  bool          `msgpack:"u,omitempty"`
	RoomAge time.Duration `msgpack:"g,omitempty"`
	// BlockedFor is how much longer the server gets no calls after a refusal.
	BlockedFor time.Duration `msgpack:"b,omitempty"`
	// ReducedFor is how much longer it gets calls for half of its room.
	ReducedFor time.Duration `msgpack:"h,omitempty"`
	// Refusals is the number of calls of the box that the server has refused in the last second.
	Refusals int `msgpack:"f,omitempty"`
}

// Aged returns the report as it is to be forwarded after some time has passed.
func (r *BrittleReport) Aged(passed time.Duration) *BrittleReport {
	if r == nil {
		return nil
	}
	later := *r
	later.Age += passed
	later.RoomAge += passed
	later.BlockedFor = max(later.BlockedFor-passed, 0)
	later.ReducedFor = max(later.ReducedFor-passed, 0)
	return &later
}

// AfterTransit returns the report as it applies at the receiver; see Report.AfterTransit. Without a
// bound on the time in transit, it neither ends brittleness nor raises the room.
func (r *BrittleReport) AfterTransit(longest time.Duration, known bool) *BrittleReport {
	if r == nil {
		return nil
	}
	received := *r
	received.Age += max(longest, 0)
	received.Known = r.Known && (known || r.MaxRefusals > 0)
	if r.Raised {
		received.RoomAge += max(longest, 0)
		if !known {
			received.Room = 0
		}
	}
	return &received
}

// MergeBrittle returns the newest statements of two reports, either of which may be nil.
func MergeBrittle(a, b *BrittleReport) *BrittleReport {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	joined := *a
	if b.Known && (!a.Known || b.Age < a.Age) {
		joined.Known, joined.MaxRefusals, joined.Age = true, b.MaxRefusals, b.Age
	}
	if b.Room > 0 && (a.Room == 0 || b.RoomAge < a.RoomAge) {
		joined.Room, joined.Raised, joined.RoomAge = b.Room, b.Raised, b.RoomAge
	}
	joined.BlockedFor = max(a.BlockedFor, b.BlockedFor)
	joined.ReducedFor = max(a.ReducedFor, b.ReducedFor)
	joined.Refusals += b.Refusals
	return &joined
}
