// Package reach detects that this box reaches none of the servers of a service, while other boxes may:
// its links to them hang, or are reset and refused. One server that does not respond shows nothing about
// the others, so the box probes several of them as soon as a service has sent nothing for a while, and
// considers the service unreachable only if none of them accepts a connection. While it is unreachable,
// probes go on, and the first connection that succeeds ends it.
//
// The load that it answers: a box whose links to all servers are cut refuses or delays each of its calls,
// although its callers and the other boxes reach it, so that the calls can be forwarded (package
// peerpath).
package reach

import "time"

const (
	// doubtAfter is how long a service with calls may send nothing before it is probed. It is some
	// times what a response takes, and a fraction of the objectives of calls.
	doubtAfter = 400 * time.Millisecond
	// recheckAfter is the time between two probes of a service that was found reachable, so that calls
	// that take long cause few probes.
	recheckAfter = time.Second
	// retryInterval is the time between two probes of an unreachable service.
	retryInterval = 100 * time.Millisecond
	// minFailures is the number of failed connections, with no contact in between, after which a
	// service is probed at once.
	minFailures = 3
)

// tracker holds what is known about one service. It is pure: times are parameters.
type tracker struct {
	// pendingSince is when the first call was sent after the last contact; zero if there was none.
	pendingSince time.Time
	// failures counts the connections that failed since the last contact.
	failures int
	// probedAt is when the last probe ended; probing is set during one, and contactInProbe if a server
	// has responded since it began.
	probedAt       time.Time
	probing        bool
	contactInProbe bool
	// unreachable is set while no server can be reached, since unreachableSince.
	unreachable      bool
	unreachableSince time.Time
}

// noteSent records that a call is sent to a server.
func (t *tracker) noteSent(now time.Time) {
	if t.pendingSince.IsZero() {
		t.pendingSince = now
	}
}

// noteContact records that a server has responded or accepted a connection. It reports whether that ends
// a time in which the service was unreachable.
func (t *tracker) noteContact() (ended bool) {
	ended = t.unreachable
	t.pendingSince, t.failures, t.unreachable = time.Time{}, 0, false
	t.contactInProbe = t.probing
	return ended
}

// noteFailure records that a connection to a server failed.
func (t *tracker) noteFailure(now time.Time) {
	t.failures++
	t.noteSent(now)
}

// probeIn returns the time until the service is to be probed; due is false if there is no reason to.
func (t *tracker) probeIn(now time.Time) (after time.Duration, due bool) {
	switch {
	case t.probing:
		return 0, false
	case t.unreachable:
		return t.probedAt.Add(retryInterval).Sub(now), true
	case t.failures >= minFailures:
		return t.probedAt.Add(retryInterval).Sub(now), true
	case t.pendingSince.IsZero():
		return 0, false
	default:
		return max(t.pendingSince.Add(doubtAfter).Sub(now), t.probedAt.Add(recheckAfter).Sub(now)), true
	}
}

// beginProbe records that a probe begins.
func (t *tracker) beginProbe() { t.probing, t.contactInProbe = true, false }

// endProbe records that a probe has ended.
func (t *tracker) endProbe(now time.Time) { t.probedAt, t.probing = now, false }

// noteFailedProbe records that a probe has failed at all servers. It reports whether the service has become
// unreachable by it. A response that arrived meanwhile counts for more: where only new connections are
// refused, the service would otherwise be found unreachable and reachable by turns.
func (t *tracker) noteFailedProbe(now time.Time) (began bool) {
	t.endProbe(now)
	if t.unreachable || t.contactInProbe {
		return false
	}
	t.unreachable, t.unreachableSince = true, now
	return true
}
