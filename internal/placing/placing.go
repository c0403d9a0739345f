// Package placing decides which backend servers may take a call (Admits, in admit.go) and
// which of those it goes to (Choose): pure functions of plain data, without a clock and
// without I/O.
//
// For a plain service it is the least loaded server, the box's own zone first.
// For a prompt it is the least loaded runner too, as long as what the prompt
// shares with others can be fetched from a store box, since then one runner is as
// good as another. A shared part that no store box holds yet is read by one of two
// runners that rendezvous hashing gives it, so that boxes that know nothing of
// each other do not have it read by several at once.
package placing

import (
	"cmp"
	"math"
)

// Query is the work that a call brings.
type Query struct {
	// Home gives calls that should meet at the same runner the same number; zero
	// means that any runner will do.
	AffinityKey uint64
	// TokenCost is the time to read a prompt token, in milliseconds.
	TokenCost float64
	// Spread breaks ties; it differs from call to call.
	TieBreaker uint64
	// Unseen is the work in milliseconds that may have come to each runner without this
	// box knowing of it yet, and LagElsewhere how many milliseconds old the word of boxes
	// in other zones is.
	UnreportedWork float64
	OtherZoneLag   float64
	// ReadLimit bounds the time in milliseconds that prompts wait to be read at a
	// runner, this one included, unless it would be the only one; zero is no bound.
	PrefillLimit float64
	// Tokens is the memory that the call takes at a runner until its end, and Memory
	// what a runner has. A long prompt goes to no runner where it does not fit beside
	// the others: it would drive one of them out, which is then read again. A Memory
	// of zero is no bound.
	Tokens int
	Memory int
}

// Candidate is what is known of a server that may take the call.
type Candidate struct {
	// Name identifies the server for rendezvous hashing.
	Name string
	// InFlight counts the calls there that are known of; Slots is what it runs at once.
	InFlight int
	Slots    int
	// PendingTokens is the known prompt work there that is not done.
	PendingTokens int
	// WorkTokens is the prompt work that the call itself would bring.
	PrefillTokens int
	// TokenCost is the time to read a prompt token there, in milliseconds; zero stands for the
	// query's.
	TokenCost float64
	// HeldTokens is the memory that the known calls there take.
	HeldTokens int
	// Headroom says that this box alone may fill the memory beyond what all may.
	Headroom  bool
	OtherZone bool
	// Failing is the recent share of failed calls, 0 to 1.
	FailureRate float64
	Cold        bool
	// Exclusive says that this box may send the server a bounded number of calls and counts them itself,
	// so that no owner knows better.
	Exclusive bool
	// ExtraCost in milliseconds comes on top.
	ExtraCost float64
}

// Costs, in milliseconds of waiting.
const (
	// callCost is what each call in flight adds to the next one's time: a step of
	// the batch grows by 0.05 to 0.12 ms with each, and an answer has some 20.
	callCost = 2.0
	// zoneCost covers the way to another zone and back, and the bytes that cross between
	// zones.
	zoneCost = 6.0
	// lagCost is what each millisecond by which the word from other zones is older than
	// usualLag adds: what is known of their runners is out of date by so much.
	lagCost  = 0.06
	usualLag = 100.0
	// failingCost is what a certain failure costs.
	failingCost = 400.0
	// coldCost keeps calls from a server that is still slow, while others do.
	coldCost = 20.0
	// fullCost is the wait for a slot when all are taken.
	fullCost = 100.0
	// homeSlack is how much longer a call waits at the home of what it shares
	// before it goes elsewhere; reading 10,000 tokens again takes 60 to 180 ms.
	homeSlack = 150.0
)

// Choose gives the index of the best of the candidates, which are admitted, or -1
// without any.
func Choose(query Query, candidates []Candidate) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		cost := waiting(query, &candidates[i]) + tie(query, candidates[i].Name)
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if query.AffinityKey == 0 || best < 0 {
		return best
	}
	first, second := homes(query.AffinityKey, candidates)
	for _, home := range [...]int{first, second} {
		if home >= 0 && waiting(query, &candidates[home]) <= bestCost+homeSlack {
			return home
		}
	}
	return best
}

// waiting estimates the time that a call waits at a server.
func waiting(query Query, c *Candidate) float64 {
	cost := float64(c.PendingTokens+c.PrefillTokens)*c.tokenCost(query) + float64(c.InFlight)*callCost + c.FailureRate*failingCost + c.ExtraCost
	if c.OtherZone {
		cost += zoneCost + lagCost*max(query.OtherZoneLag-usualLag, 0)
	}
	if c.Cold {
		cost += coldCost
	}
	if c.Slots > 0 && c.InFlight >= c.Slots {
		cost += fullCost * float64(1+c.InFlight-c.Slots)
	}
	return cost
}

// tokenCost gives the time to read a prompt token at the server, in milliseconds.
func (c *Candidate) tokenCost(query Query) float64 { return cmp.Or(c.TokenCost, query.TokenCost) }

// tieRange spreads calls over servers that differ by less, in milliseconds.
const tieRange = 1.0

// tie gives a server's part in the breaking of ties for a call, of 0 to tieRange, or to the
// work that may have come there unseen.
func tie(query Query, name string) float64 {
	return max(tieRange, query.UnreportedWork) * float64(rank(query.TieBreaker, name)>>11) / (1 << 53)
}

// homes gives the two candidates of lowest rendezvous rank.
func homes(home uint64, candidates []Candidate) (first, second int) {
	first, second = -1, -1
	var firstRank, secondRank uint64
	for i := range candidates {
		r := rank(home, candidates[i].Name)
		switch {
		case first < 0 || r < firstRank:
			first, second, firstRank, secondRank = i, first, r, firstRank
		case second < 0 || r < secondRank:
			second, secondRank = i, r
		}
	}
	return first, second
}

// Numbers of the two hashes that rank is made of. All boxes must rank alike, so they are
// no more to be changed than a message between boxes.
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
