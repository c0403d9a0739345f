package policybench

import (
	"container/heap"
	"container/list"
	"math"
	"slices"

	"github.com/cometlock/cometlock/internal/decide"
)

// cache is a runner's prefix cache with least-recently-used eviction.
type cache struct {
	capacity, size int
	entries        map[int]*list.Element
	lru            *list.List
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, entries: map[int]*list.Element{}, lru: list.New()}
}

// cachedTokens returns how many tokens of the prefix are cached.
func (c *cache) cachedTokens(segments []segment) int {
	tokens := 0
	for _, s := range segments {
		if c.entries[s.id] == nil {
			break
		}
		tokens += s.tokens
	}
	return tokens
}

func (c *cache) store(segments []segment) {
	for i := len(segments) - 1; i >= 0; i-- {
		s := segments[i]
		if element := c.entries[s.id]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.entries[s.id] = c.lru.PushFront(s)
		c.size += s.tokens
	}
	for c.size > c.capacity {
		last, ok := c.lru.Remove(c.lru.Back()).(segment)
		if !ok {
			return
		}
		delete(c.entries, last.id)
		c.size -= last.tokens
	}
}

// runner simulates a model runner.
type runner struct {
	cache      *cache
	queue      []*job // instant requests first
	prefilling bool
	decoding   int
	// queued is the prompt work that is not prefilled yet, by class.
	queued [classes]int
	// reported is the queued work in the last load report.
	reported        [classes]int
	reportedRunning int
}

// classes is the number of priority classes of a runner: instant requests, and all others.
const classes = 2

func classOf(req *request) int {
	if req.instant {
		return 0
	}
	return 1
}

// job is a request at a runner.
type job struct {
	request         *request
	box             int
	predictedTokens int // prefill tokens that the box predicted
	arrived         float64
	// admitted means that the job has a slot. remaining counts the tokens that are not prefilled
	// yet.
	admitted  bool
	remaining int
}

// event is a function that is scheduled for a given time.
type event struct {
	at       float64
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) {
	if item, ok := x.(event); ok {
		*e = append(*e, item)
	}
}

func (e *events) Pop() any {
	old := *e
	item := old[len(old)-1]
	*e = old[:len(old)-1]
	return item
}

// box is the state that an entry box tracks itself.
type box struct {
	// sent is the prefill work that the box has sent and whose first token it has not received.
	// sentAtReport is the part of it that was sent before the last report.
	sent, sentAtReport [][classes]int
	running            []int
}

// simulation runs the requests of a load with a policy.
type simulation struct {
	load       Load
	policy     decide.Policy
	now        float64
	pending    events
	sequence   int
	runners    []*runner
	boxes      []*box
	reportedAt float64
	scratch    []decide.Runner
	result     Result
	offered    []float64
	served     []float64
}

// Deadlines for the first token, in seconds.
const (
	instantDeadline = 2.0
	normalDeadline  = 30.0
)

// simulate runs requests, whose arrival times are already scaled, with a policy.
func simulate(load Load, requests []request, policy decide.Policy) Result {
	s := &simulation{load: load, policy: policy, offered: make([]float64, len(load.Organisations)), served: make([]float64, len(load.Organisations))}
	for range load.Runners {
		s.runners = append(s.runners, &runner{cache: newCache(load.CacheTokens)})
	}
	for range load.Boxes {
		s.boxes = append(s.boxes, &box{sent: make([][classes]int, load.Runners), sentAtReport: make([][classes]int, load.Runners), running: make([]int, load.Runners)})
	}
	s.scratch = make([]decide.Runner, load.Runners)
	for i := range requests {
		s.schedule(requests[i].at, func() { s.arrive(&requests[i], i%load.Boxes) })
	}
	last := requests[len(requests)-1].at
	for at := 0.0; at < last; at += load.ReportLag {
		s.schedule(at, s.report)
	}
	for len(s.pending) > 0 {
		next, ok := heap.Pop(&s.pending).(event)
		if !ok {
			break
		}
		s.now = next.at
		next.run()
	}
	s.result.finish(s.offered, s.served)
	return s.result
}

func (s *simulation) schedule(at float64, run func()) {
	s.sequence++
	heap.Push(&s.pending, event{at: at, sequence: s.sequence, run: run})
}

// report sends the current load of all runners to all boxes.
func (s *simulation) report() {
	s.reportedAt = s.now
	for i, r := range s.runners {
		r.reported, r.reportedRunning = r.queued, len(r.queue)+r.decoding
		for _, b := range s.boxes {
			b.sentAtReport[i] = b.sent[i]
		}
	}
}

