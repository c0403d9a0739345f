package advisory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
)

// statement is an answer or a report, with times relative to the start of the test.
type statement struct {
	limit          advisory.LimitStatement
	perSecond      float64
	sent, received time.Duration
	genuine        bool
	// reported means that it is another box's report, whose statement is reportedAge old.
	reported    bool
	reportedAge time.Duration
}

func named(perSecond float64, sent, received time.Duration) statement {
	return statement{limit: advisory.LimitNamed, perSecond: perSecond, sent: sent, received: received, genuine: true}
}

func absent(sent, received time.Duration) statement {
	return statement{sent: sent, received: received, genuine: true}
}

func report(perSecond float64, age, received time.Duration) statement {
	return statement{perSecond: perSecond, reportedAge: age, received: received, reported: true}
}

func TestTheNewestStatementApplies(t *testing.T) {
	tests := []struct {
		name       string
		statements []statement
		limit      float64
	}{
		{"none", nil, 0},
		{"an answer without a limit", []statement{absent(1, 2)}, 0},
		{"a limit", []statement{named(2, 1, 2)}, 2},
		{"a limit that changes", []statement{named(2, 1, 2), named(0.5, 3, 4)}, 0.5},
		{"a limit of zero still allows a few requests", []statement{named(0, 1, 2)}, 0.1},
		{"the end of a limit", []statement{named(2, 1, 2), absent(3, 4)}, 0},
		{"an answer to a request that was sent before the limit was received", []statement{named(2, 1, 3), absent(2, 4)}, 2},
		{"an answer that did not come from the server", []statement{named(2, 1, 2), {sent: 3, received: 4}}, 2},
		{"a malformed limit", []statement{{limit: advisory.LimitMalformed, sent: 1, received: 2}}, 0},
		{"a malformed limit after a valid one", []statement{named(2, 1, 2), {limit: advisory.LimitMalformed, sent: 3, received: 4}}, 2},
		{"another box's report", []statement{report(2, 1, 3)}, 2},
		{"an older report", []statement{named(3, 1, 4), report(2, 2, 5)}, 3},
		{"the end of a limit in a report", []statement{named(3, 1, 2), report(0, 1, 5)}, 0},
		{"a report of an earlier end", []statement{named(3, 1, 6), report(0, 2, 7)}, 3},
		{"a limit after the end of an earlier one", []statement{named(2, 1, 2), absent(3, 4), named(2, 5, 6)}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			begin := time.Now()
			var record advisory.Record
			for _, s := range test.statements {
				if s.reported {
					record.ApplyReport(advisory.Report{LimitKnown: true, PerSecond: s.perSecond, LimitAge: s.reportedAge}, begin.Add(s.received))
					continue
				}
				record.ApplyAnswer(advisory.Answer{
					Advisory: advisory.Advisory{Limit: s.limit, PerSecond: s.perSecond},
					Sent:     begin.Add(s.sent), Received: begin.Add(s.received), Genuine: s.genuine,
				})
			}
			perSecond, _, limited := record.Limit(begin.Add(10))
			g.Expect(perSecond).To(Equal(test.limit))
			g.Expect(limited).To(Equal(test.limit > 0))
		})
	}
}

// Guards against limits that never expire because boxes forward each other's reports: a box reports
// only its own answers.
func TestOnlyOwnAnswersAreReported(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	var record advisory.Record
	g.Expect(record.Report(begin)).To(BeNil())
	record.ApplyReport(advisory.Report{LimitKnown: true, PerSecond: 2}, begin)
	g.Expect(record.Report(begin)).To(BeNil())

	record.ApplyAnswer(advisory.Answer{Advisory: advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: 3}, Sent: begin, Received: begin.Add(time.Second), Genuine: true})
	g.Expect(*record.Report(begin.Add(3 * time.Second))).To(Equal(advisory.Report{LimitKnown: true, PerSecond: 3, LimitAge: 2 * time.Second}))
	g.Expect(record.Report(begin.Add(2*time.Minute))).To(BeNil(), "outdated limit")

	record.ApplyAnswer(advisory.Answer{Sent: begin.Add(2 * time.Second), Received: begin.Add(3 * time.Second), Genuine: true})
	g.Expect(*record.Report(begin.Add(4 * time.Second))).To(Equal(advisory.Report{LimitKnown: true, LimitAge: 2 * time.Second}), "end of the limit")
	g.Expect(record.Report(begin.Add(20*time.Second))).To(BeNil(), "outdated end")
}

// A server drains until it exits, whatever its later answers or older reports state, unless its
// registry entry becomes ready again.
func TestAServerDrainsUntilItIsReadyAgain(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	answer := func(draining bool, received int) advisory.Answer {
		return advisory.Answer{Advisory: advisory.Advisory{Draining: draining}, Sent: at(received - 1), Received: at(received), Genuine: true}
	}
	var own, other advisory.Record
	g.Expect(own.ApplyAnswer(answer(true, 2))).To(Equal(advisory.Change{Draining: true}))
	g.Expect(own.ApplyAnswer(answer(true, 3))).To(Equal(advisory.Change{}), "already draining")
	own.ApplyAnswer(answer(false, 4))
	g.Expect(own.Draining()).To(BeTrue())

	report := own.Report(at(5))
	g.Expect(other.ApplyReport(*report, at(5))).To(Equal(advisory.Change{Draining: true}))
	g.Expect(other.Report(at(5))).To(BeNil(), "only own answers are reported")

	other.NoteReady(at(6))
	g.Expect(other.Draining()).To(BeFalse())
	other.ApplyReport(*own.Report(at(7)), at(7))
	g.Expect(other.Draining()).To(BeFalse(), "the statement is older than the ready entry")
	own.NoteReady(at(8))
	g.Expect(own.Report(at(8))).To(BeNil())
	g.Expect(own.ApplyAnswer(answer(true, 9)).Draining).To(BeTrue(), "draining again")
}

// A hub forwards the newest statements of all boxes' reports.
func TestReportsAreMergedStatementByStatement(t *testing.T) {
	g := NewWithT(t)
	limit := &advisory.Report{LimitKnown: true, PerSecond: 2, LimitAge: time.Second}
	older := &advisory.Report{LimitKnown: true, PerSecond: 5, LimitAge: 2 * time.Second, Draining: true, DrainingAge: time.Second}
	merged := advisory.Report{LimitKnown: true, PerSecond: 2, LimitAge: time.Second, Draining: true, DrainingAge: time.Second}
	g.Expect(*advisory.Merge(limit, older)).To(Equal(merged))
	g.Expect(*advisory.Merge(older, limit)).To(Equal(merged))
	g.Expect(advisory.Merge(nil, limit)).To(Equal(limit))
	g.Expect(advisory.Merge(limit, nil)).To(Equal(limit))
	g.Expect(*limit.Aged(time.Second)).To(Equal(advisory.Report{LimitKnown: true, PerSecond: 2, LimitAge: 2 * time.Second, DrainingAge: time.Second}))
	var none *advisory.Report
	g.Expect(none.Aged(time.Second)).To(BeNil())
}
