package waitqueue_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/waitqueue"
)

var start = time.Unix(1_000_000, 0)

// params returns the parameters of a call whose wait ends some milliseconds after the start.
func params(priority, until int) waitqueue.Params {
	return waitqueue.Params{Priority: priority, Deadline: after(until)}
}

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name          string
		first, second waitqueue.Params
	}{
		{"the higher priority", params(0, 240), params(1, 100)},
		{"the earlier deadline at equal priority", params(1, 100), params(1, 240)},
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

func TestRemove(t *testing.T) {
	g := NewWithT(t)
	var queue waitqueue.Queue[int]
	entry := queue.Add(params(0, 1), 1)
	g.Expect(queue.Remove(entry)).To(BeTrue())
	g.Expect(queue.Remove(entry)).To(BeFalse())
	g.Expect(queue.Len()).To(BeZero())
}

// queueWithRate returns a queue that admitted calls at this rate for ten seconds.
func queueWithRate(perSecond int) *waitqueue.Queue[int] {
	queue := &waitqueue.Queue[int]{}
	for i := range 10 * perSecond {
		queue.RecordAdmission(start.Add(time.Duration(i-10*perSecond) * time.Second / time.Duration(perSecond)))
	}
	return queue
}

func TestCannotMeetDeadline(t *testing.T) {
	tests := []struct {
		name    string
		queue   *waitqueue.Queue[int]
		ahead   int
		call    waitqueue.Params
		tooLate bool
	}{
		{"the first call of an idle box", queueWithRate(0), 0, params(1, 240), false},
		{"a short queue that moves", queueWithRate(60), 8, params(1, 240), false},
		{"a queue that is too long", queueWithRate(60), 30, params(1, 240), true},
		{"a burst at a box with few admissions", queueWithRate(2), 8, params(1, 240), false},
		{"more calls than the minimum rate admits in time", queueWithRate(2), 20, params(1, 240), true},
		{"a higher priority than all of them", queueWithRate(60), 100, params(0, 240), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for range test.ahead {
				test.queue.Add(params(1, 100), 0)
			}
			g.Expect(test.queue.CannotMeetDeadline(test.call, start)).To(Equal(test.tooLate))
		})
	}
}

func TestTheAdmissionRateDecays(t *testing.T) {
	g := NewWithT(t)
	queue := queueWithRate(50)
	queue.Add(params(0, 100), 0)
	g.Expect(queue.EstimateWait(params(0, 60_000), start)).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	g.Expect(queue.EstimateWait(params(0, 60_000), after(20_000))).To(Equal(20*time.Millisecond), "the minimum rate")
}
