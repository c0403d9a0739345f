package advisory_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
)

// brittleAnswer is an answer of a server that withstands some refusals; zero for a server that isn't
// brittle.
func brittleAnswer(maxRefusals float64, sent, received time.Time) advisory.Answer {
	answer := advisory.Answer{Sent: sent, Received: received, Genuine: true}
	if maxRefusals > 0 {
		answer.Brittle, answer.MaxRefusals = advisory.LimitNamed, maxRefusals
	}
	return answer
}

func TestBrittlenessEndsWithAnswersThatStateNone(t *testing.T) {
	g := NewWithT(t)
	begin := time.Now()
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	var record advisory.Record
	g.Expect(record.ApplyAnswer(brittleAnswer(0, at(0), at(1)))).To(Equal(advisory.Change{}))
	g.Expect(record.ApplyAnswer(brittleAnswer(4, at(1), at(3)))).To(Equal(advisory.Change{Brittle: true}))
	record.ApplyAnswer(brittleAnswer(0, at(2), at(4)))
	_, brittle := record.Brittle()
	g.Expect(brittle).To(BeTrue(), "the request was sent before the statement was received")
	malformed := advisory.Answer{Advisory: advisory.Advisory{Brittle: advisory.LimitMalformed}, Sent: at(4), Received: at(5), Genuine: true}
	record.ApplyAnswer(malformed)
	maxRefusals, _ := record.Brittle()
	g.Expect(maxRefusals).To(Equal(4.0), "a malformed value")
	g.Expect(record.ApplyAnswer(brittleAnswer(0, at(6), at(7)))).To(Equal(advisory.Change{Brittle: true}))
	_, brittle = record.Brittle()
	g.Expect(brittle).To(BeFalse())
}

// The shares of all boxes add up to the room at most, also while the boxes are partitioned.
func TestSharesOfTheRoomAddUpToTheRoom(t *testing.T) {
	tests := []struct {
		name   string
		room   int
		listed int
		parts  []int
		total  int
	}{
		{"one box", 8, 1, []int{1}, 8},
		{"equal shares", 8, 4, []int{4}, 8},
		{"unequal shares", 7, 4, []int{4}, 7},
		{"more boxes than room", 8, 80, []int{80}, 8},
		{"a box that is not heard", 8, 4, []int{3}, 6},
		{"partitions", 9, 8, []int{4, 4}, 8},
		{"boxes alone", 8, 4, []int{1, 1, 1, 1}, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			begin, total := time.Now(), 0
			for _, present := range test.parts {
				for rank := range present {
					var record advisory.Record
					record.ApplyAnswer(brittleAnswer(4, begin, begin))
					position := advisory.Position{Rank: rank, Present: present, Listed: test.listed}
					total += record.RoomShare(test.room, position, begin.Add(time.Second))
				}
			}
			g.Expect(total).To(Equal(test.total))
		})
	}
}

// Guards against falls by refusals that follow each other at once: shares fall to half after a refusal,
// to nothing after more than half of those that the server withstands, and stay at half for longer.
func TestRefusalsLowerTheSharesOfABrittleServer(t *testing.T) {
	begin := time.Now()
	tests := []struct {
		own, others int
		shares      []int // after 0, 300, 600 and 1500 ms
	}{
		{1, 0, []int{3, 4, 7, 7}},
		{2, 0, []int{3, 4, 7, 7}},
		{1, 1, []int{3, 4, 7, 7}},
		{3, 0, []int{0, 3, 4, 7}},
		{4, 0, []int{0, 3, 3, 7}},
		{0, 4, []int{0, 4, 4, 8}},
		{1, 3, []int{0, 3, 3, 7}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.own, " own refusals, others ", test.others), func(t *testing.T) {
			g := NewWithT(t)
			now := begin.Add(time.Second)
			var record advisory.Record
			record.ApplyAnswer(brittleAnswer(4, begin, begin))
			for range test.own {
				record.LearnRefusal(8, 9, false, now, now)
			}
			record.SetOtherRefusals(test.others, now)
			var shares []int
			for _, after := range []time.Duration{0, 300, 600, 1500} {
				at := now.Add(after * time.Millisecond)
				share := record.RoomShare(8, advisory.Position{}, at)
				if record.BlockedFor(at) > 0 {
					share = 0
				}
				shares = append(shares, share)
			}
			g.Expect(shares).To(Equal(test.shares))
		})
	}
}

