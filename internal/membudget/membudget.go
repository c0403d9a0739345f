// Package membudget accounts for the memory that a box holds for calls whose callers or servers are
// slow: request bodies, buffered answers, and parts of streams that the caller has not read. It
// bounds the total, the part of one organisation, and that of one call. It is pure accounting: it
// allocates nothing and never waits.
//
// New calls are admitted up to a fraction of the bounds; the rest is kept for calls in progress,
// whose answers would otherwise find no memory because of calls that have just begun.
package membudget

import (
	"math"
	"sync"
	"time"
)

const (
	// fixedBytes is the memory of a box without calls: its view of the servers and of the stored
	// parts, and the program.
	fixedBytes = 48 << 20
	// budgetFraction is the fraction of the rest of the box's memory limit that calls may hold. The
	// garbage collector needs the other half.
	budgetFraction = 0.5
	// minFraction is the least fraction of the memory limit that calls may hold.
	minFraction = 0.125
	// organisationFraction and callFraction are the fractions of the total that one organisation and
	// one call may hold.
	organisationFraction = 0.5
	callFraction         = 0.25
	// newFraction is the fraction of a bound up to which new calls are admitted.
	newFraction = 0.75
)

// Limits bounds what calls hold, in bytes. Zero values mean no bound.
type Limits struct {
	Total, PerOrganisation, PerCall int64
}

// LimitsFor returns the limits for a process with a memory limit; zero means that there is none.
func LimitsFor(memoryBytes int64) Limits {
	if memoryBytes <= 0 {
		return Limits{}
	}
	total := max(budgetFraction*float64(memoryBytes-fixedBytes), minFraction*float64(memoryBytes))
	return Limits{Total: int64(total), PerOrganisation: int64(organisationFraction * total), PerCall: int64(callFraction * total)}
}

// Budget accounts for the memory of all calls. Its methods may be called concurrently.
type Budget struct {
	limits Limits

	mu   sync.Mutex
	held int64
	// organisations has what each organisation holds, without those that hold nothing.
	organisations map[string]int64
	// released counts the bytes released since observedAt, and releaseRate is their recent rate in
	// bytes per second.
	released    int64
	releaseRate float64
	observedAt  time.Time
}

// New returns a budget of which nothing is held.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, organisations: map[string]int64{}}
}

// Bounded reports whether the budget has a bound.
func (b *Budget) Bounded() bool { return b.limits.Total > 0 }

// Held returns the number of bytes held by all calls.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// FitsCall reports whether one call may hold a number of bytes at all.
func (b *Budget) FitsCall(bytes int64) bool {
	return b.limits.PerCall == 0 || bytes <= newPart(b.limits.PerCall)
}

// Admit accounts for a new call of an organisation, which holds a number of bytes from now on. It
// returns false if there is no room for it. Otherwise the call must be closed once.
func (b *Budget) Admit(organisation string, bytes int64) (*Call, bool) {
	c := &Call{budget: b, organisation: organisation}
	return c, c.GrowNew(bytes)
}

// newPart returns the part of a limit that new calls may fill.
func newPart(limit int64) int64 { return int64(newFraction * float64(limit)) }

// within reports whether a number of bytes is within a limit.
func within(bytes, limit int64) bool { return limit == 0 || bytes <= limit }

const (
	// minRetryAfter and maxRetryAfter bound the estimate of when there is room again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// rateWeight is the weight of the latest interval in the rate of releases.
	rateWeight = 0.5
)

// Observe updates the rate of releases. It is called about once a second.
func (b *Budget) Observe(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	elapsed := now.Sub(b.observedAt).Seconds()
	if !b.observedAt.IsZero() && elapsed > 0 {
		b.releaseRate += rateWeight * (float64(b.released)/elapsed - b.releaseRate)
	}
	b.released, b.observedAt = 0, now
}

// RetryAfter estimates when there is room for a new call of an organisation with a number of bytes,
// by what is held beyond the bound for new calls and by the recent rate of releases.
func (b *Budget) RetryAfter(organisation string, bytes int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	excess := max(b.held+bytes-newPart(b.limits.Total), 0)
	rate := b.releaseRate
	if held := b.organisations[organisation]; b.limits.PerOrganisation > 0 && held > 0 {
		if over := held + bytes - newPart(b.limits.PerOrganisation); over > excess {
			excess, rate = over, rate*float64(held)/float64(b.held)
		}
	}
	seconds := float64(excess) / max(rate, 1)
	return max(minRetryAfter, time.Duration(math.Min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
}
