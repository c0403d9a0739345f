// What calls require of a server, so that a recheck tries only those that may find one.

package waitqueue

import "slices"

// Demand is what a call requires of the server that takes it. Two demands can be compared only if the
// same servers may take both calls.
type Demand struct {
	// Class identifies the servers that may take the call regardless of their load: the service, the
	// model, the versions of its weights, the allowed zones and the excluded servers.
	Class uint64
	// Tokens is the memory that the call uses, and Memory is the memory of a server; zero means
	// that memory isn't checked.
	Tokens, Memory int
	// MinPrefill and MaxPrefill bound the prompt tokens that a server has to compute, which depend
	// on the version of its weights.
	MinPrefill, MaxPrefill int
	// Brief means that the call occupies a slot for a short time, so that it may use slots and memory
	// that are kept free by other calls.
	Brief bool
	// PrefillLimit bounds the time until the prefill is done, in milliseconds; zero means no limit.
	PrefillLimit float64
	// LateLimit replaces PrefillLimit at servers with a free slot; zero if it doesn't.
	LateLimit float64
}

// AtLeast reports whether every server without capacity for a call with the other demand has none for
// this one either.
func (d Demand) AtLeast(other Demand) bool {
	if d == other {
		return true
	}
	return d.Class == other.Class && (other.Brief || !d.Brief) && d.Tokens >= other.Tokens && (other.Memory == 0 || d.Memory == other.Memory) &&
		d.MinPrefill >= other.MaxPrefill && d.isLimitedBy(other)
}

// isLimitedBy reports whether the call may wait for its prefill only where one with the other demand may.
func (d Demand) isLimitedBy(other Demand) bool {
	return other.PrefillLimit == 0 || d.PrefillLimit > 0 && d.PrefillLimit <= other.PrefillLimit && d.LateLimit <= max(other.PrefillLimit, other.LateLimit)
}

// Least returns a demand such that this one and another one are AtLeast it. It returns the demand itself
// if the two cannot be compared.
func (d Demand) Least(other Demand) Demand {
	if d.Class != other.Class {
		return d
	}
	prefill := min(d.MinPrefill, other.MinPrefill)
	least := Demand{Class: d.Class, Brief: d.Brief || other.Brief, Tokens: min(d.Tokens, other.Tokens), MinPrefill: prefill, MaxPrefill: prefill}
	if d.Memory == other.Memory {
		least.Memory = d.Memory
	}
	if d.PrefillLimit > 0 && other.PrefillLimit > 0 {
		least.PrefillLimit = max(d.PrefillLimit, other.PrefillLimit)
		least.LateLimit = max(d.LateLimit, other.LateLimit)
	}
	return least
}

// Shortfall is a set of demands for which no server has capacity. The zero value is empty.
type Shortfall struct{ least []Demand }

// Add adds the demand of a call that found no server.
func (s *Shortfall) Add(demand Demand) {
	s.least = slices.DeleteFunc(s.least, func(d Demand) bool { return d.AtLeast(demand) })
	s.least = append(s.least, demand)
}

// Includes reports whether no server has capacity for a demand.
func (s *Shortfall) Includes(demand Demand) bool {
	return slices.ContainsFunc(s.least, demand.AtLeast)
}

// Empty reports whether there is no demand in the set.
func (s *Shortfall) Empty() bool { return len(s.least) == 0 }

// Clear removes all demands.
func (s *Shortfall) Clear() { s.least = s.least[:0] }
