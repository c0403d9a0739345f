package partindex

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/catalog"
)

// overdueStore is the address of the store box in these tests.
const overdueStore = "10.0.0.1:1"

// savedWithoutEvent returns an index that had a part saved in a store box configured long before,
// and received no event for it.
func savedWithoutEvent() (x *Index, key Key) {
	x = New(Config{})
	x.Configure([]catalog.Service{{Name: "store", Store: &catalog.Store{Address: overdueStore, CapacityTokens: 100_000}}})
	x.Replace(overdueStore, Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()})
	time.Sleep(time.Minute)
	x.Apply(overdueStore, Report{Epoch: 1, Next: 1, ClockMillis: 1, AsOf: time.Now()})
	parts := []call.Part{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 10}}
	plan := x.Plan(Query{Namespace: "m/1", Parts: parts, Save: true, MayFetch: func(string) bool { return true }})
	x.NoteDispatched("m/1", parts, plan)
	return x, Key{"m/1", "shared"}
}

// Events of store boxes come late, and some are lost. A part whose event was lost was prefilled
// again for each request until the store box was listed, about once a minute. With 295 boxes, 93
// of 542 repeated prefills were of parts first saved more than 8 s before. One of them,
// cbf4b35c46c1, was prefilled at 0.48 s, 14.86 s and 26.64 s of the day and saved each time.
func TestAnOverdueSaveHasItsStoreBoxListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, key := savedWithoutEvent()
		g.Expect(x.OverdueStores()).To(BeEmpty(), "the event may still arrive")
		time.Sleep(overdueAfter + time.Millisecond)
		g.Expect(x.OverdueStores()).To(Equal([]string{overdueStore}))
		g.Expect(x.NeedsList(overdueStore)).To(BeTrue())
		x.Replace(overdueStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now(), Changes: []Change{{key, 5000}}})
		g.Expect(x.NeedsList(overdueStore)).To(BeFalse())
		g.Expect(x.OverdueStores()).To(BeEmpty())
	})
}

// A save that failed causes only one list.
func TestAFailedSaveCausesOneList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, _ := savedWithoutEvent()
		time.Sleep(overdueAfter + time.Millisecond)
		x.Replace(overdueStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now()})
		time.Sleep(minListInterval)
		g.Expect(x.NeedsList(overdueStore)).To(BeFalse())
	})
}

// A follower reports its overdue saves to its reader, which lists the store box once for all
// followers.
func TestAReaderListsForOverdueSavesOfFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		x, _ := savedWithoutEvent()
		reader := New(Config{})
		reader.Configure([]catalog.Service{{Name: "store", Store: &catalog.Store{Address: overdueStore, CapacityTokens: 100_000}}})
		reader.Replace(overdueStore, Report{Epoch: 1, ClockMillis: 1, AsOf: time.Now()})
		time.Sleep(overdueAfter + time.Millisecond)
		g.Expect(reader.NeedsList(overdueStore)).To(BeFalse())
		reader.MarkOverdue(x.OverdueStores())
		g.Expect(reader.NeedsList(overdueStore)).To(BeTrue())
		reader.Replace(overdueStore, Report{Epoch: 1, Next: 2, ClockMillis: 1, AsOf: time.Now()})
		reader.MarkOverdue(x.OverdueStores())
		g.Expect(reader.NeedsList(overdueStore)).To(BeFalse(), "the store box has just been listed")
	})
}
