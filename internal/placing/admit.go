// Which servers may take a call. A call that is admitted where there is no time or memory
// for it makes the calls behind it late too, so it waits a little or is refused instead.

package placing

// How a box bounds its calls by this policy.
const (
	// HomePart is the size of a shared part, in tokens, from which on calls that
	// share it meet at the same runner: reading it twice costs more than a wait.
	MinAffinityTokens = 1000
	// ReadPart is the part of a route's objective that prompts may wait to be read
	// at a runner. More would make this call late, and the urgent ones behind it.
	PrefillFraction = 0.6
	// BusyPart is the part of the slots of the best runner that is known to be taken from which
	// on short prompts are placed by an owner. Nearly idle runners need nobody who knows their work
	// exactly, and a question a call would be wasted.
	BusyFraction = 0.5
	// QuestionCost is what a question to an owner costs, in milliseconds: the way there and back
	// and its turn. While less work than that can have come to a runner unseen, nobody knows its
	// work better.
	OwnerRequestCost = 1.0
	// MemoryPart is the part of a runner's memory that known calls may take. The rest
	// is for calls of other boxes that are not known yet, and for short prompts.
	MemoryFraction = 0.75
	// HeadroomPart is the same for the one box that a runner's headroom belongs to:
	// nobody else fills it meanwhile, so less is kept free.
	HeadroomFraction = 0.9
	// WaitPart is the part of the objective that a call waits for room; then it is
	// refused while it can still be served in time elsewhere or later. Calls that waited
	// longer were late as often as not once they had room, and kept it from new ones for
	// seconds.
	WaitFraction = 0.2
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
// a runner has room for five, and a short one when the best runner is not nearly idle, or when more
// work than a question costs may have come to it unseen: it would wait behind a long prompt that
// another box has just placed there. Where no other box calls the best runner, this box knows its
// work best.
func ShouldAskOwner(tokens int, best *Candidate, unseen float64) bool {
	if best != nil && best.Exclusive {
		return false
	}
	return unseen > OwnerRequestCost || tokens >= MinAffinityTokens || best == nil || best.Slots > 0 && float64(best.InFlight) >= BusyFraction*float64(best.Slots)
}

// Admits reports whether a server has the time and the memory for a call.
func Admits(query Query, c *Candidate) bool { return HasPrefillTime(query, c) && FitsMemory(query, c) }

// HasTime reports whether a runner would read the call's prompt soon enough. A runner with
// nothing to read takes a prompt of any length, since no other could read it sooner.
func HasPrefillTime(query Query, c *Candidate) bool {
	if query.PrefillLimit == 0 || c.PendingTokens == 0 {
		return true
	}
	limit := query.PrefillLimit / c.tokenCost(query)
	return float64(c.PendingTokens)+min(float64(c.PrefillTokens), largestReadPart*limit) <= limit
}

// Fits reports whether the call's prompt fits into a runner's memory beside what is
// known to run there. A runner with nothing to run takes a prompt of any size, since no
// other could do better.
func FitsMemory(query Query, c *Candidate) bool {
	if query.Memory == 0 || c.HeldTokens == 0 {
		return true
	}
	if c.HeldTokens+query.Tokens > query.Memory {
		return false
	}
	part := MemoryFraction
	if c.Headroom {
		part = HeadroomFraction
	}
	// The headroom is no reason to count more, so this is a part of what all may take.
	counted := min(float64(query.Tokens), largestMemoryPart*MemoryFraction*float64(query.Memory))
	return float64(c.HeldTokens)+counted <= part*float64(query.Memory)
}
