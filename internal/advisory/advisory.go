// Package advisory keeps what a backend server says of itself in its answers: the rate of requests
// that it takes from all boxes together, that it drains, and that it wants a pause from one box.
//
// An answer is newer than the server's entry in the registry, which may lag by seconds or not be
// written at all while the registry is down. A Record holds the newest statement for one incarnation
// of a server, from this box's own answers or from the reports of other boxes. It is plain data; the
// time is a parameter.
//
// Answers overtake one another, so statements are ordered by time. One that names a limit counts from
// when it was received; one without a limit counts from when its request was sent, since the server
// may have written it at any moment after that.
package advisory

import (
	"cmp"
	"time"
)

// LimitStatement is what an answer says of a rate limit.
type LimitStatement uint8

// Statements on a rate limit.
const (
	// LimitAbsent answers name no limit.
	LimitAbsent LimitStatement = iota
	// LimitNamed answers name one.
	LimitNamed
	// LimitMalformed answers name one that cannot be read: there is a limit, as far as known the
	// same as before.
	LimitMalformed
)

// Advisory is what one answer says of the server that gave it. The zero value says nothing.
type Advisory struct {
	// Draining servers take nothing new, and end soon.
	Draining bool
	Limit    LimitStatement
	// PerSecond is the named limit in requests a second.
	PerSecond float64
	// Pause is how long the server wants nothing from the box that it answers.
	Pause time.Duration
}

// Answer is an advisory with the times of the exchange that it came by.
type Answer struct {
	Advisory
	// Sent is when the request was handed over, Received when the head of the answer came.
	Sent, Received time.Time
	// Genuine says that the server made the answer, so that what it leaves out is not lost.
	Genuine bool
}

// leastPerSecond is the rate, in requests a second, that is taken for the limit of a server that names
// a lower one or zero: without any request nothing would show that the limit has ended.
const leastPerSecond = 0.1

const (
	// limitReportedFor is how long after its last answer with a limit a box reports it to others,
	// and endReportedFor how long it reports the end of one.
	limitReportedFor = time.Minute
	endReportedFor   = 10 * time.Second
)

// Report is what one box tells others of its own answers from a server.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// LimitKnown says that there is a statement on a rate limit, PerSecond is the limit in requests a
	// second, zero where there is none any more, and LimitAge how old the statement is.
	LimitKnown bool          `msgpack:"k,omitempty"`
	PerSecond  float64       `msgpack:"l,omitempty"`
	LimitAge   time.Duration `msgpack:"a,omitempty"`
	// Draining says that the server drains, as of DrainingAge ago.
	Draining    bool          `msgpack:"d,omitempty"`
	DrainingAge time.Duration `msgpack:"e,omitempty"`
}

// Aged gives a report as it is to be passed on some time later.
func (r *Report) Aged(passed time.Duration) *Report {
	if r == nil {
		return nil
	}
	later := *r
	later.LimitAge += passed
	later.DrainingAge += passed
	return &later
}

// Merge gives the newest statements of two reports, either of which may be missing.
func Merge(a, b *Report) *Report {
	if a == nil || b == nil {
		return cmp.Or(a, b)
	}
	joined := *a
	if b.LimitKnown && (!a.LimitKnown || b.LimitAge < a.LimitAge) {
		joined.LimitKnown, joined.PerSecond, joined.LimitAge = true, b.PerSecond, b.LimitAge
	}
	if b.Draining && (!a.Draining || b.DrainingAge < a.DrainingAge) {
		joined.Draining, joined.DrainingAge = true, b.DrainingAge
	}
	return &joined
}

// limit is a statement on a rate limit; the zero value is none. A perSecond of zero ends a limit.
type limit struct {
	perSecond float64
	at        time.Time
}

// Record is what is known of one incarnation of a server. The zero value knows nothing. It is not
// safe for concurrent use.
type Record struct {
	// newest is the newest statement, and own the newest of this box's own answers, which alone is
	// reported: a statement that boxes passed on in turn would never grow old.
	newest, own limit
	// drainingAt is when the server last said that it drains, ownDrainingAt when it said so to this box,
	// and readyAt when its entry said again that it does not.
	drainingAt, ownDrainingAt, readyAt time.Time
	// pausedUntil is until when the server wants nothing from this box. Others are not told of it.
	pausedUntil time.Time
}