// Repeated reports of the same refusals must not block a server for longer.
func TestRepeatedReportsOfRefusalsBlockOnce(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var record advisory.Record
	record.ApplyAnswer(brittleAnswer(4, now, now))
	record.SetOtherRefusals(3, now)
	blocked := record.BlockedFor(now)
	g.Expect(blocked).To(BeNumerically(">", 0))
	for range 10 {
		now = now.Add(blocked / 10)
		record.SetOtherRefusals(3, now)
	}
	g.Expect(record.BlockedFor(now)).To(BeZero())
}

// A call that was placed before the box knew of the brittleness was not bounded by the room.
func TestRefusalsOfEarlierCallsLeaveTheRoom(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var record advisory.Record
	record.ApplyAnswer(brittleAnswer(4, now, now))
	late := now.Add(time.Second)
	g.Expect(record.LearnRefusal(8, 8, false, now.Add(-time.Millisecond), late)).To(Equal(advisory.Change{}))
	g.Expect(record.Room(8)).To(Equal(8.0))
	g.Expect(record.RoomShare(8, advisory.Position{}, late)).To(Equal(8))
	record.LearnRefusal(8, 8, false, now, late)
	g.Expect(record.Room(8)).To(Equal(7.0))
}

// The other servers of a service are brittle too until their own answers show otherwise.
func TestAPresumedServerIsBrittleUntilItsOwnAnswer(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var record advisory.Record
	record.Presume(4, now)
	maxRefusals, brittle := record.Brittle()
	g.Expect(brittle).To(BeTrue())
	g.Expect(maxRefusals).To(Equal(4.0))
	g.Expect(record.BrittleReport(now)).To(BeNil(), "it is no statement of the server")
	record.ApplyAnswer(brittleAnswer(0, now.Add(time.Millisecond), now.Add(time.Second)))
	record.Presume(4, now.Add(2*time.Second))
	_, brittle = record.Brittle()
	g.Expect(brittle).To(BeFalse())
}

func TestTheRoomShrinksByRefusalsOnly(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var record advisory.Record
	g.Expect(record.Room(8)).To(Equal(8.0), "the stated slots")
	for range 40 {
		record.LearnRefusal(7, 8, false, now, now)
	}
	g.Expect(record.Room(8)).To(BeNumerically("~", 6, 0.1), "before it is brittle, the calls at refusals")
	record.ApplyAnswer(brittleAnswer(4, now, now))
	before := record.Room(8)
	record.LearnRefusal(7, 8, false, now, now)
	g.Expect(record.Room(8)).To(Equal(before), "calls from before the statement may be there")
	now = now.Add(time.Second)
	record.LearnRefusal(7, 8, false, now, now)
	g.Expect(record.Room(8)).To(Equal(before - 1))
	record.LearnRefusal(7, 8, false, now, now.Add(200*time.Millisecond))
	g.Expect(record.Room(8)).To(Equal(before-1), "other boxes may not know of the change yet")
	record.LearnRefusal(7, 8, true, now, now)
	g.Expect(record.Room(8)).To(BeNumerically("~", before-1, 1e-9), "a try above the room")
	record.Grow(8, now)
	g.Expect(record.Room(8)).To(BeNumerically("~", before, 1e-9))
	for range 40 {
		now = now.Add(time.Second)
		record.LearnRefusal(1, 8, false, now, now)
	}
	g.Expect(record.Room(8)).To(Equal(1.0), "calls must show when there is more room")
}

