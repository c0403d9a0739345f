// Which servers may take a call. A call that is admitted where there is no time or memory
// for it makes the calls behind it late too, so it waits a little or is refused instead.

package placing

// How a box bounds its calls by this policy.
const (
	// HomePart is the size of a shared part, in tokens, from which on calls that
	// share it meet at the same runner: reading it twice costs more than a wait.
	HomePart = 1000
	// ReadPart is the part of a route's objective that prompts may wait to be read
	// at a runner. More would make this call late, and the urgent ones behind it.
	ReadPart = 0.6
	// BusyPart is the part of the slots of the best runner that is known to be taken from which
	// on short prompts are placed by an owner. In the model of the worst load (package sitebench,
	// means of four seeds) the worth is 0.695 if they never are, 0.736 with a half, 0.759 with a
	// quarter, 0.755 if they always are; on a calm day 0, a fifteenth, a half and all of them
	// are, for the same worth.
	BusyPart = 0.5
	// MemoryPart is the part of a runner's memory that known calls may take. The rest
	// is for calls of other boxes that are not known yet, and for short prompts. Of 0.6,
	// 0.75 and 0.9 the second lost least on any of three sites: mean worth 0.711, 0.732 and
	// 0.736 where memory is what is scarce, 0.750, 0.744 and 0.735 where runners get twice
	// as many prompts a second, 0.723, 0.729 and 0.731 on the third.
	MemoryPart = 0.75
	// HeadroomPart is the same for the one box that a runner's headroom belongs to:
	// nobody else fills it meanwhile, so less is kept free. With 0.9 the mean worth of
	// twelve days, two seeds each, rose from 0.649 to 0.680, with 0.97 it was the same,
	// and with a MemoryPart of 0.5 or 0.7 beside it less.
	HeadroomPart = 0.9
	// WaitPart is the part of the objective that a call waits for room; then it is
	// refused while it can still be served in time elsewhere or later. Calls that waited
	// longer were late as often as not once they had room, and kept it from new ones for
	// seconds: waiting for as long as the objective allows earned 0.684 instead of 0.705
	// (mean worth of three days, two seeds each), and waiting on though late 0.664.
	WaitPart = 0.2
)

// Parts of a limit that bound what one call counts against it. Without them the
// largest prompts would find room only where there is nothing else, and under load be
// refused while all others are served. With them all prompts above the usual size
// find room alike.
const (
	largestReadPart   = 0.5
	largestMemoryPart = 0.25
)

// AsksOwner reports whether a call of some prompt tokens is placed by the owner of the runners,
// which knows their work exactly, rather than by what its box knows: a long prompt always, since
// a runner has room for five, and a short one when the best runner is not nearly idle.
func AsksOwner(tokens int, best *Candidate) bool {
	return tokens >= HomePart || best == nil || best.Slots > 0 && float64(best.InFlight) >= BusyPart*float64(best.Slots)
}

// Admits reports whether a server has the time and the memory for a call.
func Admits(query Query, c *Candidate) bool { return HasTime(query, c) && Fits(query, c) }

// HasTime reports whether a runner would read the call's prompt soon enough. A runner with
// nothing to read takes a prompt of any length, since no other could read it sooner.
func HasTime(query Query, c *Candidate) bool {
	if query.ReadLimit == 0 || c.PendingTokens == 0 {
		return true
	}
	limit := query.ReadLimit / query.TokenCost
	return float64(c.PendingTokens)+min(float64(c.WorkTokens), largestReadPart*limit) <= limit
}

// Fits reports whether the call's prompt fits into a runner's memory beside what is
// known to run there. A runner with nothing to run takes a prompt of any size, since no
// other could do better.
func Fits(query Query, c *Candidate) bool {
	if query.Memory == 0 || c.HeldTokens == 0 {
		return true
	}
	if c.HeldTokens+query.Tokens > query.Memory {
		return false
	}
	part := MemoryPart
	if c.Headroom {
		part = HeadroomPart
	}
	// The headroom is no reason to count more, so this is a part of what all may take.
	counted := min(float64(query.Tokens), largestMemoryPart*MemoryPart*float64(query.Memory))
	return float64(c.HeldTokens)+counted <= part*float64(query.Memory)
}
