// Which boxes a stream concerns in a large fleet, and what choosing them costs.

package streamorigin

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Every box of a large fleet holds about the same number of origins, in different zones, and the loss of a
// box changes the holders of few others.
func TestHoldersAreSpreadOverALargeFleet(t *testing.T) {
	g := NewWithT(t)
	const count, zones, streams = 2000, 10, 1000
	boxes := make([]Box, count)
	for i := range boxes {
		boxes[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%zones)}
	}
	held, moved := map[string]int{}, 0
	for number := range streams {
		chosen := holders(keyOfNumber(number), boxes)
		g.Expect(chosen).To(HaveLen(replicas))
		inZone := map[string]bool{}
		for _, box := range chosen {
			held[box.Name]++
			inZone[box.Zone] = true
		}
		g.Expect(inZone).To(HaveLen(replicas))
		for i, box := range holders(keyOfNumber(number), boxes[1:]) {
			if box.Name != chosen[i].Name {
				moved++
			}
		}
	}
	for name, origins := range held {
		g.Expect(origins).To(BeNumerically("<=", 10), name) // 1.5 on average
	}
	g.Expect(moved).To(BeNumerically("<=", 15))
}

// A lookup must ask the holders that the box which began the stream chose, though that box is not among them
// and may have taken one more for unavailable.
func TestALookupAsksOtherBoxesThanTheSender(t *testing.T) {
	g := NewWithT(t)
	const count, zones = 60, 4
	boxes := make([]Box, count)
	for i := range boxes {
		boxes[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%zones)}
	}
	for number := range 200 {
		key := keyOfNumber(number)
		possible := possibleHolders(key, boxes)
		g.Expect(len(possible)).To(BeNumerically("<=", 2*replicas+1))
		for i := range boxes {
			others := append(append([]Box(nil), boxes[:i]...), boxes[i+1:]...)
			for _, holder := range holders(key, others) {
				g.Expect(containsBox(possible, holder)).To(BeTrue(), "stream %d of box %d", number, i)
			}
		}
	}
}

// BenchmarkHolders measures the cost of each stream while a service of a large fleet has several versions.
func BenchmarkHolders(b *testing.B) {
	boxes := make([]Box, 2000)
	for i := range boxes {
		boxes[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%10)}
	}
	for number := 0; b.Loop(); number++ {
		holders(keyOfNumber(number), boxes)
	}
}

// Each recorder makes calls of the log, so few of the boxes of a large fleet may be one, and each zone has its own.
func TestManyBoxesOfALargeFleetRecord(t *testing.T) {
	tests := []struct {
		name         string
		boxes, zones int
		most         int
	}{
		{"a dozen boxes in four zones", 12, 4, 1},
		{"80 boxes in three zones", 80, 3, 3},
		{"986 boxes in six zones", 986, 6, 6},
		{"2,000 boxes in ten zones", 2000, 10, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			all := make([]Box, test.boxes)
			for i := range all {
				all[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%test.zones), Address: "address", Cores: 1}
			}
			recorders := map[string]int{}
			const step = 7 // some of the boxes show it
			for i := 0; i < test.boxes; i += step {
				o := New(Config{Self: all[i], Others: func() []Box { return slices.Delete(slices.Clone(all), i, i+1) }})
				recorder, _ := o.recorder()
				recorders[recorder.Name]++
			}
			g.Expect(len(recorders)).To(BeNumerically("<=", test.most))
			for name, boxes := range recorders {
				g.Expect(boxes*step).To(BeNumerically("<=", 2*recorderRole.BoxesPerDelegate), name)
			}
		})
	}
}

// BenchmarkRecorder measures the choice of a recorder in a large fleet, while a service has several versions.
func BenchmarkRecorder(b *testing.B) {
	others := make([]Box, 1999)
	for i := range others {
		others[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%10), Address: "address", Cores: 1}
	}
	o := New(Config{Self: Box{Name: "self", Zone: "zone-3", Cores: 1}, Others: func() []Box { return others }})
	for b.Loop() {
		o.chooseRecorder()
	}
}

// BenchmarkLookUp measures the choice of the boxes to ask in a large fleet.
func BenchmarkLookUp(b *testing.B) {
	others := make([]Box, 1999)
	for i := range others {
		others[i] = Box{Name: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%10), Address: "address", Cores: 1}
	}
	o := New(Config{Self: Box{Name: "self", Zone: "zone-3", Cores: 1}, Others: func() []Box { return others }})
	for number := 0; b.Loop(); number++ {
		o.lookUp(keyOfNumber(number))
	}
}