// A box that has just started learns from a refusal without knowing what the others have learned, and
// repeated reports are dated a little differently each time. Neither may raise the room.
func TestOnlyARaisedRoomExceedsTheKnownOne(t *testing.T) {
	begin := time.Now()
	tests := []struct {
		name    string
		reports []advisory.BrittleReport
		room    float64
	}{
		{"the first room", []advisory.BrittleReport{{Room: 6}}, 6},
		{"less room", []advisory.BrittleReport{{Room: 6}, {Room: 5}}, 5},
		{"an older and lower one", []advisory.BrittleReport{{Room: 6}, {Room: 5, RoomAge: time.Minute}}, 6},
		{"a newer one that is higher", []advisory.BrittleReport{{Room: 6, RoomAge: time.Minute}, {Room: 7}}, 6},
		{"a raised one", []advisory.BrittleReport{{Room: 6, RoomAge: time.Minute}, {Room: 7, Raised: true}}, 7},
		{"a raised one from just before a refusal", []advisory.BrittleReport{{Room: 6, RoomAge: 100 * time.Millisecond}, {Room: 7, Raised: true}}, 6},
		{"no room", []advisory.BrittleReport{{Room: 6}, {Room: -1}, {Room: 0}}, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var record advisory.Record
			for i, report := range test.reports {
				report.Known, report.MaxRefusals = true, 4
				record.ApplyBrittleReport(report, begin.Add(time.Duration(i)*time.Millisecond))
			}
			g.Expect(record.Room(8)).To(Equal(test.room))
			g.Expect(record.BrittleReport(begin)).To(BeNil(), "only own statements are reported")
		})
	}
}

func TestBrittleReportsAreMergedStatementByStatement(t *testing.T) {
	g := NewWithT(t)
	statement := &advisory.BrittleReport{Known: true, MaxRefusals: 4, Age: time.Second, Room: 8, RoomAge: 3 * time.Second, ReducedFor: 100 * time.Millisecond, Refusals: 2}
	refusal := &advisory.BrittleReport{Known: true, MaxRefusals: 3, Age: 2 * time.Second, Room: 7, RoomAge: time.Second, BlockedFor: 50 * time.Millisecond, Refusals: 1}
	merged := advisory.BrittleReport{Known: true, MaxRefusals: 4, Age: time.Second, Room: 7, RoomAge: time.Second, BlockedFor: 50 * time.Millisecond, ReducedFor: 100 * time.Millisecond, Refusals: 3}
	g.Expect(*advisory.MergeBrittle(statement, refusal)).To(Equal(merged))
	g.Expect(*advisory.MergeBrittle(refusal, statement)).To(Equal(merged))
	g.Expect(advisory.MergeBrittle(nil, refusal)).To(Equal(refusal))
	g.Expect(refusal.Aged(time.Second).BlockedFor).To(BeZero())
	late := (&advisory.BrittleReport{Known: true, Room: 7, Raised: true}).AfterTransit(0, false)
	g.Expect(*late).To(Equal(advisory.BrittleReport{Raised: true}), "of unknown age: no end, and no more room")
}

// A server that has just come back gets few calls at first, though it has made no statement itself.
func TestAServerThatCameBackIsFilledSlowly(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	var record advisory.Record
	record.Inherit(4, 6, now)
	shares := []int{}
	for _, after := range []time.Duration{0, time.Second, 2 * time.Second} {
		shares = append(shares, record.RoomShare(8, advisory.Position{}, now.Add(after)))
	}
	g.Expect(shares).To(Equal([]int{1, 3, 6}))
	record.ApplyAnswer(brittleAnswer(0, now.Add(time.Millisecond), now.Add(time.Second)))
	_, brittle := record.Brittle()
	g.Expect(brittle).To(BeFalse(), "its own answer applies")
}
