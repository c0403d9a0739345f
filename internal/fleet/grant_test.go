package fleet

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/placing"
)

// grantQuery returns a query for a prompt of which one fits into a runner's memory.
func grantQuery() Query {
	return Query{
		Service: "s", Model: "m", Load: placing.Query{Tokens: 60, Memory: 100, PrefillLimit: 1000},
		VersionCost: func(int) (float64, bool) { return 0, true }, PrefillWork: func(int) int { return 10 },
	}
}

func withRunners(names ...string) *Fleet {
	f := New(Config{})
	for _, name := range names {
		f.Apply([]Update{{Key: name, Offset: 1, Server: &Server{Incarnation: name, Service: "s", Zone: "zone-" + name, Slots: 4, Weights: map[string]int{"m": 1}}}})
	}
	return f
}

// A granted place counts as work until it is released, both for further grants and for this box's
// own calls.
func TestGrantCountsAsWork(t *testing.T) {
	g := NewWithT(t)
	f := withRunners("r")
	granted := f.Grant(grantQuery())
	g.Expect(granted.Server()).To(Equal("r"))
	g.Expect(f.Grant(grantQuery())).To(BeNil())
	g.Expect(f.Choose(grantQuery())).To(BeNil())
	g.Expect(f.Shortage(grantQuery()).HeldTokens).To(Equal(60))
	granted.Release()
	g.Expect(f.Shortage(grantQuery()).HeldTokens).To(BeZero())
	g.Expect(f.Choose(grantQuery())).NotTo(BeNil())
	g.Expect(f.granted).To(BeEmpty())
}

// A box uses a place that an owner granted, unless the server may not take the call by its own
// view.
func TestPlaceAtChecksLocalView(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *Fleet, query *Query)
		taken  bool
	}{
		{"no objection", func(*Fleet, *Query) {}, true},
		{"its own view of the load is ignored", func(f *Fleet, _ *Query) { f.SetRemoteLoads("b", []Load{{Incarnation: "r", HeldTokens: 90}}) }, true},
		{"tried already", func(_ *Fleet, query *Query) { query.Exclude = []string{"r"} }, false},
		{"leaving by its entry", func(f *Fleet, _ *Query) {
			f.Apply([]Update{{Key: "r", Offset: 2, Server: &Server{Incarnation: "r", Service: "s", Leaving: true, Weights: map[string]int{"m": 1}}}})
		}, false},
		{"recently unreachable", func(f *Fleet, _ *Query) { f.Choose(grantQuery()).Done(OutcomeUnreachable) }, false},
		{"recently unreachable, which the query allows", func(f *Fleet, query *Query) {
			f.Choose(grantQuery()).Done(OutcomeUnreachable)
			query.SuspectAllowed = "r"
		}, true},
		{"recently unreachable, which the query allows of another", func(f *Fleet, query *Query) {
			f.Choose(grantQuery()).Done(OutcomeUnreachable)
			query.SuspectAllowed = "q"
		}, false},
		{"leaving, and may be suspect", func(f *Fleet, query *Query) {
			f.Apply([]Update{{Key: "r", Offset: 2, Server: &Server{Incarnation: "r", Service: "s", Leaving: true, Weights: map[string]int{"m": 1}}}})
			query.SuspectAllowed = "r"
		}, false},
		{"delisted, and may be suspect", func(f *Fleet, query *Query) {
			f.Replace(nil)
			query.SuspectAllowed = "r"
		}, false},
		{"unknown server", func(f *Fleet, _ *Query) { f.Replace(nil); clear(f.servers) }, false},
		{"weights not allowed", func(_ *Fleet, query *Query) { query.VersionCost = func(int) (float64, bool) { return 0, false } }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f, query := withRunners("r"), grantQuery()
			test.change(f, &query)
			hold := f.PlaceAt(query, "r")
			g.Expect(hold != nil).To(Equal(test.taken))
			if hold != nil {
				g.Expect(f.Loads()[0].HeldTokens).To(Equal(60))
			}
		})
	}
}

func TestBestMatchesChooseWithoutCounting(t *testing.T) {
	g := NewWithT(t)
	f := withRunners("r", "q")
	query := grantQuery()
	query.ZoneAllowed = func(zone string) bool { return zone == "zone-q" }
	best, zone, found := f.Best(query)
	g.Expect(found).To(BeTrue())
	g.Expect(best.Name).To(Equal("q"))
	g.Expect(zone).To(Equal("zone-q"))
	g.Expect(f.Loads()).To(BeEmpty())
	g.Expect(f.HeldVersions("s", "m")).To(Equal([]int{1}))
}
