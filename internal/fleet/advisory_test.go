package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// answerWith returns an answer that arrived just now.
func answerWith(statement advisory.Advisory) advisory.Answer {
	return advisory.Answer{Advisory: statement, Sent: time.Now(), Received: time.Now(), Genuine: true}
}

func limitOf(perSecond float64) advisory.Answer {
	return answerWith(advisory.Advisory{Limit: advisory.LimitNamed, PerSecond: perSecond})
}

// countPlaced counts the calls that a fleet places within a time if one arrives every 10 ms.
func countPlaced(length time.Duration, place func() *fleet.Hold) int {
	count := 0
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if hold := place(); hold != nil {
			count++
			hold.Done(fleet.OutcomeServed)
		}
	}
	return count
}

// Each way of placing a call respects a server's rate limit.
func TestEachPlacementRespectsRateLimit(t *testing.T) {
	query := fleet.Query{Service: "runners", Zone: "a"}
	tests := []struct {
		name string
		most int
		// place is a way of placing a call.
		place func(f *fleet.Fleet) *fleet.Hold
	}{
		{"by this box itself", 21, func(f *fleet.Fleet) *fleet.Hold { return f.Choose(query) }},
		{"by a grant of an owner", 21, func(f *fleet.Fleet) *fleet.Hold { return f.PlaceAt(query, "one") }},
		{"in parallel to another try", 0, func(f *fleet.Fleet) *fleet.Hold {
			parallel := query
			parallel.UncappedOnly = true
			return f.Choose(parallel)
		}},
		{"for another box", 0, func(f *fleet.Fleet) *fleet.Hold {
			if grant := f.Grant(query); grant != nil {
				defer grant.Release()
				return f.Choose(query)
			}
			return nil
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet("one")
				f.ApplyAdvisory("one", limitOf(2))
				count := countPlaced(10*time.Second, func() *fleet.Hold { return test.place(f) })
				g.Expect(count).To(BeNumerically("~", test.most, 1))
				f.ApplyAdvisory("one", answerWith(advisory.Advisory{}))
				g.Expect(countPlaced(time.Second, func() *fleet.Hold { return test.place(f) })).To(BeNumerically(">", 50))
			})
		})
	}
}

// A rate limit belongs to one incarnation of a server.
func TestNextIncarnationHasNoLimit(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("one")
	f.ApplyAdvisory("one", limitOf(0))
	_, hold := choose(f)
	hold.Done(fleet.OutcomeServed)
	name, _ := choose(f)
	g.Expect(name).To(BeEmpty())
	f.Apply([]fleet.Update{{Key: "one", Offset: 9, Server: server("two")}})
	name, _ = choose(f)
	g.Expect(name).To(Equal("two"))
}

// Boxes report servers' statements to each other.
func TestRateLimitIsReportedToOtherBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		first, second := newFleet("one"), fleet.New(fleet.Config{
			Logger: zerolog.Nop(), LimitPosition: func(string, string) advisory.Position { return advisory.Position{Rank: 7, Present: 8, Listed: 8} },
		})
		second.Apply([]fleet.Update{{Key: "one", Offset: 1, Server: server("one")}})
		first.ApplyAdvisory("one", limitOf(2))
		second.SetRemoteLoads("first", first.Loads())
		name, _ := choose(second)
		g.Expect(name).To(BeEmpty(), "its share of the limit is zero")
		g.Expect(second.Loads()).To(BeEmpty(), "a box reports only statements in its own answers")

		time.Sleep(time.Second)
		first.ApplyAdvisory("one", answerWith(advisory.Advisory{}))
		second.SetRemoteLoads("first", first.Loads())
		name, _ = choose(second)
		g.Expect(name).To(Equal("one"))
	})
}

// A service whose servers accept no more calls reports when they do.
func TestAvailabilityFollowsRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("one", "two")
		g.Expect(f.Availability("runners", nil)).To(Equal(fleet.Availability{Listed: true, HasServers: true, ForThisBox: true}))
		f.ApplyAdvisory("one", limitOf(0.5))
		g.Expect(f.Availability("runners", nil).Wait).To(BeZero(), "the other server has no limit")
		f.ApplyAdvisory("two", limitOf(0.25))
		for range 2 {
			_, hold := choose(f)
			hold.Done(fleet.OutcomeServed)
		}
		g.Expect(f.Availability("runners", nil)).To(Equal(fleet.Availability{Listed: true, HasServers: true, ForThisBox: true, Wait: 2 * time.Second}))
		g.Expect(f.Availability("none", nil)).To(Equal(fleet.Availability{}))
	})
}

// The entry of a draining server may lag, or not be written at all while the registry is down.
func TestDrainingServerGetsNoCalls(t *testing.T) {
	g := NewWithT(t)
	f := newFleet("one")
	_, placed := choose(f)
	f.ApplyAdvisory("one", answerWith(advisory.Advisory{Draining: true}))
	query := fleet.Query{Service: "runners", Zone: "a"}
	g.Expect(f.Choose(query)).To(BeNil())
	g.Expect(f.PlaceAt(query, "one")).To(BeNil())
	g.Expect(f.Grant(query)).To(BeNil())
	g.Expect(placed.MayHandOver()).To(BeFalse(), "a call placed before the statement")
	g.Expect(f.Availability("runners", nil).HasServers).To(BeFalse())
	g.Expect(f.ServersBehind("m", 2)).To(BeEmpty(), "it must not be ordered to load weights")
	g.Expect(f.RegistryStatus("one")).To(Equal(fleet.StatusLeft), "its end is planned")

	other := newFleet("one")
	other.SetRemoteLoads("first", f.Loads())
	g.Expect(other.Choose(query)).To(BeNil(), "draining is reported to other boxes")

	leaving, ready := server("one"), server("one")
	leaving.Leaving = true
	f.Apply([]fleet.Update{{Key: "one", Offset: 2, Server: leaving}, {Key: "one", Offset: 3, Server: ready}})
	g.Expect(f.Choose(query)).NotTo(BeNil(), "its new entry is not leaving")
}

// A server that requests a pause from a box gets no calls from it for that time, even if its answers to
// calls in flight ask for a shorter pause or none.
func TestPausedServerGetsNoCallsFromThisBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet("one")
		query := fleet.Query{Service: "runners", Zone: "a"}
		_, placed := choose(f)
		_, answered := choose(f)
		f.ApplyAdvisory("one", answerWith(advisory.Advisory{Pause: 3 * time.Second}))
		f.ApplyAdvisory("one", answerWith(advisory.Advisory{Pause: time.Second}))
		answered.Done(fleet.OutcomeServed)
		f.ApplyAdvisory("one", answerWith(advisory.Advisory{}))
		g.Expect(f.Choose(query)).To(BeNil())
		g.Expect(f.PlaceAt(query, "one")).To(BeNil())
		g.Expect(f.Grant(query)).To(BeNil())
		g.Expect(placed.MayHandOver()).To(BeFalse(), "a call placed before the statement")
		g.Expect(f.Availability("runners", nil)).To(Equal(fleet.Availability{Listed: true, HasServers: true, Wait: 3 * time.Second, ForThisBox: true}))

		other := newFleet("one")
		other.SetRemoteLoads("first", f.Loads())
		g.Expect(other.Choose(query)).NotTo(BeNil(), "the pause applies to this box only")

		time.Sleep(3*time.Second - time.Millisecond)
		g.Expect(f.Choose(query)).To(BeNil())
		time.Sleep(time.Millisecond)
		g.Expect(f.Choose(query)).NotTo(BeNil())
	})
}
