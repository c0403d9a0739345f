package partindex_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/partindex"
)

// indexWithPart returns an index in which the large store box holds a part.
func indexWithPart() *partindex.Index {
	x := settled()
	x.Apply(large, partindex.Report{AsOf: time.Now(), Epoch: 1, ClockMillis: 1000, Changes: held("part", 12_000)})
	return x
}

func TestAStoreBoxIsSlowWhenAllItsLatestFetchesWereLate(t *testing.T) {
	const lateBy = 400 * time.Millisecond
	cases := []struct {
		name string
		// late lists the fetches from the store box in order, and others those from the other store
		// box.
		late   []time.Duration
		others []time.Duration
		slow   bool
	}{
		{name: "no fetches yet"},
		{name: "three late", late: []time.Duration{lateBy, lateBy, lateBy}},
		{name: "four late", late: []time.Duration{lateBy, lateBy, lateBy, lateBy}, slow: true},
		{name: "one of them on time", late: []time.Duration{lateBy, 0, lateBy, lateBy}},
		{name: "one on time before the last four", late: []time.Duration{0, lateBy, lateBy, lateBy, lateBy}, slow: true},
		{name: "the latest on time", late: []time.Duration{lateBy, lateBy, lateBy, lateBy, 0}},
		{name: "slightly late", late: []time.Duration{lateBy / 2, lateBy / 2, lateBy / 2, lateBy / 2}},
		{
			name: "other store boxes late as well", late: []time.Duration{lateBy, lateBy, lateBy, lateBy},
			others: []time.Duration{lateBy, lateBy, lateBy, lateBy},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := indexWithPart()
				for _, late := range c.others {
					x.NoteFetch("quick", late)
				}
				for _, late := range c.late {
					x.NoteFetch("large", late)
				}
				made := plan(x, "part", 12_000)
				if !c.slow {
					g.Expect(made.Fetch[0]).To(Equal(large))
					return
				}
				g.Expect(made.Fetch[0]).To(BeEmpty())
				g.Expect(made.Save[0]).To(BeEmpty(), "it is already held")
				g.Expect(made.Missing).To(Equal(12_100), "the runner prefills it")
			})
		})
	}
}

// A store box without recent fetches provides no evidence of how late all fetches are at present.
func TestSlowStoreBoxesAreComparedWithThoseInUse(t *testing.T) {
	cases := []struct {
		name string
		// idle is the number of fetches from a third store box some time ago, all on time.
		idle int
		ago  time.Duration
		slow bool
	}{
		{name: "never used"},
		{name: "too few fetches", idle: 3},
		{name: "last used long ago", idle: 4, ago: 6 * time.Second},
		{name: "in use", idle: 4, ago: time.Second, slow: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := partindex.New(partindex.Config{})
				third := catalog.Service{Name: "third", Store: &catalog.Store{Address: "10.0.0.3:1", CapacityTokens: 1000}}
				x.Configure(append(services(), third))
				for range c.idle {
					x.NoteFetch("third", 0)
				}
				time.Sleep(c.ago)
				slow := false
				for range 4 {
					x.NoteFetch("quick", time.Second)
				}
				for range 4 {
					slow, _ = x.NoteFetch("large", time.Second)
				}
				g.Expect(slow).To(Equal(c.slow))
			})
		})
	}
}

// Without occasional probes a box would not notice that a link has recovered.
func TestASlowStoreBoxIsProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := indexWithPart()
		for range 3 {
			x.NoteFetch("large", time.Second)
		}
		slow, changed := x.NoteFetch("large", time.Second)
		g.Expect([]bool{slow, changed}).To(Equal([]bool{true, true}))
		time.Sleep(time.Second)
		refresh(x, 1)
		made := plan(x, "part", 12_000)
		g.Expect(made.Fetch[0]).To(Equal(large), "one probe is allowed")
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(Equal(large), "the first call was not dispatched")
		x.NoteDispatched("m/1", []call.Part{{ID: "part", Tokens: 12_000}, {ID: "own", Tokens: 100}}, made)
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(BeEmpty(), "only one probe")
		slow, changed = x.NoteFetch("large", 0)
		g.Expect([]bool{slow, changed}).To(Equal([]bool{false, true}))
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(Equal(large))
	})
}

// A fetch from another zone takes twice as long, so a slower store box makes runners in its own
// zone more preferable.
func TestFetchTimeIncludesLateness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := indexWithPart()
		before := plan(x, "part", 12_000).FetchTime
		for range 4 {
			x.NoteFetch("large", 200*time.Millisecond)
		}
		g.Expect(plan(x, "part", 12_000).FetchTime).To(Equal(before + 200*time.Millisecond))
	})
}
