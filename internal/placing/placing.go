// Package placing decides which backend servers may take a call (Admits, in admit.go) and which of
// them it goes to (Choose). Its functions are pure: they use no clock and no I/O.
//
// A plain service's call goes to the least loaded server, with a preference for the box's own zone.
// A prompt also goes to the least loaded runner as long as the parts that it shares with other
// prompts can be fetched from a store box, since all runners are then equally suitable. A shared
// part that isn't in any store box yet is computed by one of two runners chosen by rendezvous
// hashing, so that boxes that are unaware of each other's calls don't have several runners compute
// it at once.
package placing

import (
	"cmp"
	"math"
)

// Query describes the work of a call.
type Query struct {
	// AffinityKey is the same number for calls that should go to the same runner; zero means that
	// any runner will do.
	AffinityKey uint64
	// TokenCost is the prefill time of a prompt token, in milliseconds.
	TokenCost float64
	// TieBreaker breaks ties between servers; it differs from call to call.
	TieBreaker uint64
	// UnreportedWork is the work, in milliseconds, that may have reached each runner without being
	// reported to this box yet. OtherZoneLag is the age of the load reports from other zones, in
	// milliseconds.
	UnreportedWork float64
	OtherZoneLag   float64
	// PrefillLimit bounds the time, in milliseconds, until the prefill at a runner is done,
	// including that of this prompt. It doesn't apply to a runner without other pending prefill.
	// Zero means no limit.
	PrefillLimit float64
	// LateLimit replaces PrefillLimit for a call that was delayed before it was placed, if no runner would
	// finish its prefill in time. The call then takes a free slot, and doesn't queue at a runner. Zero means
	// that such a call isn't placed. Late is set while LateLimit applies.
	LateLimit float64
	Late      bool
	// Tokens is the memory that the call uses at a runner until it ends, and Memory is the memory
	// of a runner. A call isn't placed where it doesn't fit next to the others: it would evict one
	// of them, whose prefill would then run again. A Memory of zero means no limit.
	Tokens int
	Memory int
	// SlotTime is the mean time, in milliseconds, for which a call to the service occupies a slot.
	// Zero means that calls may queue at a server without a limit.
	SlotTime float64
	// Brief means that the call is expected to occupy its slot for a small part of SlotTime, and
	// BriefShare is the part of the runners' slot time that such calls use, from 0 to 1.
	Brief      bool
	BriefShare float64
	// Bound means that only servers of one software version may take the call. It may use the memory that
	// brief calls may, and that other calls of its size may.
	Bound bool
	// UnreportedCalls is the number of calls that may have reached a runner without being reported
	// to this box yet, and UnreportedElsewhere is the same for runners of other zones, whose load
	// reports are older. Zero means that this box's view is exact. MeanTokens is the memory that a
	// call uses on average.
	UnreportedCalls     float64
	UnreportedElsewhere float64
	MeanTokens          float64
}

// Candidate is the known state of a server that may take the call.
type Candidate struct {
	// Name identifies the server for rendezvous hashing.
	Name string
	// InFlight counts the known calls at the server; Slots is how many calls it runs concurrently.
	InFlight int
	Slots    int
	// PendingTokens counts the prompt tokens at the server whose prefill isn't done, as far as
	// known.
	PendingTokens int
	// PrefillTokens counts the prompt tokens of the call itself that the server would have to
	// compute.
	PrefillTokens int
	// TokenCost is the prefill time of a prompt token at this server, in milliseconds; zero selects
	// the query's value.
	TokenCost float64
	// HeldTokens is the memory that the known calls at the server use.
	HeldTokens int
	// Headroom means that only this box may use the memory above the limit that applies to all
	// boxes.
	Headroom  bool
	OtherZone bool
	// Suspect means that the server hasn't responded lately. It is a candidate only if all servers
	// are suspect, and its known calls show nothing about when a slot will be free.
	Suspect bool
	// FailureRate is the recent share of calls that failed, from 0 to 1.
	FailureRate float64
	Cold        bool
	// Exclusive means that this box may send the server a bounded number of calls and counts them
	// itself, so that no owner has a more accurate view.
	Exclusive bool
	// Lateness is by how much, in milliseconds, first events at the server have recently been later
	// than at others.
	Lateness float64
	// ExtraCost is added to the estimated wait, in milliseconds.
	ExtraCost float64
}

