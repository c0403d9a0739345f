package waitqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/waitqueue"
)

var start = time.Unix(1_000_000, 0)

// at makes a call whose wait ends some milliseconds after the start.
func at(priority, until int) waitqueue.Params {
	return waitqueue.Params{Priority: priority, Deadline: after(until)}
}

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func TestWhoGoesFirst(t *testing.T) {
	tests := []struct {
		name          string
		first, second waitqueue.Params
	}{
		{"the more urgent", at(0, 240), at(1, 100)},
		{"of these the one whose wait ends first", at(1, 100), at(1, 240)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			var queue waitqueue.Queue[string]
			queue.Add(test.second, "second")
			queue.Add(test.first, "first")
			order := queue.Sorted()
			g.Expect([]string{order[0].Value, order[1].Value}).To(Equal([]string{"first", "second"}))
		})
	}
}

func TestACallThatLeavesIsOut(t *testing.T) {
	g := NewWithT(t)
	var queue waitqueue.Queue[int]
	entry := queue.Add(at(0, 1), 1)
	g.Expect(queue.Remove(entry)).To(BeTrue())
	g.Expect(queue.Remove(entry)).To(BeFalse())
	g.Expect(queue.Len()).To(BeZero())
}

// busy makes a queue whose calls found room at a rate for some seconds.
func busy(perSecond int) *waitqueue.Queue[int] {
	queue := &waitqueue.Queue[int]{}
	for i := range 10 * perSecond {
		queue.RecordAdmission(start.Add(time.Duration(i-10*perSecond) * time.Second / time.Duration(perSecond)))
	}
	return queue
}

func TestACallWhoseTurnComesTooLateIsRefusedAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		queue   *waitqueue.Queue[int]
		ahead   int
		call    waitqueue.Params
		tooLate bool
	}{
		{"the first call of a quiet box", busy(0), 0, at(1, 240), false},
		{"a short queue that moves", busy(60), 8, at(1, 240), false},
		{"a queue that is too long", busy(60), 30, at(1, 240), true},
		{"a burst at a box that has seen little", busy(2), 8, at(1, 240), false},
		{"more than ever found room in time", busy(2), 20, at(1, 240), true},
		{"more urgent than all of them", busy(60), 100, at(0, 240), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for range test.ahead {
				test.queue.Add(at(1, 100), 0)
			}
			g.Expect(test.queue.CannotMeetDeadline(test.call, start)).To(Equal(test.tooLate))
		})
	}
}

func TestTheRateIsThatOfTheLastSeconds(t *testing.T) {
	g := NewWithT(t)
	queue := busy(50)
	queue.Add(at(0, 100), 0)
	g.Expect(queue.EstimateWait(at(0, 60_000), start)).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	g.Expect(queue.EstimateWait(at(0, 60_000), after(20_000))).To(Equal(20*time.Millisecond), "the least rate")
}
