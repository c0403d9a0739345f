package partindex

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

// doubtedStore is the store box of these tests.
const doubtedStore = "10.0.0.1:1"

// savedWithoutEvent gives an index that had a part saved, long after its store box was known,
// and has heard nothing of it.
func savedWithoutEvent() (x *Index, key Key) {
	x = New(Config{})
	x.Configure([]catalog.Service{{Name: "store", Store: &catalog.Store{Address: doubtedStore, CapacityTokens: 100_000}}})
	x.Replace(doubtedStore, Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()})
	time.Sleep(time.Minute)
	x.Apply(doubtedStore, Report{Epoch: 1, Next: 1, ClockMillis: 1, AsOf: time.Now()})
	parts := []call.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 10}}
	plan := x.Plan(Query{Namespace: "m/1", Parts: parts, Save: true, MayFetch: func(string) bool { return true }})
	x.NoteDispatched("m/1", parts, plan)
	return x, Key{"m/1", "shared"}
}

// Events of store boxes come late, and a few never. A part whose event was lost was read anew
// each time it was asked for, until the store box was listed, about once a minute: at 295
// boxes 93 of 542 parts that were read again had first been saved more than 8 s before, such
// as cbf4b35c46c1, read at 0.48 s, 14.86 s and 26.64 s of the day and saved each time.
func TestASaveOfWhichNothingIsHeardHasItsStoreBoxListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, key := savedWithoutEvent()
		g.Expect(x.OverdueStores()).To(BeEmpty(), "it may still come")
		time.Sleep(overdueAfter + time.Millisecond)
		g.Expect(x.OverdueStores()).To(Equal([]string{doubtedStore}))
		g.Expect(x.NeedsList(doubtedStore)).To(BeTrue())
		x.Replace(doubtedStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now(), Changes: []Change{{key, 5000}}})
		g.Expect(x.NeedsList(doubtedStore)).To(BeFalse())
		g.Expect(x.OverdueStores()).To(BeEmpty())
	})
}

// A save that came to nothing is doubted once.
func TestASaveThatCameToNothingIsNotDoubtedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, _ := savedWithoutEvent()
		time.Sleep(overdueAfter + time.Millisecond)
		x.Replace(doubtedStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now()})
		time.Sleep(leastListPause)
		g.Expect(x.NeedsList(doubtedStore)).To(BeFalse())
	})
}

// A box that is told has the one that asks list the store box, which it does once for all.
func TestTheDoubtOfABoxThatIsToldCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, _ := savedWithoutEvent()
		reader := New(Config{})
		reader.Configure([]catalog.Service{{Name: "store", Store: &catalog.Store{Address: doubtedStore, CapacityTokens: 100_000}}})
		reader.Replace(doubtedStore, Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()})
		time.Sleep(overdueAfter + time.Millisecond)
		g.Expect(reader.NeedsList(doubtedStore)).To(BeFalse())
		reader.MarkOverdue(x.OverdueStores())
		g.Expect(reader.NeedsList(doubtedStore)).To(BeTrue())
		reader.Replace(doubtedStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now()})
		reader.MarkOverdue(x.OverdueStores())
		g.Expect(reader.NeedsList(doubtedStore)).To(BeFalse(), "it was listed just now")
	})
}
