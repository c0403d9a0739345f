// Runners as a tier of kept context. A runner's memory keeps the parts that it read or
// fetched last, and its links are many times those of store boxes: a call that goes where
// its part is needs no move, and one that goes elsewhere fetches it from there. Runners
// drop parts whenever they need the room and tell of it late, so what is known of them is
// a hint; a part that is gone costs a millisecond and is read.

package partindex

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

const (
	// worthKnowing is the least size of a part, in tokens, whose place in runners'
	// memories is followed: smaller ones are read as quickly as they are fetched.
	worthKnowing = 1000
	// runnerFirstByte is the time that a move from a runner waits besides its transfer.
	runnerFirstByte = 14 * time.Millisecond
	// maxShared bounds the parts that are remembered as shared by prompts.
	maxShared = 1 << 16
)

// Runner is a runner whose memory is followed.
type Runner struct {
	Name     string
	Address  string
	Zone     string
	LinkMbps float64
}

// ConfigureRunners takes over which runners there are.
func (x *Index) ConfigureRunners(runners []Runner) {
	x.mu.Lock()
	defer x.mu.Unlock()
	next := make(map[string]*store, len(runners))
	for _, runner := range runners {
		s := x.runners[runner.Address]
		if s == nil || s.name != runner.Name {
			s = &store{name: runner.Name, runner: true, held: map[Key]int{}, unfinished: map[Key]int{}}
		}
		s.config = catalog.Store{Address: runner.Address, Zone: runner.Zone, LinkMbps: runner.LinkMbps, FirstByte: runnerFirstByte}
		next[runner.Address] = s
	}
	x.runners = next
}

// noteShared remembers a part that prompts share, or that a store box keeps, which is the
// same: a runner's events name all parts alike, and most are of use to one call only. The
// caller holds mu.
func (x *Index) noteShared(id string, tokens int) {
	if tokens < worthKnowing {
		return
	}
	if len(x.shared) > maxShared {
		clear(x.shared)
	}
	x.shared[id] = true
}

// restart begins a new life of a runner, or goes on after lost events: what is known of it
// begins with these. The caller holds mu.
func (x *Index) restart(s *store, report Report) {
	s.forget()
	s.told = told{until: s.told.until}
	s.life, s.next = report.Life, report.Next
	x.take(s, report)
}

// keptAt gives how many tokens of a prompt each runner keeps, from its beginning, by the
// runner's address. The caller holds mu.
func (x *Index) keptAt(namespace string, parts []call.Part, now time.Time) map[string]int {
	var kept map[string]int
	for address, s := range x.runners {
		if now.Sub(s.heardAt) > freshFor {
			continue
		}
		tokens := 0
		for _, part := range parts {
			held := min(s.held[Key{namespace, part.ID}], part.Tokens)
			if tokens += held; !almostWhole(held, part.Tokens) {
				break
			}
		}
		if tokens == 0 {
			continue
		}
		if kept == nil {
			kept = map[string]int{}
		}
		kept[address] = tokens
	}
	return kept
}

// runnerWith finds a runner that keeps a part whole; calls that look at the same time are
// spread over those that do. The caller holds mu.
func (x *Index) runnerWith(key Key, tokens int, spread uint64, now time.Time) *store {
	var best *store
	var bestRank uint64
	for address, s := range x.runners {
		if !almostWhole(s.held[key], tokens) || now.Sub(s.heardAt) > freshFor {
			continue
		}
		if rank := xxhash.Sum64String(address) ^ spread*spreadPrime; best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// wholePart is the part of a part that a runner must keep for it to count as whole: its
// memory goes by blocks, and the last one is not kept unless it is full.
const wholePart = 0.98

func almostWhole(held, tokens int) bool { return float64(held) >= wholePart*float64(tokens) }

// spreadPrime spreads numbers that follow each other (2^64 divided by the golden ratio).
const spreadPrime = 0x9e3779b97f4a7c15
