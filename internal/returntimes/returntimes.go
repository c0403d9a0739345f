// Package returntimes decides when refused calls should be sent again, and recognises those that have
// come back. It is pure: the time is a parameter, and it starts no goroutine and does not block.
//
// The load that it answers: in a burst, some thousand calls are refused within a second. If all of
// them come back after the same time, or at random within a time that is shorter than the
// backlog, they meet the same shortage again, and refusals outlast the burst. So each refused call
// gets a time of its own, after the queue has drained, and they come back more slowly than calls are
// admitted.
package returntimes

import (
	"math"
	"time"
)

const (
	// returnFraction is the part of the admission rate that returning calls may take; the rest is for
	// new ones.
	returnFraction = 0.5
	// earliest is the least time after which a call is sent again: full runners stay full for about as
	// long.
	earliest = 80 * time.Millisecond
	// minRate bounds the distance of two return times, in calls a second.
	minRate = 0.5
)

// Refusal describes a call that is refused.
type Refusal struct {
	// PerSecond is the rate at which calls of its priority are admitted, and Drain is how long it
	// takes until the waiting ones are.
	PerSecond float64
	Drain     time.Duration
	// Latest is the longest time after which the caller sends the call again.
	Latest time.Duration
}

// Schedule assigns return times. The zero value is empty.
type Schedule struct {
	// next is the first time that isn't assigned yet.
	next time.Time
	// overflow counts the calls for which that was too late.
	overflow uint64
}

// Next returns how long after now a refused call should come back.
func (s *Schedule) Next(refusal Refusal, now time.Time) time.Duration {
	first := max(refusal.Drain, earliest)
	if s.next.Before(now.Add(first)) {
		s.next = now.Add(first)
	}
	after := s.next.Sub(now)
	if after > refusal.Latest {
		return s.spread(min(first, refusal.Latest/2), refusal.Latest)
	}
	s.next = s.next.Add(time.Duration(float64(time.Second) / (returnFraction * max(refusal.PerSecond, minRate))))
	return after
}

// spread returns a time for a call that can't wait until the first unassigned time. Consecutive calls
// get times that are evenly distributed over the range.
func (s *Schedule) spread(from, to time.Duration) time.Duration {
	s.overflow++
	_, position := math.Modf(float64(s.overflow) / math.Phi)
	return from + time.Duration(position*float64(to-from))
}
