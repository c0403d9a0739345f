package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
)

// reportedQuery returns a query of a box that has load reports of 300 ms from nine other boxes.
func reportedQuery() Query {
	query := shortQuery()
	query.Lag, query.OtherZoneLag, query.Boxes = 300*time.Millisecond, 300*time.Millisecond, 10
	return query
}

// A box that places calls itself must not take the slots that other boxes may have taken. An owner's
// view is exact, and it must not leave slots idle.
func TestRoomForUnreportedCalls(t *testing.T) {
	off, err := mechanism.Parse(string(mechanism.Slots))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	ask := func(f *Fleet, query Query) bool {
		hold, zone := f.ChooseUnless(query, func(*placing.Candidate, float64) bool { return false })
		return hold != nil || zone != "zone-r"
	}
	choose := func(f *Fleet, query Query) bool { return f.Choose(query) != nil }
	tests := []struct {
		name   string
		rank   int
		change func(f *Fleet, query *Query)
		place  func(f *Fleet, query Query) bool
		want   bool
	}{
		{"a slot in the share of another box", 1, nil, choose, false},
		{"a slot in this box's share", 0, nil, choose, true},
		{"the owner of the zone is asked instead", 1, nil, ask, false},
		{"few calls", 1, func(f *Fleet, _ *Query) { f.useOf("s").placed.calls = 0.1 }, choose, true},
		{"the only box", 1, func(_ *Fleet, query *Query) { query.Boxes = 1 }, choose, true},
		{"reports without delay", 1, func(_ *Fleet, query *Query) { query.Lag = 0 }, choose, true},
		{"an owner's grant", 1, nil, func(f *Fleet, query Query) bool { return f.Grant(query) != nil }, true},
		{"a place that an owner granted", 1, nil, func(f *Fleet, query Query) bool { return f.PlaceAt(query, "r") != nil }, true},
		{"a plain service", 1, func(_ *Fleet, query *Query) { query.Model = "" }, choose, true},
		{"the mechanism is off", 1, func(f *Fleet, _ *Query) { f.cfg.Mechanisms = off }, choose, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, query := withRunners("r"), reportedQuery()
				f.cfg.LimitPosition = func(string, string) advisory.Position { return advisory.Position{Rank: test.rank, Present: 10} }
				f.SetRemoteLoads("b", []Load{{Incarnation: "r", InFlight: 3}})
				*f.useOf("s") = use{slotTime: meanTime{mean: time.Second, samples: 1}, placed: arrivals{calls: 20, decayedAt: time.Now()}} // 27 unreported calls
				if test.change != nil {
					test.change(f, &query)
				}
				shortage := f.Shortage(query)
				g.Expect(test.place(f, query)).To(Equal(test.want))
				if !test.want {
					g.Expect(shortage.WithoutShare).To(Equal(1))
				}
			})
		})
	}
}

// This box's own calls count against its share until other boxes know of them.
func TestOwnShareIsUsedOnceInTheAgeOfAReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, query := withRunners("r"), reportedQuery()
		f.cfg.LimitPosition = func(string, string) advisory.Position { return advisory.Position{Rank: 0, Present: 10} }
		*f.useOf("s") = use{slotTime: meanTime{mean: time.Second, samples: 1}, placed: arrivals{calls: 200, decayedAt: time.Now()}}
		g.Expect(f.Choose(query)).NotTo(BeNil())
		g.Expect(f.Choose(query)).To(BeNil())
		time.Sleep(query.Lag)
		g.Expect(f.Choose(query)).To(BeNil(), "the report may be on its way")
		time.Sleep(query.Lag / 2)
		g.Expect(f.Choose(query)).NotTo(BeNil())
	})
}

// A box that is cut off from the others must not take what is in their shares: it would precede all
// others if its rank counted among the few boxes that it receives reports from.
func TestRankOfABox(t *testing.T) {
	const seed = 7
	tests := []struct {
		name           string
		boxes, present int
		ranked         bool
		wantBoxes      int
	}{
		{"all boxes report", 10, 10, true, 10},
		{"a box has just started", 10, 11, true, 11},
		{"some boxes are lost", 10, 6, true, 10},
		{"cut off from most boxes", 10, 5, false, 10},
		{"too many boxes to rank", maxRankedBoxes + 1, maxRankedBoxes + 1, false, maxRankedBoxes + 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f, query := withRunners("r"), reportedQuery()
			query.Boxes, query.BoxSeed = test.boxes, seed
			f.cfg.LimitPosition = func(string, string) advisory.Position { return advisory.Position{Rank: -1, Present: test.present} }
			rank, boxes := f.rankAt(f.servers["r"], &query)
			g.Expect(rank == -1).To(Equal(test.ranked))
			g.Expect(boxes).To(Equal(test.wantBoxes))
		})
	}
}
