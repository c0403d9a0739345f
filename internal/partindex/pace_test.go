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

// keeping makes an index in which the large store box keeps a part.
func keeping() *partindex.Index {
	x := settled()
	x.Apply(large, partindex.Report{AsOf: time.Now(), Epoch: 1, ClockMillis: 1000, Changes: held("part", 12_000)})
	return x
}

func TestAStoreBoxIsSlowWhenAllItsLastFetchesCameLate(t *testing.T) {
	const lateBy = 400 * time.Millisecond
	cases := []struct {
		name string
		// late are the fetches from the store box in their order, others those from the
		// other one.
		late   []time.Duration
		others []time.Duration
		slow   bool
	}{
		{name: "nothing known"},
		{name: "three late", late: []time.Duration{lateBy, lateBy, lateBy}},
		{name: "four late", late: []time.Duration{lateBy, lateBy, lateBy, lateBy}, slow: true},
		{name: "one in time among them", late: []time.Duration{lateBy, 0, lateBy, lateBy}},
		{name: "one in time long ago", late: []time.Duration{0, lateBy, lateBy, lateBy, lateBy}, slow: true},
		{name: "one in time again", late: []time.Duration{lateBy, lateBy, lateBy, lateBy, 0}},
		{name: "a little late", late: []time.Duration{lateBy / 2, lateBy / 2, lateBy / 2, lateBy / 2}},
		{
			name: "others late too", late: []time.Duration{lateBy, lateBy, lateBy, lateBy},
			others: []time.Duration{lateBy, lateBy, lateBy, lateBy},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				x := keeping()
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
				g.Expect(made.Save[0]).To(BeEmpty(), "it is kept already")
				g.Expect(made.Missing).To(Equal(12_100), "the runner reads it")
			})
		})
	}
}

// A store box that has not been fetched from, or not for long, says nothing of how late
// all fetches are now.
func TestSlowStoreBoxesAreComparedWithThoseInUse(t *testing.T) {
	cases := []struct {
		name string
		// idle are fetches from a third store box some time ago, all in time.
		idle int
		ago  time.Duration
		slow bool
	}{
		{name: "never used"},
		{name: "used too seldom", idle: 3},
		{name: "used long ago", idle: 4, ago: 6 * time.Second},
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

// Without a try now and then nobody would learn that a link is quick again.
func TestASlowStoreBoxIsTriedNowAndThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := keeping()
		for range 3 {
			x.NoteFetch("large", time.Second)
		}
		slow, changed := x.NoteFetch("large", time.Second)
		g.Expect([]bool{slow, changed}).To(Equal([]bool{true, true}))
		time.Sleep(time.Second)
		refresh(x, 1)
		made := plan(x, "part", 12_000)
		g.Expect(made.Fetch[0]).To(Equal(large), "one may try")
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(Equal(large), "the first was not handed over")
		x.NoteDispatched("m/1", []call.Part{{ID: "part", Tokens: 12_000}, {ID: "own", Tokens: 100}}, made)
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(BeEmpty(), "only one")
		slow, changed = x.NoteFetch("large", 0)
		g.Expect([]bool{slow, changed}).To(Equal([]bool{false, true}))
		g.Expect(plan(x, "part", 12_000).Fetch[0]).To(Equal(large))
	})
}

// A fetch to another zone takes twice as long, so runners in the store box's own zone
// are to be preferred more the slower it is.
func TestTheTimeOfAFetchCountsHowLateFetchesCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x := keeping()
		before := plan(x, "part", 12_000).FetchTime
		for range 4 {
			x.NoteFetch("large", 200*time.Millisecond)
		}
		g.Expect(plan(x, "part", 12_000).FetchTime).To(Equal(before + 200*time.Millisecond))
	})
}
