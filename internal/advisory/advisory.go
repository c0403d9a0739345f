// Package advisory records what a backend server states about itself in its answers: the request
// rate that it accepts from all boxes together, whether it is draining, whether it requests a pause
// from one box, and whether it is brittle.
//
// An answer is newer than the server's entry in the registry, which may lag by seconds, or not be
// written at all while the registry is down. A Record holds the newest statement of one incarnation
// of a server, from this box's own answers or from the reports of other boxes. It is plain data;
// the current time is a parameter.
//
// Answers may arrive out of order, so statements are ordered by time. A statement that contains a
// limit is dated to when it was received. One without a limit is dated to when its request was
// sent, since the server may have written it at any time after that.
package advisory

import (
	"cmp"
	"time"
)

// LimitStatement is what an answer states about a rate limit.
type LimitStatement uint8

// The kinds of LimitStatement.
const (
	// LimitAbsent means that the answer states no limit.
	LimitAbsent LimitStatement = iota
	// LimitNamed means that the answer states a limit.
	LimitNamed
	// LimitMalformed means that the answer states a limit that cannot be parsed. A limit exists
	// then, and the previous value is assumed to apply.
	LimitMalformed
)

// Advisory is what one answer states about the server that sent it. The zero value states nothing.
type Advisory struct {
	// Draining means that the server accepts no new requests and will soon exit.
	Draining bool
	Limit    LimitStatement
	// PerSecond is the rate limit in requests per second.
	PerSecond float64
	// Pause is how long the server wants no requests from the box that it answers.
	Pause time.Duration
	// Brittle is what the answer states about brittleness: the server fails if it refuses more than
	// MaxRefusals calls in a second for want of room.
	Brittle     LimitStatement
	MaxRefusals float64
}

// Answer is an advisory with the times of its request and response.
type Answer struct {
	Advisory
	// Sent is when the request was sent to the server, and Received when the header of the answer
	// was received.
	Sent, Received time.Time
	// Genuine means that the answer came from the server itself, so a header that it lacks was not
	// lost on the way.
	Genuine bool
}

// minPerSecond is the rate limit, in requests per second, that is assumed for a server that states a
// lower one or zero. Without any requests, no answer would show that the limit has ended.
const minPerSecond = 0.1

const (
	// limitReportedFor is how long after its last answer with a limit a box reports the limit to
	// others, and endReportedFor how long it reports the end of a limit.
	limitReportedFor = time.Minute
	endReportedFor   = 10 * time.Second
)

// Report is what one box reports to others from its own answers of a server.
type Report struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double the size

	// LimitKnown means that there is a statement on a rate limit. PerSecond is the limit in
	// requests per second, or zero if it has ended, and LimitAge is the age of the statement.
	LimitKnown bool          `msgpack:"k,omitempty"`
	PerSecond  float64       `msgpack:"l,omitempty"`
	LimitAge   time.Duration `msgpack:"a,omitempty"`
	// Draining means that the server is draining, and DrainingAge is the age of that statement.
	Draining    bool          `msgpack:"d,omitempty"`
	DrainingAge time.Duration `msgpack:"e,omitempty"`
}

// Aged returns the report as it is to be forwarded after some time has passed.
func (r *Report) Aged(passed time.Duration) *Report {
	if r == nil {
		return nil
	}
	later := *r
	later.LimitAge += passed
	later.DrainingAge += passed
	return &later
}

// AfterTransit returns the report as it applies at the receiver, given the longest time that it may
// have been in transit; known is false if there is no such bound. A report that waited in a broken
// link would otherwise be dated too late, and end or replace a limit that the server named in the
// meantime. Without a bound, it does not end a limit. A drain is not aged: a server that drains
// rarely stops draining.
func (r *Report) AfterTransit(longest time.Duration, known bool) *Report {
	if r == nil || !r.LimitKnown {
		return r
	}
	received := *r
	received.LimitAge += max(longest, 0)
	received.LimitKnown = known || r.PerSecond > 0
	return &received
}

// Merge returns the newest statements of two reports, either of which may be nil.
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

