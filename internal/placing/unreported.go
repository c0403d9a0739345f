// Room for unreported calls: where boxes choose by load reports of some age, all of them see the
// same free slots.

package placing

import "math"

// LeavesRoom reports whether a server that admits a call has room for it next to the calls that
// other boxes may have placed there without having reported them yet.
func LeavesRoom(query Query, c *Candidate) bool {
	unreported := query.UnreportedCalls
	if c.OtherZone {
		unreported = query.UnreportedElsewhere
	}
	return c.Exclusive || min(freeSlots(query, c), freeMemory(query, c)) >= unreported
}

// Share is what determines a box's share of the room of a server.
type Share struct {
	// OwnRecent is the number of calls that the box placed at the server and that other boxes don't
	// know of yet.
	OwnRecent float64
	// Rank is the number of boxes that precede the box for the server, and Boxes the number of all
	// boxes that place calls there.
	Rank  int
	Boxes int
}

// InOwnShare reports whether a call is within a box's share of the room of a server. The room is
// divided by the boxes, and the remainder goes to those that precede the others. As long as each
// box keeps to its share, they don't overfill the server, whatever they know of each other's calls.
func InOwnShare(query Query, c *Candidate, own Share) bool {
	free := min(freeSlots(query, c), freeMemory(query, c))
	if math.IsInf(free, 1) {
		return true
	}
	room := int(free + math.Round(own.OwnRecent))
	boxes := max(own.Boxes, 1)
	share := room / boxes
	if own.Rank < room%boxes {
		share++
	}
	return own.OwnRecent+1-shareSlack <= float64(share)
}

// shareSlack is the decayed rest of a call that counts as reported. It is reached when 1.4 times the
// mean age of the load reports has passed.
const shareSlack = 0.25

// freeMemory returns how many calls like this one, or of mean size if that is more, fit into the
// memory of a server next to the known calls. It is at least one, since the server admits the call.
func freeMemory(query Query, c *Candidate) float64 {
	size := max(query.MeanTokens, float64(query.Tokens))
	if query.Memory == 0 || size == 0 {
		return math.Inf(1)
	}
	free := ShortMemoryFraction*float64(query.Memory) - float64(c.HeldTokens+query.Tokens)
	return max(1, 1+free/size)
}