// Costs, in milliseconds of waiting.
const (
	// inFlightCost is how much each call in flight delays the next one. Each adds 0.05 to 0.12 ms
	// to a step of the batch, and an answer takes some 20 steps.
	inFlightCost = 2.0
	// otherZoneCost covers the round trip to another zone and the traffic between zones.
	otherZoneCost = 6.0
	// lagCost is added for each millisecond by which load reports from other zones are older than
	// normalLag, since the known load of their runners is outdated by as much.
	lagCost   = 0.06
	normalLag = 100.0
	// failureCost is the cost of a call that is certain to fail.
	failureCost = 400.0
	// coldCost keeps calls away from a server that is still slow after its start, while other
	// servers are available.
	coldCost = 20.0
	// fullCost is the wait for a slot when all are in use.
	fullCost = 100.0
	// affinitySlack is how much longer a call may wait at the runner that its affinity key selects
	// before it goes to another one. Computing 10,000 tokens again takes 60 to 180 ms.
	affinitySlack = 150.0
)

// Choose returns the index of the best candidate, or -1 if there are none. All candidates must have
// been admitted.
func Choose(query Query, candidates []Candidate) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := waiting(query, &candidates[i]) + tieBreak(query, candidates[i].Name)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if query.AffinityKey == 0 || best < 0 {
		return best
	}
	first, second := affinityCandidates(query.AffinityKey, candidates)
	for _, preferred := range [...]int{first, second} {
		if preferred >= 0 && waiting(query, &candidates[preferred]) <= bestCost+affinitySlack {
			return preferred
		}
	}
	return best
}

// waiting estimates how long a call waits at a server.
func waiting(query Query, c *Candidate) float64 {
	cost := float64(c.PendingTokens+c.PrefillTokens)*c.tokenCost(query) + float64(c.InFlight)*inFlightCost + c.FailureRate*failureCost + c.Lateness + c.ExtraCost
	if c.OtherZone {
		cost += otherZoneCost + lagCost*max(query.OtherZoneLag-normalLag, 0)
	}
	if c.Cold {
		cost += coldCost
	}
	if c.Slots > 0 && c.InFlight >= c.Slots {
		cost += fullCost * float64(1+c.InFlight-c.Slots)
	}
	return cost
}

// tokenCost returns the prefill time of a prompt token at the server, in milliseconds.
func (c *Candidate) tokenCost(query Query) float64 { return cmp.Or(c.TokenCost, query.TokenCost) }

// tieRange is the cost difference, in milliseconds, below which calls are spread over servers.
const tieRange = 1.0

// tieBreak returns a pseudo-random cost for a server and a call, from 0 to tieRange, or to the
// unreported work that may have reached the server if that is more.
func tieBreak(query Query, name string) float64 {
	return max(tieRange, query.UnreportedWork) * float64(rank(query.TieBreaker, name)>>11) / (1 << 53)
}

// affinityCandidates returns the indices of the two candidates with the lowest rendezvous rank.
func affinityCandidates(key uint64, candidates []Candidate) (first, second int) {
	first, second = -1, -1
	var firstRank, secondRank uint64
	for i := range candidates {
		r := rank(key, candidates[i].Name)
		switch {
		case first < 0 || r < firstRank:
			first, second, firstRank, secondRank = i, first, r, firstRank
		case second < 0 || r < secondRank:
			second, secondRank = i, r
		}
	}
	return first, second
}

// Constants of the two hashes that rank combines. All boxes must compute the same ranks, so
// changing these is as incompatible as changing a message between boxes.
const (
	fnvOffset   = 14695981039346656037
	fnvPrime    = 1099511628211
	firstMixer  = 0xbf58476d1ce4e5b9
	secondMixer = 0x94d049bb133111eb
)

// rank hashes a number and a name together (FNV-1a with a SplitMix64 finalizer).
func rank(seed uint64, name string) uint64 {
	h := seed ^ fnvOffset
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	h ^= h >> 30
	h *= firstMixer
	h ^= h >> 27
	h *= secondMixer
	return h ^ h>>31
}
