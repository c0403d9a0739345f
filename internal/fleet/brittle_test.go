package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

func brittle(maxRefusals float64) advisory.Answer {
	return answerWith(advisory.Advisory{Brittle: advisory.LimitNamed, MaxRefusals: maxRefusals})
}

// brittleFleet returns a fleet with one server of 8 slots that four boxes share.
func brittleFleet(rank int, onRoomChange func()) *fleet.Fleet {
	f := fleet.New(fleet.Config{OnRoomChange: onRoomChange, LimitPosition: func(string, string) advisory.Position {
		return advisory.Position{Rank: rank, Present: 4, Listed: 4}
	}})
	f.Apply([]fleet.Update{brittleEntry("one", 1)})
	return f
}

func brittleEntry(incarnation string, offset int64) fleet.Update {
	return fleet.Update{Key: "key", Offset: offset, Server: &fleet.Server{Incarnation: incarnation, Service: "runners", Zone: "a", Slots: 8}}
}

// fill places as many calls as a fleet takes.
func fill(f *fleet.Fleet, query fleet.Query) (holds []*fleet.Hold) {
	for len(holds) < 20 {
		hold := f.Choose(query)
		if hold == nil {
			break
		}
		holds = append(holds, hold)
	}
	return holds
}

func TestEachBoxKeepsToItsShareOfABrittleServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query := fleet.Query{Service: "runners", Zone: "a"}
		f := brittleFleet(0, nil)
		for _, hold := range fill(f, query) {
			hold.Done(fleet.OutcomeAbandoned)
		}
		f.ApplyAdvisory("one", brittle(4))
		hedge := query
		hedge.UncappedOnly = true
		g.Expect(fill(f, hedge)).To(BeEmpty(), "a hedge")
		g.Expect(f.Grant(query)).To(BeNil(), "a call of another box")
		holds := fill(f, query)
		g.Expect(holds).To(HaveLen(1), "half of the share, until all boxes know")
		time.Sleep(time.Second)
		holds = append(holds, fill(f, query)...)
		g.Expect(holds).To(HaveLen(2))
		g.Expect(holds[0].Brittle()).To(BeTrue())
		g.Expect(f.PlaceAt(query, "one")).To(BeNil())
		g.Expect(f.Shortage(query).Brittle).To(Equal(1))
		holds[0].Done(fleet.OutcomeServed)
		g.Expect(fill(f, query)).To(HaveLen(1), "a call ended")
		time.Sleep(time.Millisecond)
		f.ApplyAdvisory("one", answerWith(advisory.Advisory{}))
		g.Expect(len(fill(f, query))).To(BeNumerically(">", 2), "no longer brittle")
	})
}

// Guards against a server that falls over because the boxes learn of a refusal one after the other.
func TestARefusalIsReportedAtOnceAndStopsNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query, urgent := fleet.Query{Service: "runners", Zone: "a"}, 0
		first, second := brittleFleet(0, func() { urgent++ }), brittleFleet(3, nil)
		first.ApplyAdvisory("one", brittle(4))
		g.Expect(urgent).To(Equal(1), "the statement")
		second.SetRemoteLoads("first", first.Loads())
		time.Sleep(time.Second)
		g.Expect(fill(second, query)).To(HaveLen(2))
		holds := fill(first, query)
		g.Expect(holds).To(HaveLen(2))
		holds[0].Done(fleet.OutcomeFull)
		g.Expect(urgent).To(Equal(2))
		g.Expect(fill(first, query)).To(BeEmpty(), "half of the share is in use")
		second.SetRemoteLoads("first", first.Loads())
		_, room, share := second.CountBrittle()
		g.Expect(room).To(Equal(6.0))
		g.Expect(share).To(BeZero(), "the last of four boxes that share half of six")
		time.Sleep(600 * time.Millisecond) // until shares are whole again
		g.Expect(fill(first, query)).To(HaveLen(1))
		_, _, share = second.CountBrittle()
		g.Expect(share).To(Equal(1), "the last of four boxes that share six")
	})
}