// describe returns the state of the runners as a box knows it, computed in the same way as in
// package zone.
func (s *simulation) describe(req *request, b *box) []decide.Runner {
	age := s.now - s.reportedAt
	for i, r := range s.runners {
		var own, others float64
		for class := 0; class <= classOf(req); class++ {
			own += float64(b.sent[i][class])
			others += float64(r.reported[class] - b.sentAtReport[i][class])
		}
		s.scratch[i] = decide.Runner{
			Eligible: true, PrefillRate: s.load.PrefillRate, Slots: s.load.Slots,
			QueuedTokens: own + math.Max(0, others-s.load.PrefillRate*age),
			Running:      max(b.running[i], r.reportedRunning),
			RunSeconds:   float64(s.load.OutputTokens[0]+s.load.OutputTokens[1]) / 2 / s.load.DecodeRate,
			WarmTokens:   r.cache.cachedTokens(req.segments),
			HomeRank:     mix(req.affinityHash ^ mix(uint64(i)+1)),
		}
	}
	return s.scratch
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func (s *simulation) arrive(req *request, at int) {
	b := s.boxes[at]
	s.offered[req.organisation]++
	s.result.total += req.tokens()
	decision := s.policy.Choose(decide.Query{
		PromptTokens: req.tokens(), FirstTokenWeight: s.load.FirstTokenWeight, RecomputeWeight: s.load.RecomputeWeight,
	}, s.describe(req, b))
	if decision.FirstTokenSeconds > deadline(req) {
		s.result.Refused++
		s.result.total -= req.tokens()
		return
	}
	chosen := decision.Runner
	b.sent[chosen][classOf(req)] += decision.RecomputedTokens
	b.running[chosen]++
	s.runners[chosen].add(&job{request: req, box: at, predictedTokens: decision.RecomputedTokens, arrived: s.now})
	s.advance(chosen)
}

func deadline(req *request) float64 {
	if req.instant {
		return instantDeadline
	}
	return normalDeadline
}

// add queues a job, with instant ones before all others.
func (r *runner) add(j *job) {
	r.queued[classOf(j.request)] += j.predictedTokens
	if !j.request.instant {
		r.queue = append(r.queue, j)
		return
	}
	at := 0
	for at < len(r.queue) && r.queue[at].request.instant {
		at++
	}
	r.queue = slices.Insert(r.queue, at, j)
}

// chunkTokens is the number of prompt tokens that an engine prefills before it selects the most
// urgent job again.
const chunkTokens = 2048

// advance prefills the next chunk of the most urgent job of a runner.
func (s *simulation) advance(at int) {
	r := s.runners[at]
	if r.prefilling || len(r.queue) == 0 {
		return
	}
	next := r.queue[0]
	if !next.admitted {
		if r.decoding >= s.load.Slots {
			return
		}
		next.admitted = true
		r.decoding++
		next.remaining = next.request.tokens() - r.cache.cachedTokens(next.request.segments)
		s.result.computed += next.remaining
	}
	r.prefilling = true
	chunk := min(next.remaining, chunkTokens)
	next.remaining -= chunk
	s.schedule(s.now+float64(chunk)/s.load.PrefillRate, func() { s.chunkDone(at, next) })
}

func (s *simulation) chunkDone(at int, j *job) {
	r := s.runners[at]
	r.prefilling = false
	if j.remaining == 0 {
		r.queue = slices.Delete(r.queue, slices.Index(r.queue, j), slices.Index(r.queue, j)+1)
		s.firstToken(at, j)
	}
	s.advance(at)
}

func (s *simulation) firstToken(at int, j *job) {
	r := s.runners[at]
	r.cache.store(j.request.segments)
	class := classOf(j.request)
	r.queued[class] -= j.predictedTokens
	b := s.boxes[j.box]
	b.sent[at][class] -= j.predictedTokens
	b.sentAtReport[at][class] = max(0, b.sentAtReport[at][class]-j.predictedTokens)
	s.result.add(j.request, s.now-j.arrived)
	if s.now-j.arrived <= deadline(j.request) {
		s.served[j.request.organisation]++
	}
	s.schedule(s.now+float64(j.request.output)/s.load.DecodeRate, func() {
		r.decoding--
		b.running[at]--
		s.advance(at)
	})
}
