package delegate_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/delegate"
)

// reading is a role with few boxes for each delegate.
var reading = delegate.Config{Role: "reader", BoxesPerDelegate: 24}

// boxesIn makes boxes in zones of given sizes.
func boxesIn(sizes ...int) []delegate.Box {
	var boxes []delegate.Box
	for zone, size := range sizes {
		for i := range size {
			boxes = append(boxes, delegate.Box{Name: fmt.Sprintf("box-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return boxes
}

// without lists all boxes but one.
func without(boxes []delegate.Box, at int) []delegate.Box {
	return append(append([]delegate.Box(nil), boxes[:at]...), boxes[at+1:]...)
}

// readers gives the boxes that read themselves, and checks that all others follow one of
// them.
func readers(g *WithT, boxes []delegate.Box) map[string]delegate.Box {
	read, followed := readersOf(reading, boxes), map[string]bool{}
	for i, box := range boxes {
		reader, follow := delegate.Choose(reading, box, without(boxes, i))
		if follow {
			followed[reader.Name] = true
		}
	}
	for name := range followed {
		g.Expect(read).To(HaveKey(name), "boxes follow one that reads")
	}
	return read
}

// readersOf gives the boxes that choose no other.
func readersOf(cfg delegate.Config, boxes []delegate.Box) map[string]delegate.Box {
	chosen := map[string]delegate.Box{}
	for i, box := range boxes {
		if _, follow := delegate.Choose(cfg, box, without(boxes, i)); !follow {
			chosen[box.Name] = box
		}
	}
	return chosen
}

func TestFewBoxesReadForAll(t *testing.T) {
	tests := []struct {
		name  string
		sizes []int
		want  int
	}{
		{"one box", []int{1}, 1},
		{"small zones have one reader together", []int{3, 3, 2, 1}, 1},
		{"a zone of eight has its own", []int{8, 3, 2}, 2},
		{"each large zone has its own", []int{20, 21, 20, 21}, 4},
		{"many boxes have several", []int{50, 24}, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(readers(g, boxesIn(test.sizes...))).To(HaveLen(test.want))
		})
	}
}

func TestABoxOfALargeZoneIsReadForInItsZone(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(20, 20, 20)
	for i, box := range boxes {
		if reader, follow := delegate.Choose(reading, box, without(boxes, i)); follow {
			g.Expect(reader.Zone).To(Equal(box.Zone))
		}
	}
}

// When the reader goes, exactly one other box takes its place, and when another box goes
// the reader stays.
func TestTheReaderChangesOnlyWhenItGoes(t *testing.T) {
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

// The small boxes of a zone have a quarter of the processor and a tenth of the link of the
// large ones.
func TestLargeBoxesAreChosenWhileAnyIsThere(t *testing.T) {
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
	g.Expect(readersOf(hub, boxes)).To(HaveLen(1), "without a large one, one of the others")
}

// A hub tells those of the other groups, each of which must be found by the same choice
// that its own boxes make.
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

// Boxes that start are heard one after the other. When zones were told large from small by
// the boxes that were heard, a box followed one of another zone until eight of its own were.
func TestBoxesThatAreAwayCountForTheirZone(t *testing.T) {
	g := NewWithT(t)
	boxes := boxesIn(16, 16)
	for i := range boxes {
		boxes[i].Unavailable = i != 0 && i != 3 && i != 20
	}
	chosen, follow := delegate.Choose(reading, boxes[0], boxes[1:])
	if follow {
		g.Expect(chosen.Name).To(Equal("box-0-3"))
	}
	for _, foreign := range delegate.OfOtherGroups(reading, "zone-0", boxes) {
		g.Expect(foreign.Name).To(Equal("box-1-4"))
	}
	for i := range boxes {
		boxes[i].Unavailable = i != 0
	}
	_, follow = delegate.Choose(reading, boxes[0], boxes[1:])
	g.Expect(follow).To(BeFalse(), "whoever hears nobody is its own")
	g.Expect(delegate.OfOtherGroups(reading, "zone-0", boxes)).To(BeEmpty())
}

// What the only delegate knows is known by one other box too, which needs not learn it first
// when that one goes.
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
				if delegate.IsStandby(reading, box, without(boxes, i)) {
					standbys++
					for name, only := range readersOf(reading, boxes) {
						g.Expect(name).NotTo(Equal(box.Name))
						at := slices.Index(boxes, only)
						g.Expect(readersOf(reading, without(boxes, at))).To(HaveKey(box.Name), "it is next")
					}
				}
			}
			g.Expect(standbys).To(Equal(test.want))
		})
	}
}

// All boxes, whatever their own zone, must name the same owner of a zone, also of one that has
// few boxes or none.
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
		first, there := delegate.ForZone(cfg, zone, boxes)
		g.Expect(there).To(BeTrue())
		slices.Reverse(boxes)
		again, _ := delegate.ForZone(cfg, zone, boxes)
		g.Expect(again).To(Equal(first))
	}
	owner, _ := delegate.ForZone(cfg, "a", boxes)
	g.Expect(owner.Zone).To(Equal("a"))
	alone, _ := delegate.ForZone(cfg, "without boxes", boxes)
	g.Expect(alone.Zone).To(Equal("c"), "small zones and those without boxes share one")
	for i := range boxes {
		boxes[i].Unavailable = boxes[i].Name == owner.Name
	}
	next, _ := delegate.ForZone(cfg, "a", boxes)
	g.Expect(next.Name).NotTo(Equal(owner.Name))
	_, there := delegate.ForZone(cfg, "a", nil)
	g.Expect(there).To(BeFalse())
}