// Guards against a server that falls over since each box counts only its own refusals.
func TestRefusalsOfSeveralBoxesStopNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query := fleet.Query{Service: "runners", Zone: "a"}
		boxes := []*fleet.Fleet{brittleFleet(0, nil), brittleFleet(1, nil), brittleFleet(2, nil)}
		for _, box := range boxes {
			box.ApplyAdvisory("one", brittle(4))
		}
		time.Sleep(time.Second)
		holds := fill(boxes[0], query)
		holds[0].Done(fleet.OutcomeFull)
		fill(boxes[1], query)[0].Done(fleet.OutcomeFull)
		fill(boxes[2], query)[0].Done(fleet.OutcomeFull)
		g.Expect(holds[1].MayHandOver()).To(BeTrue())
		boxes[0].SetRemoteLoads("1", boxes[1].Loads())
		boxes[0].SetRemoteLoads("2", boxes[2].Loads())
		g.Expect(holds[1].MayHandOver()).To(BeFalse(), "a call that was placed and not sent yet")
		g.Expect(boxes[0].Availability("runners", nil).Wait).To(BeNumerically("~", 250*time.Millisecond, 2*time.Millisecond))
		holds[1].Done(fleet.OutcomeAbandoned)
		g.Expect(fill(boxes[0], query)).To(BeEmpty())
		time.Sleep(300 * time.Millisecond)
		g.Expect(fill(boxes[0], query)).To(HaveLen(1), "half of the share")
	})
}

func TestABoxThatDoesNotKnowTheOthersHasNoShare(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{LimitPosition: func(string, string) advisory.Position { return advisory.Position{Present: 1} }})
	f.Apply([]fleet.Update{brittleEntry("one", 1)})
	f.ApplyAdvisory("one", brittle(4))
	g.Expect(f.Choose(fleet.Query{Service: "runners", Zone: "a"})).To(BeNil())
	g.Expect(f.Availability("runners", nil).ForThisBox).To(BeFalse())
}

// A server that was restarted has made no statement, and would be filled at once by all boxes.
func TestANewIncarnationOfABrittleServerIsFilledSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query := fleet.Query{Service: "runners", Zone: "a"}
		f := brittleFleet(0, nil)
		f.ApplyAdvisory("one", brittle(4))
		f.Apply([]fleet.Update{brittleEntry("two", 2)})
		g.Expect(fill(f, query)).To(HaveLen(1))
		time.Sleep(3 * time.Second)
		g.Expect(fill(f, query)).To(HaveLen(1), "two with the first")
	})
}

// The room grows by tries of one box, one call above its share at a time.
func TestTheRoomGrowsByServedTries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query := fleet.Query{Service: "runners", Zone: "a"}
		f := brittleFleet(0, nil)
		f.ApplyAdvisory("one", brittle(4))
		// The other boxes use their shares.
		f.SetRemoteLoads("others", []fleet.Load{{Incarnation: "one", InFlight: 6}})
		most := 0
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
			holds := fill(f, query)
			if _, room, _ := f.CountBrittle(); room == 8 {
				most = max(most, len(holds))
			}
			time.Sleep(100 * time.Millisecond)
			for _, hold := range holds {
				hold.Done(fleet.OutcomeServed)
			}
		}
		_, room, _ := f.CountBrittle()
		g.Expect(room).To(BeNumerically(">=", 9))
		g.Expect(most).To(Equal(3), "one more than the share of the first room")
	})
}

// Guards against several servers that are filled above their rooms at the same time.
func TestOneServerAtATimeIsTriedAboveItsRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		query := fleet.Query{Service: "runners", Zone: "a"}
		f := brittleFleet(0, nil)
		names := []string{"one", "two", "three"}
		for i, name := range names[1:] {
			entry := brittleEntry(name, int64(2+i))
			entry.Key = name
			f.Apply([]fleet.Update{entry})
		}
		for _, name := range names {
			f.ApplyAdvisory(name, brittle(4))
		}
		tried := 0
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			holds := fill(f, query)
			above := len(holds) - 2*len(names)
			g.Expect(above).To(BeNumerically("<=", 1))
			tried += max(above, 0)
			time.Sleep(100 * time.Millisecond)
			for _, hold := range holds {
				hold.Done(fleet.OutcomeServed)
			}
		}
		_, room, _ := f.CountBrittle()
		g.Expect(room).To(Equal(24.0), "the other boxes use no room, so that it isn't known to be used")
		g.Expect(tried).To(BeNumerically("~", 3*20/2, 4), "each server every two seconds")
	})
}
