// Admission: which servers have a slot, the time and the memory for a call. A call admitted without them
// would also delay the calls queued behind it, so it waits briefly or is refused instead.

package placing

import "math"

// Limits that this policy sets on the calls of an entry box.
const (
	// MinAffinityTokens is the size of a shared prompt part, in tokens, from which on calls that
	// share it are routed to the same runner. For such a part, a second prefill costs more than the
	// wait at one runner.
	MinAffinityTokens = 1000
	// PrefillFraction is the fraction of a route's latency objective for which prompts may wait for
	// their prefill at a runner. A larger fraction would make this call late, and urgent calls
	// behind it.
	PrefillFraction = 0.6
	// BusyFraction is the fraction of the best runner's slots in known use from which on the owner
	// also places short prompts. Nearly idle runners don't need the owner's exact view, so a
	// request per call would be wasted there.
	BusyFraction = 0.5
	// OwnerRequestCost is the cost of a request to an owner in milliseconds: the round trip and the
	// time in its queue. While less unreported work than that may have reached a runner, the
	// owner's view is no better than this box's.
	OwnerRequestCost = 1.0
	// MemoryFraction is the fraction of a runner's memory that known calls may use when a long
	// prompt is placed. The rest is kept for calls of other boxes that aren't reported yet, and for
	// short prompts.
	MemoryFraction = 0.75
	// HeadroomFraction is the same for the one box that a runner's headroom is assigned to. No
	// other box fills the headroom at the same time, so less is kept free.
	HeadroomFraction = 0.9
	// ShortMemoryFraction is the same for short prompts and brief calls, so that a few long prompts
	// don't shut them out. The rest is kept for calls that aren't reported yet.
	ShortMemoryFraction = 0.95
	// WaitFraction is the fraction of the objective for which a call waits for capacity. After that
	// it is refused, while it can still be served in time elsewhere or later. About half of the
	// calls that waited longer were late even after they got a slot, and kept it from new calls for
	// seconds.
	WaitFraction = 0.2
	// SlotReportAge is the age of the load reports, in milliseconds, that calls queued at a runner
	// bridge. The slots that become free in this time are not known yet and would be idle.
	SlotReportAge = 100.0
)

// Fractions of a limit that cap how much a single call counts against it. Without the caps, the
// largest prompts would fit only on an otherwise empty runner, and under load they would be refused
// while all others are served. With them, every prompt above the usual size is admitted under the
// same conditions.
const (
	maxPrefillFraction = 0.5
	maxMemoryFraction  = 0.25
)

// ShouldAskOwner reports whether the owner of the runners, which has an exact view of their work,
// should place a call with this many prompt tokens, instead of this box. That is so for every long
// prompt, since a runner has memory for only about five. It is so for a short prompt when the best
// runner isn't nearly idle, or when more unreported work than a request to the owner costs may have
// reached it: the call could wait behind a long prompt that another box has just placed there. It
// is never so when no other box sends calls to the best runner, since then this box has the most
// accurate view of it.
func ShouldAskOwner(tokens int, best *Candidate, unreportedWork float64) bool {
	if best != nil && best.Exclusive {
		return false
	}
	return unreportedWork > OwnerRequestCost || tokens >= MinAffinityTokens || best == nil || best.Slots > 0 && float64(best.InFlight) >= BusyFraction*float64(best.Slots)
}

// Admits reports whether a server has a slot, the time and the memory for a call.
func Admits(query Query, candidate *Candidate) bool {
	return HasSlot(query, candidate) && HasPrefillTime(query, candidate) && FitsMemory(query, candidate)
}

// HasSlot reports whether a call gets a slot at the server soon. In a burst, each runner would
// otherwise queue as many calls as it runs, and those with short objectives would all be late.
func HasSlot(query Query, c *Candidate) bool { return freeSlots(query, c) >= 1 }

// freeSlots returns how many more calls a server may get: its free slots and the room in its queue.
// It is negative if the server has too many calls, and infinite if they are not limited.
func freeSlots(query Query, c *Candidate) float64 {
	if query.SlotTime == 0 && !query.Late || c.Slots == 0 || c.Suspect {
		return math.Inf(1)
	}
	return float64(c.Slots-c.InFlight) + queueLimit(query, c.Slots) - reservedSlots(query, c.Slots)
}

const (
	// briefShareFactor is how many times the slots that brief calls use on average are reserved for
	// them, since they come in bursts.
	briefShareFactor = 2
	// maxReservedFraction bounds the reserved slots of a runner.
	maxReservedFraction = 0.125
)

// reservedSlots returns how many slots of a runner a call must leave to brief calls. When long
// answers hold all slots, brief calls are refused at the same rate as others, although serving
// all of them would take a small part of the slots.
func reservedSlots(query Query, slots int) float64 {
	if query.Brief || query.BriefShare == 0 {
		return 0
	}
	return min(math.Ceil(briefShareFactor*query.BriefShare*float64(slots)), math.Floor(maxReservedFraction*float64(slots)))
}

// queueLimit returns how many calls may queue at a server with this many slots: as many as get a
// slot within SlotReportAge, rounded to the nearest number. The last of them must not wait for
// longer than the limit for its prefill. A late call doesn't queue.
func queueLimit(query Query, slots int) float64 {
	if query.Late {
		return 0
	}
	freedPerMilli := float64(slots) / query.SlotTime
	limit := math.Round(SlotReportAge * freedPerMilli)
	if query.PrefillLimit > 0 {
		limit = min(limit, math.Floor(query.PrefillLimit*freedPerMilli))
	}
	return limit
}

// HasPrefillTime reports whether a runner would finish the prefill of the call's prompt soon
// enough. A runner without pending prefill accepts a prompt of any length, since no other runner
// would be faster.
func HasPrefillTime(query Query, c *Candidate) bool {
	if query.PrefillLimit == 0 || c.PendingTokens == 0 {
		return true
	}
	limit := query.PrefillLimit / c.tokenCost(query)
	return float64(c.PendingTokens)+min(float64(c.PrefillTokens), maxPrefillFraction*limit) <= limit
}

// FitsMemory reports whether the call's prompt fits into a runner's memory next to the calls known
// to run there. A runner without calls accepts a prompt of any size, since no other runner would
// have more memory free.
func FitsMemory(query Query, c *Candidate) bool {
	if query.Memory == 0 || c.HeldTokens == 0 {
		return true
	}
	if c.HeldTokens+query.Tokens > query.Memory {
		return false
	}
	if query.Tokens < MinAffinityTokens || query.Brief {
		fits := float64(c.HeldTokens+query.Tokens) <= ShortMemoryFraction*float64(query.Memory)
		if fits || !query.Bound {
			return fits
		}
	}
	fraction := MemoryFraction
	if c.Headroom {
		fraction = HeadroomFraction
	}
	// The headroom must not raise the cap, so the cap is a fraction of MemoryFraction.
	counted := min(float64(query.Tokens), maxMemoryFraction*MemoryFraction*float64(query.Memory))
	return float64(c.HeldTokens)+counted <= fraction*float64(query.Memory)
}
