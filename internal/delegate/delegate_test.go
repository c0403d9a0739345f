package delegate_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/delegate"
)

// readerRole is a role with few boxes for each delegate.
var readerRole = delegate.Config{Role: "reader", BoxesPerDelegate: 24}

// boxesIn returns boxes in zones of the given sizes.
func boxesIn(sizes ...int) []delegate.Box {
	var boxes []delegate.Box
	for zone, size := range sizes {
		for i := range size {
			boxes = append(boxes, delegate.Box{Name: fmt.Sprintf("box-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return boxes
}

// without returns all boxes except one.
func without(boxes []delegate.Box, at int) []delegate.Box {
	return append(append([]delegate.Box(nil), boxes[:at]...), boxes[at+1:]...)
}

// readers returns the boxes that are readers, and checks that all others follow one of them.
func readers(g *WithT, boxes []delegate.Box) map[string]delegate.Box {
	readersFound, followed := readersOf(readerRole, boxes), map[string]bool{}
	for i, box := range boxes {
		reader, follow := delegate.Choose(readerRole, box, without(boxes, i))
		if follow {
			followed[reader.Name] = true
		}
	}
	for name := range followed {
		g.Expect(readersFound).To(HaveKey(name), "boxes follow a reader")
	}
	return readersFound
}

// readersOf returns the boxes that are delegates themselves.
func readersOf(cfg delegate.Config, boxes []delegate.Box) map[string]delegate.Box {
	chosen := map[string]delegate.Box{}
	for i, box := range boxes {
		if _, follow := delegate.Choose(cfg, box, without(boxes, i)); !follow {
			chosen[box.Name] = box
		}
	}
	return chosen
}

func TestTheNumberOfReadersFitsTheZones(t *testing.T) {
	tests := []struct {
		name  string
		sizes []int
		want  int
	}{
		{"one box", []int{1}, 1},
		{"small zones share one reader", []int{3, 3, 2, 1}, 1},
		{"a zone of eight has its own reader", []int{8, 3, 2}, 2},
		{"each large zone has its own reader", []int{20, 21, 20, 21}, 4},
		{"many boxes have several readers", []int{50, 24}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(readers(g, boxesIn(test.sizes...))).To(HaveLen(test.want))
		})
	}
}

func TestABoxOfALargeZoneFollowsAReaderOfItsZone(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(20, 20, 20)
	for i, box := range boxes {
		if reader, follow := delegate.Choose(readerRole, box, without(boxes, i)); follow {
			g.Expect(reader.Zone).To(Equal(box.Zone))
		}
	}
}

// When the reader is removed, exactly one other box replaces it. When another box is removed, the
// reader stays the same.
func TestTheReaderChangesOnlyWhenItIsRemoved(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(3, 3, 2, 1)
	before := readers(g, boxes)
	for i, box := range boxes {
		after := readers(g, without(boxes, i))
		g.Expect(after).To(HaveLen(1))
		if _, wasReader := before[box.Name]; !wasReader {
			g.Expect(after).To(Equal(before))
		}
	}
}

// The small boxes of a zone have a quarter of the CPU and a tenth of the network bandwidth of the
// large ones.
func TestLargeBoxesAreChosenWhileAnyIsAvailable(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(50)
	for i := range boxes {
		boxes[i].Cores = 0.192
	}
	boxes[7].Cores, boxes[31].Cores, boxes[44].Cores = 0.8, 0.8, 0.6
	hub := delegate.Config{Role: "hub", BoxesPerDelegate: 64}
	for _, left := range [][]int{{7, 31, 44}, {31, 44}, {44}} {
		chosen, follow := delegate.Choose(hub, boxes[0], boxes[1:])
		g.Expect(follow).To(BeTrue())
		g.Expect(left).To(ContainElement(slices.Index(boxes, chosen)))
		boxes[left[0]].Cores = 0.192
	}
	g.Expect(readersOf(hub, boxes)).To(HaveLen(1), "without a large box, one of the others")
}

// A hub sends to the hubs of the other groups, so it must find the same ones as the boxes of those
// groups.
func TestTheDelegatesOfOtherGroupsAreThoseTheyChoose(t *testing.T) {
	g := NewWithT(t)
	hub := delegate.Config{Role: "hub", BoxesPerDelegate: 64}
	for _, sizes := range [][]int{{20, 30, 70}, {20, 3, 2}, {3, 3, 2}} {
		boxes := boxesIn(sizes...)
		all := readersOf(hub, boxes)
		own := readersOf(hub, delegate.Group("zone-0", boxes))
		foreign := map[string]delegate.Box{}
		for _, box := range delegate.OfOtherGroups(hub, "zone-0", boxes) {
			foreign[box.Name] = box
		}
		g.Expect(len(own) + len(foreign)).To(Equal(len(all)))
		for name := range foreign {
			g.Expect(all).To(HaveKey(name))
			g.Expect(own).NotTo(HaveKey(name))
		}
	}
}

// The reports of starting boxes arrive one after the other. When only boxes that reported counted
// towards the size of a zone, a box followed a delegate of another zone until eight boxes of its
// own zone had reported.
func TestUnavailableBoxesCountTowardsTheSizeOfTheirZone(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(16, 16)
	for i := range boxes {
		boxes[i].Unavailable = i != 0 && i != 3 && i != 20
	}
	chosen, follow := delegate.Choose(readerRole, boxes[0], boxes[1:])
	if follow {
		g.Expect(chosen.Name).To(Equal("box-0-3"))
	}
	for _, foreign := range delegate.OfOtherGroups(readerRole, "zone-0", boxes) {
		g.Expect(foreign.Name).To(Equal("box-1-4"))
	}
	for i := range boxes {
		boxes[i].Unavailable = i != 0
	}
	_, follow = delegate.Choose(readerRole, boxes[0], boxes[1:])
	g.Expect(follow).To(BeFalse(), "a box without available peers is its own delegate")
	g.Expect(delegate.OfOtherGroups(readerRole, "zone-0", boxes)).To(BeEmpty())
}

// One other box keeps what the only delegate knows, so that it need not learn it first when it
// replaces the delegate.
func TestTheOnlyDelegateHasOneStandby(t *testing.T) {
	tests := []struct {
		name  string
		sizes []int
		want  int
	}{
		{"one box", []int{1}, 0},
		{"two", []int{2}, 1},
		{"small zones", []int{3, 3, 2}, 1},
		{"one large zone", []int{20}, 1},
		{"several delegates", []int{20, 20}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			boxes := boxesIn(test.sizes...)
			standbys := 0
			for i, box := range boxes {
				if delegate.IsStandby(readerRole, box, without(boxes, i)) {
					standbys++
					for name, only := range readersOf(readerRole, boxes) {
						g.Expect(name).NotTo(Equal(box.Name))
						at := slices.Index(boxes, only)
						g.Expect(readersOf(readerRole, without(boxes, at))).To(HaveKey(box.Name), "the standby is next")
					}
				}
			}
			g.Expect(standbys).To(Equal(test.want))
		})
	}
}

// All boxes must choose the same owner of a zone, whatever their own zone is, and also if the zone
// has few boxes or none.
func TestTheDelegateOfAZoneIsTheSameForAll(t *testing.T) {
	g := NewWithT(t)
	var boxes []delegate.Box
	for zone, count := range map[string]int{"a": 12, "b": 9, "c": 2} {
		for i := range count {
			boxes = append(boxes, delegate.Box{Name: fmt.Sprint(zone, i), Zone: zone, Cores: 1})
		}
	}
	cfg := delegate.Config{Role: "hub", BoxesPerDelegate: 64}
	for _, zone := range []string{"a", "b", "c", "without boxes"} {
		first, found := delegate.ForZone(cfg, zone, boxes)
		g.Expect(found).To(BeTrue())
		slices.Reverse(boxes)
		again, _ := delegate.ForZone(cfg, zone, boxes)
		g.Expect(again).To(Equal(first))
	}
	owner, _ := delegate.ForZone(cfg, "a", boxes)
	g.Expect(owner.Zone).To(Equal("a"))
	alone, _ := delegate.ForZone(cfg, "without boxes", boxes)
	g.Expect(alone.Zone).To(Equal("c"), "small zones and zones without boxes share a delegate")
	for i := range boxes {
		boxes[i].Unavailable = boxes[i].Name == owner.Name
	}
	next, _ := delegate.ForZone(cfg, "a", boxes)
	g.Expect(next.Name).NotTo(Equal(owner.Name))
	_, found := delegate.ForZone(cfg, "a", nil)
	g.Expect(found).To(BeFalse())
}
