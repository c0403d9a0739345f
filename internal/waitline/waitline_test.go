package waitline_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/waitline"
)

var start = time.Unix(1_000_000, 0)

// at makes a call whose wait ends some milliseconds after the start.
func at(urgency, until int) waitline.Call {
	return waitline.Call{Urgency: urgency, Until: after(until)}
}

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func TestWhoGoesFirst(t *testing.T) {
	tests := []struct {
		name          string
		first, second waitline.Call
	}{
		{"the more urgent", at(0, 240), at(1, 100)},
		{"of these the one whose wait ends first", at(1, 100), at(1, 240)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var line waitline.Line[string]
			line.Enter(test.second, "second")
			line.Enter(test.first, "first")
			order := line.InOrder()
			g.Expect([]string{order[0].Value, order[1].Value}).To(Equal([]string{"first", "second"}))
		})
	}
}

func TestACallThatLeavesIsOut(t *testing.T) {
	g := NewWithT(t)
	var line waitline.Line[int]
	entry := line.Enter(at(0, 1), 1)
	g.Expect(line.Leave(entry)).To(BeTrue())
	g.Expect(line.Leave(entry)).To(BeFalse())
	g.Expect(line.Len()).To(BeZero())
}

// busy makes a line whose calls found room at a rate for some seconds.
func busy(perSecond int) *waitline.Line[int] {
	line := &waitline.Line[int]{}
	for i := range 10 * perSecond {
		line.Found(start.Add(time.Duration(i-10*perSecond) * time.Second / time.Duration(perSecond)))
	}
	return line
}

func TestACallWhoseTurnComesTooLateIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name     string
		line     *waitline.Line[int]
		ahead    int
		call     waitline.Call
		hopeless bool
	}{
		{"the first call of a quiet box", busy(0), 0, at(1, 240), false},
		{"a short line that moves", busy(60), 8, at(1, 240), false},
		{"a line that is too long", busy(60), 30, at(1, 240), true},
		{"a burst at a box that has seen little", busy(2), 8, at(1, 240), false},
		{"more than ever found room in time", busy(2), 20, at(1, 240), true},
		{"more urgent than all of them", busy(60), 100, at(0, 240), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for range test.ahead {
				test.line.Enter(at(1, 100), 0)
			}
			g.Expect(test.line.Hopeless(test.call, start)).To(Equal(test.hopeless))
		})
	}
}

func TestTheRateIsThatOfTheLastSeconds(t *testing.T) {
	g := NewWithT(t)
	line := busy(50)
	line.Enter(at(0, 100), 0)
	g.Expect(line.Wait(at(0, 60_000), start)).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	g.Expect(line.Wait(at(0, 60_000), after(20_000))).To(Equal(20*time.Millisecond), "the least rate")
}
