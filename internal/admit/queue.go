package admit

import (
	"container/heap"
	"time"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/flow"
)

// queue orders waiting requests by urgency, and among equally urgent ones by
// fair shares.
//
// Fairness is start-time fair queueing: each request gets a virtual start, which
// is the end of its organisation's request before, or the virtual time now if
// the organisation was idle; it then takes 1 ÷ share of virtual time. The lowest
// start goes first. An organisation with share 2 so passes two requests for
// each one of share 1, and nobody saves up a claim while idle:
//
//	a (share 2) queues 4 at once: starts 0, ½, 1, 1½
//	b (share 1) queues 2 at once: starts 0, 1
//	order: a0 b0 a½ a1 b1 a1½
type queue struct {
	waiting waiting
	// clock is the virtual time of each urgency.
	clock [urgencies]float64
	// ends is where each organisation's next request begins at the earliest.
	ends     map[lane]float64
	sequence uint64
}

// urgencies is the number of priorities.
const urgencies = 3

type lane struct {
	organisation string
	urgency      int
}

type entry struct {
	request  *flow.Request
	claim    *ticket
	urgency  int
	start    float64
	sequence uint64
	since    time.Time
}

func newQueue() *queue { return &queue{ends: map[lane]float64{}} }

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) push(request *flow.Request, claim *ticket) {
	urgency := Urgency(request.Priority)
	key := lane{organisation: request.Organisation.Name, urgency: urgency}
	start := max(q.clock[urgency], q.ends[key])
	q.ends[key] = start + 1/float64(request.Organisation.Share)
	q.sequence++
	heap.Push(&q.waiting, &entry{request: request, claim: claim, urgency: urgency, start: start, sequence: q.sequence, since: time.Now()})
}

// pop takes the request that goes next.
func (q *queue) pop() *entry {
	next, ok := heap.Pop(&q.waiting).(*entry)
	if !ok {
		return nil
	}
	q.clock[next.urgency] = max(q.clock[next.urgency], next.start)
	q.prune(next)
	return next
}

// peek gives the request that goes next without taking it.
func (q *queue) peek() *entry { return q.waiting[0] }

// prune forgets an organisation whose lane has caught up with the clock, so
// that the memory is bounded by the organisations that are waiting.
func (q *queue) prune(e *entry) {
	key := lane{organisation: e.request.Organisation.Name, urgency: e.urgency}
	if q.ends[key] <= q.clock[e.urgency] {
		delete(q.ends, key)
	}
	if len(q.waiting) == 0 {
		clear(q.ends)
		q.clock = [urgencies]float64{}
	}
}

// age makes requests that have waited long more urgent, so that none starves:
// a review becomes normal after one step, and instant never, since a person
// waits for those.
func (q *queue) age(now time.Time, step time.Duration) {
	changed := false
	for _, e := range q.waiting {
		if e.urgency > Urgency(config.PriorityNormal) && now.Sub(e.since) >= step {
			e.urgency--
			e.since = now
			e.start = q.clock[e.urgency]
			changed = true
		}
	}
	if changed {
		heap.Init(&q.waiting)
	}
}

// Urgency ranks a priority; the lowest goes first.
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

type waiting []*entry

func (w waiting) Len() int { return len(w) }

func (w waiting) Less(i, j int) bool {
	if w[i].urgency != w[j].urgency {
		return w[i].urgency < w[j].urgency
	}
	if w[i].start != w[j].start {
		return w[i].start < w[j].start
	}
	return w[i].sequence < w[j].sequence
}

func (w waiting) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

func (w *waiting) Push(x any) {
	if e, ok := x.(*entry); ok {
		*w = append(*w, e)
	}
}

func (w *waiting) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}