// Record holds the statements of one incarnation of a server. The zero value holds none. It is not
// safe for concurrent use.
type Record struct {
	// newest is the newest statement, and own the newest from this box's own answers. Only own is
	// reported to other boxes: a statement that boxes forwarded to each other would never expire.
	newest, own limit
	// drainingAt is when the server last stated that it is draining, ownDrainingAt when it last did
	// so to this box, and readyAt when its registry entry last changed from draining to ready.
	drainingAt, ownDrainingAt, readyAt time.Time
	// pausedUntil is the end of the pause that the server requested from this box. It is not reported to
	// other boxes.
	pausedUntil time.Time
	brittleness
}

// Change describes the effect of a statement.
type Change struct {
	// Limit means that the rate limit changed, Draining that the server began to drain, and Paused
	// that a pause began.
	Limit, Draining, Paused bool
	// Brittle means that the server became brittle or ceased to be, and Room that its room changed.
	Brittle, Room bool
}

// ApplyAnswer applies the statements of an answer.
func (r *Record) ApplyAnswer(answer Answer) Change {
	change := Change{Limit: r.applyAnswerLimit(answer), Brittle: r.applyAnswerBrittle(answer)}
	if answer.Draining {
		r.ownDrainingAt = answer.Received
		change.Draining = r.noteDraining(answer.Received)
	}
	if until := answer.Received.Add(answer.Pause); answer.Pause > 0 && until.After(r.pausedUntil) {
		change.Paused = r.PausedFor(answer.Received) == 0
		r.pausedUntil = until
	}
	return change
}

// PausedFor returns how much longer the server wants no requests from this box; zero if it is not
// paused. An answer without a pause does not end an earlier one.
func (r *Record) PausedFor(now time.Time) time.Duration { return max(r.pausedUntil.Sub(now), 0) }

// IsPaused reports whether the server wants no requests from this box now.
func (r *Record) IsPaused(now time.Time) bool { return now.Before(r.pausedUntil) }

// ApplyReport applies another box's report, which was received at the time now.
func (r *Record) ApplyReport(report Report, now time.Time) Change {
	change := Change{}
	if report.LimitKnown && report.PerSecond >= 0 {
		change.Limit = r.applyLimit(limit{report.PerSecond, now.Add(-max(report.LimitAge, 0))})
	}
	if report.Draining {
		change.Draining = r.noteDraining(now.Add(-max(report.DrainingAge, 0)))
	}
	return change
}

// noteDraining records that the server was draining at a time, and reports whether it counts as
// draining only since then.
func (r *Record) noteDraining(at time.Time) bool {
	before := r.Draining()
	if at.After(r.drainingAt) {
		r.drainingAt = at
	}
	return r.Draining() && !before
}

// Draining reports whether the server is draining. A server drains until it exits, unless its
// registry entry becomes ready again.
func (r *Record) Draining() bool { return r.drainingAt.After(r.readyAt) }

// NoteReady records the time at which the server's registry entry changed from draining to ready.
func (r *Record) NoteReady(at time.Time) { r.readyAt = at }

// applyAnswerLimit applies what an answer states about the rate limit, and reports whether the
// limit changed.
func (r *Record) applyAnswerLimit(answer Answer) (changed bool) {
	next := limit{max(answer.PerSecond, minPerSecond), answer.Received}
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
	return r.applyLimit(next)
}

func (r *Record) applyLimit(next limit) (changed bool) {
	if !next.at.After(r.newest.at) {
		return false
	}
	changed = next.perSecond != r.newest.perSecond
	r.newest = next
	return changed
}

// IsLimited reports whether the server states a rate limit.
func (r *Record) IsLimited() bool { return r.newest.perSecond > 0 }

// Limit returns the rate in requests per second that the server accepts from all boxes together,
// and the age of its newest statement on it. It returns false if there is no limit.
func (r *Record) Limit(now time.Time) (perSecond float64, age time.Duration, limited bool) {
	return r.newest.perSecond, now.Sub(r.newest.at), r.IsLimited()
}

// Report returns the report for other boxes, or nil if there is nothing to report.
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
