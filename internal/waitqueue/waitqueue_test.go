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

func returning(params waitqueue.Params) waitqueue.Params {
	params.Returning = true
	return params
}

func bound(params waitqueue.Params) waitqueue.Params {
	params.Bound = true
	return params
}

func of(organisation string, params waitqueue.Params) waitqueue.Params {
	params.Organisation = organisation
	return params
}

// excessOfLarge puts the organisation "large" above its fair share.
func excessOfLarge(organisation string) float64 {
	if organisation == "large" {
		return 1.5
	}
	return 1
}

func after(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func TestQueueOrder(t *testing.T) {
	tests := []struct {
		name          string
		first, second waitqueue.Params
	}{
		{"the higher priority", params(0, 240), params(1, 100)},
		{"the earlier deadline at equal priority", params(1, 100), params(1, 240)},
		{"a returning call at equal priority", returning(params(1, 240)), params(1, 100)},
		{"the higher priority before a returning call", params(0, 240), returning(params(1, 100))},
		{"an organisation within its share", of("small", params(1, 240)), of("large", params(1, 100))},
		{"an organisation within its share before a returning call", of("small", params(1, 240)), returning(of("large", params(1, 100)))},
		{"a call bound to a version at equal priority", bound(params(1, 240)), params(1, 100)},
		{"a call bound to a version before a returning one", bound(params(1, 240)), returning(params(1, 100))},
		{"the higher priority before a call bound to a version", params(0, 240), bound(params(1, 100))},
		{"an organisation within its share before a call bound to a version", of("small", params(1, 240)), bound(of("large", params(1, 100)))},
		{"the higher priority before an organisation within its share", of("large", params(0, 240)), of("small", params(1, 100))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			queue := waitqueue.Queue[string]{Excess: excessOfLarge}
			queue.Add(test.second, "second", start)
			queue.Add(test.first, "first", start)
			g.Expect(queue.GoesFirst(test.first)).To(BeFalse(), "an older equal call goes before it")
			g.Expect(queue.GoesFirst(test.second)).To(BeFalse())
			order := queue.Sorted()
			g.Expect([]string{order[0].Value, order[1].Value}).To(Equal([]string{"first", "second"}))
		})
	}
}

func TestRemove(t *testing.T) {
	g := NewWithT(t)
	var queue waitqueue.Queue[int]
	entry, _ := queue.Add(params(0, 1), 1, start)
	g.Expect(queue.Remove(entry, start)).To(BeTrue())
	g.Expect(queue.Remove(entry, start)).To(BeFalse())
	g.Expect(queue.Len()).To(BeZero())
}

// queueWithRate returns a queue that admitted calls at this rate for ten seconds.
func queueWithRate(perSecond int) *waitqueue.Queue[int] {
	queue := &waitqueue.Queue[int]{}
	for i := range 10 * perSecond {
		queue.RecordAdmission(waitqueue.Params{Priority: 1}, start.Add(time.Duration(i-10*perSecond)*time.Second/time.Duration(perSecond)))
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
				test.queue.Add(params(1, 100), 0, start)
			}
			g.Expect(test.queue.CannotMeetDeadline(test.call, start)).To(Equal(test.tooLate))
		})
	}
}

func TestTheAdmissionRateDecays(t *testing.T) {
	g := NewWithT(t)
	queue := queueWithRate(50)
	entry, _ := queue.Add(params(0, 100), 0, start)
	g.Expect(queue.EstimateWait(params(0, 60_000), start)).To(BeNumerically("~", 20*time.Millisecond, 2*time.Millisecond))
	queue.Remove(entry, after(100)) // a wait without admissions would be a measurement
	queue.Add(params(0, 100), 0, after(20_000))
	g.Expect(queue.EstimateWait(params(0, 60_000), after(20_000))).To(Equal(20*time.Millisecond), "the minimum rate")
}
