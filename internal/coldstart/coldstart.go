// Package coldstart limits the calls to a backend server while it is cold. A server is cold for
// some seconds after its start, and whenever it reports so. It can then handle only a few calls per
// second, and crashes under many more.
//
// The package protects against the return of a whole availability zone. All of its servers come
// back at once and idle while every other server is busy, so each entry box finds them the least
// loaded.
//
// Boxes share no counter. Instead, a single box sends calls to a cold server; rendezvous hashing
// over the listed boxes selects it (package loadshare). The boxes' lists may differ for a while
// because they are replicated with a lag. So a box starts only some seconds after it was listed,
// and stops when it is about to leave or when its view of the servers hasn't been updated for as
// long. A Window admits half of the calls that the platform allows per second, so the limit also
// holds while two boxes both consider themselves the selected one.
package coldstart

import (
	"math"
	"time"
)

// Limit is the platform's limit for the cold servers of a service. The zero value sets no limit.
type Limit struct {
	// ColdTime is how long a server is cold after its start.
	ColdTime time.Duration
	// PerSecond is how many calls per second a cold server can handle. All boxes together may send
	// Overage times as many, plus Slack, within any second.
	PerSecond, Overage, Slack float64
}

// Bounded reports whether calls to cold servers are limited at all.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

const (
	// concurrentOwners is the number of boxes that may consider themselves the only caller of a
	// server at the same time without exceeding the limit.
	concurrentOwners = 2
	// deliveryMargin is the longest time from a call's admission to its arrival at the server: the
	// validity of the admission (AdmissionValidity) plus a connect.
	deliveryMargin = 300 * time.Millisecond
	// AdmissionValidity is how long after its admission a call may be sent. A box that was
	// suspended or got no CPU time for longer must admit the call again.
	AdmissionValidity = 150 * time.Millisecond
)

// windowLength is the period over which a Window counts. A call admitted within it may arrive in
// the same second as one that is admitted now.
const windowLength = time.Second + deliveryMargin

// maxCalls returns how many calls one box may admit within windowLength: its share of what all
// boxes may send in a second, but no more than the server can handle permanently.
func (l Limit) maxCalls() int {
	share := math.Floor((l.PerSecond*l.Overage + l.Slack) / concurrentOwners)
	return int(max(min(share, math.Floor(l.PerSecond*windowLength.Seconds())), 1))
}

// Window counts the calls that this box recently admitted to one server. The zero value is an empty
// window. It is not safe for concurrent use.
type Window struct {
	// admitted holds the times of the last admissions, oldest first.
	admitted []time.Time
}

// HasRoom reports whether a call may be admitted at the time now.
func (w *Window) HasRoom(limit Limit, now time.Time) bool {
	w.expire(now)
	return len(w.admitted) < limit.maxCalls()
}

// Admit records a call that is admitted at the time now.
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
