package zonereader_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/zonereader"
)

// boxesIn makes boxes in zones of given sizes.
func boxesIn(sizes ...int) []zonereader.Box {
	var boxes []zonereader.Box
	for zone, size := range sizes {
		for i := range size {
			boxes = append(boxes, zonereader.Box{Name: fmt.Sprintf("box-%d-%d", zone, i), Zone: fmt.Sprintf("zone-%d", zone)})
		}
	}
	return boxes
}

// without lists all boxes but one.
func without(boxes []zonereader.Box, at int) []zonereader.Box {
	return append(append([]zonereader.Box(nil), boxes[:at]...), boxes[at+1:]...)
}

// readers gives the boxes that read themselves, and checks that all others follow one of
// them.
func readers(g *WithT, boxes []zonereader.Box) map[string]zonereader.Box {
	read, followed := map[string]zonereader.Box{}, map[string]bool{}
	for i, box := range boxes {
		reader, follow := zonereader.Choose(box, without(boxes, i))
		if follow {
			followed[reader.Name] = true
		} else {
			read[box.Name] = box
		}
	}
	for name := range followed {
		g.Expect(read).To(HaveKey(name), "boxes follow one that reads")
	}
	return read
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
		if reader, follow := zonereader.Choose(box, without(boxes, i)); follow {
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
