// Package coldstart bounds the calls that reach a backend server while it is cold: for some seconds
// after its start, and whenever it says so, a server bears few calls a second and crashes under many
// more.
//
// The load that it answers: all servers of an availability zone return at once, empty, while every
// other one is busy, so each entry box finds them the least loaded.
//
// Boxes share no counter. One box, which rendezvous hashing over the listed boxes gives (package
// loadshare), calls a cold server. Lists differ by their lag, so a box begins some seconds after it
// was listed, and stops when it is about to leave or knows nothing new of the servers for as long.
// Its Window admits half of what the platform allows in a second, so the bound also holds while two
// boxes take themselves for the one.
package coldstart

import (
	"math"
	"time"
)

// Limit is what a platform says of the cold servers of a service. The zero value bounds nothing.
type Limit struct {
	// Length is how long a server is cold after its start.
	ColdTime time.Duration
	// PerSecond is how many calls a second a cold server bears; all boxes together may send it
	// Overage times as many, and Slack more, in any second.
	PerSecond, Overage, Slack float64
}

// Bounded reports whether the calls to cold servers are bounded at all.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

const (
	// concurrentOwners is for how many boxes at a time the bound holds that take themselves for the
	// only one that calls a server.
	concurrentOwners = 2
	// sendMargin is how much later than it was admitted a call may reach the server: as long as it
	// stays valid (AdmittedFor), and a connect.
	sendMargin = 300 * time.Millisecond
	// AdmittedFor is how long an admitted call may take until it is handed over. A box that was
	// suspended or lacked the processor for longer has to admit it anew.
	AdmissionValidity = 150 * time.Millisecond
)

// windowLength is the time over which a Window counts: a call admitted within it may arrive in the
// same second as one that is admitted now.
const windowLength = time.Second + sendMargin

// calls gives how many calls one box may admit within windowLength: its part of what all may send in
// a second, and no more than the server bears for long.
func (l Limit) calls() int {
	part := math.Floor((l.PerSecond*l.Overage + l.Slack) / concurrentOwners)
	return int(max(min(part, math.Floor(l.PerSecond*windowLength.Seconds())), 1))
}

// Window counts the calls that this box admitted to one server lately. The zero value has admitted
// none. It is not safe for concurrent use.
type Window struct {
	// admitted are the times of the last calls, oldest first.
	admitted []time.Time
}

// HasRoom reports whether a call may be admitted at time now.
func (w *Window) HasRoom(limit Limit, now time.Time) bool {
	w.expire(now)
	return len(w.admitted) < limit.calls()
}

// Admit notes a call that is admitted at time now.
func (w *Window) Admit(now time.Time) {
	w.expire(now)
	w.admitted = append(w.admitted, now)
}

func (w *Window) expire(now time.Time) {
	expired := 0
	for expired < len(w.admitted) && now.Sub(w.admitted[expired]) >= windowLength {
		expired++
	}
	w.admitted = w.admitted[expired:]
}
