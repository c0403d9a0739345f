package admit

import (
	"container/heap"
	"time"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
)

// queue orders waiting requests by urgency, and requests of the same urgency by start-time fair queueing
// (SFQ).
//
// In SFQ, each request gets a virtual start time: the virtual finish time of its organisation's previous
// request, or the current virtual time if the organisation was idle. Its virtual duration is 1 ÷ share.
// The request with the lowest start time is served first. An organisation with share 2 thus runs two
// requests for each one of an organisation with share 1, and idle organisations accumulate no credit:
//
//	a (share 2) queues 4 at once: starts 0, ½, 1, 1½
//	b (share 1) queues 2 at once: starts 0, 1
//	order: a0 b0 a½ a1 b1 a1½
type queue struct {
	waiting entryHeap
	// virtualTime is the current virtual time of each urgency.
	virtualTime [urgencyLevels]float64
	// finishTimes holds the virtual finish time of each organisation's last request, which is the
	// earliest start time of its next one.
	finishTimes map[flowKey]float64
	sequence    uint64
}

// urgencyLevels is the number of priorities.
const urgencyLevels = 3

type flowKey struct {
	organisation string
	urgency      int
}

type entry struct {
	request  *flow.Request
	reserved *reservation
	urgency  int
	start    float64
	sequence uint64
	since    time.Time
}

func newQueue() *queue { return &queue{finishTimes: map[flowKey]float64{}} }

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(request *flow.Request, reserved *reservation) {
	urgency := Urgency(request.Priority)
	key := flowKey{organisation: request.Organisation.Name, urgency: urgency}
	start := max(q.virtualTime[urgency], q.finishTimes[key])
	q.finishTimes[key] = start + 1/float64(request.Organisation.Share)
	q.sequence++
	heap.Push(&q.waiting, &entry{request: request, reserved: reserved, urgency: urgency, start: start, sequence: q.sequence, since: time.Now()})
}

// pop removes and returns the next request.
func (q *queue) pop() *entry {
	next, ok := heap.Pop(&q.waiting).(*entry)
	if !ok {
		return nil
	}
	q.virtualTime[next.urgency] = max(q.virtualTime[next.urgency], next.start)
	q.prune(next)
	return next
}

// peek returns the next request without removing it.
func (q *queue) peek() *entry { return q.waiting[0] }

// prune deletes the finish time of an organisation once the virtual time has reached it, so that the
// memory in use is bounded by the number of organisations with waiting requests.
func (q *queue) prune(e *entry) {
	key := flowKey{organisation: e.request.Organisation.Name, urgency: e.urgency}
	if q.finishTimes[key] <= q.virtualTime[e.urgency] {
		delete(q.finishTimes, key)
	}
	if len(q.waiting) == 0 {
		clear(q.finishTimes)
		q.virtualTime = [urgencyLevels]float64{}
	}
}

// age raises the urgency of requests that have waited a long time, so that none starves. A review
// becomes normal after one interval. No request becomes instant, because users wait for instant
// requests.
func (q *queue) age(now time.Time, interval time.Duration) {
	changed := false
	for _, e := range q.waiting {
		if e.urgency > Urgency(config.PriorityNormal) && now.Sub(e.since) >= interval {
			e.urgency--
			e.since = now
			e.start = q.virtualTime[e.urgency]
			changed = true
		}
	}
	if changed {
		heap.Init(&q.waiting)
	}
}

// Urgency returns the rank of a priority; the lowest rank is served first.
func Urgency(priority config.Priority) int {
	switch priority {
	case config.PriorityInstant:
		return 0
	case config.PriorityReview:
		return 2
	default:
		return 1
	}
}

type entryHeap []*entry

func (w entryHeap) Len() int { return len(w) }

func (w entryHeap) Less(i, j int) bool {
	if w[i].urgency != w[j].urgency {
		return w[i].urgency < w[j].urgency
	}
	if w[i].start != w[j].start {
		return w[i].start < w[j].start
	}
	return w[i].sequence < w[j].sequence
}

func (w entryHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *entryHeap) Push(x any) {
	if e, ok := x.(*entry); ok {
		*w = append(*w, e)
	}
}

func (w *entryHeap) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}