// Change is what a statement changed.
type Change struct {
	// Limit says that the rate limit is another one, Draining that the server drains from now on, and
	// Paused that it wants nothing from now on.
	Limit, Draining, Paused bool
}

// ApplyAnswer takes over what an answer says.
func (r *Record) ApplyAnswer(answer Answer) Change {
	change := Change{Limit: r.takeLimit(answer)}
	if answer.Draining {
		r.ownDrainingAt = answer.Received
		change.Draining = r.drains(answer.Received)
	}
	if until := answer.Received.Add(answer.Pause); answer.Pause > 0 && until.After(r.pausedUntil) {
		change.Paused = r.PausedFor(answer.Received) == 0
		r.pausedUntil = until
	}
	return change
}

// PausedFor is how much longer the server wants nothing from this box; zero when it takes calls. An
// answer without a pause ends none.
func (r *Record) PausedFor(now time.Time) time.Duration { return max(r.pausedUntil.Sub(now), 0) }

// ApplyReport takes over what another box reported. now is when the report came.
func (r *Record) ApplyReport(report Report, now time.Time) Change {
	change := Change{}
	if report.LimitKnown && report.PerSecond >= 0 {
		change.Limit = r.take(limit{report.PerSecond, now.Add(-max(report.LimitAge, 0))})
	}
	if report.Draining {
		change.Draining = r.drains(now.Add(-max(report.DrainingAge, 0)))
	}
	return change
}

// drains notes that the server drained at a time, and reports whether that is news.
func (r *Record) drains(at time.Time) bool {
	before := r.Draining()
	if at.After(r.drainingAt) {
		r.drainingAt = at
	}
	return r.Draining() && !before
}

// Draining reports whether the server drains. It does until it ends, unless it was ready again.
func (r *Record) Draining() bool { return r.drainingAt.After(r.readyAt) }

// NoteReady notes that the server's entry said that it drains, and says at a time that it no longer does.
func (r *Record) NoteReady(at time.Time) { r.readyAt = at }

// takeLimit takes over what an answer says of a rate limit, and reports whether the limit changed.
func (r *Record) takeLimit(answer Answer) (changed bool) {
	next := limit{max(answer.PerSecond, leastPerSecond), answer.Received}
	switch answer.Limit {
	case LimitNamed:
	case LimitMalformed:
		if r.newest.perSecond == 0 {
			return false
		}
		next.perSecond = r.newest.perSecond
	case LimitAbsent:
		if !answer.Genuine || r.newest.at.IsZero() {
			return false
		}
		next = limit{at: answer.Sent}
	}
	if next.at.After(r.own.at) {
		r.own = next
	}
	return r.take(next)
}

func (r *Record) take(next limit) (changed bool) {
	if !next.at.After(r.newest.at) {
		return false
	}
	changed = next.perSecond != r.newest.perSecond
	r.newest = next
	return changed
}

// Limit gives the rate in requests a second that the server takes from all boxes together, and how
// old the newest statement of it is; false when it names none.
func (r *Record) Limit(now time.Time) (perSecond float64, age time.Duration, limited bool) {
	return r.newest.perSecond, now.Sub(r.newest.at), r.newest.perSecond > 0
}

// Report gives what other boxes are to know; nil when there is nothing.
func (r *Record) Report(now time.Time) *Report {
	report := Report{}
	reportedFor := limitReportedFor
	if r.own.perSecond == 0 {
		reportedFor = endReportedFor
	}
	if !r.own.at.IsZero() && now.Sub(r.own.at) <= reportedFor {
		report.LimitKnown, report.PerSecond, report.LimitAge = true, r.own.perSecond, now.Sub(r.own.at)
	}
	if r.ownDrainingAt.After(r.readyAt) {
		report.Draining, report.DrainingAge = true, now.Sub(r.ownDrainingAt)
	}
	if !report.LimitKnown && !report.Draining {
		return nil
	}
	return &report
}
