// Virtual time: what is planned happens in its order, and the clock goes from one moment
// to the next, so that a day takes as long as its events take to compute.

package sitebench

import "container/heap"

// event is something that happens at a moment. Events of one moment happen in the order
// in which they were planned.
type event struct {
	at       float64
	sequence int
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after plans something for so many milliseconds from now.
func (sim *simulation) schedule(millis float64, do func()) {
	sim.sequence++
	heap.Push(&sim.pending, event{sim.now + millis, sim.sequence, do})
}

// playAll lets all that is planned happen, and what it plans in turn.
func (sim *simulation) runAll() {
	for len(sim.pending) > 0 {
		next := heap.Pop(&sim.pending).(event)
		sim.now = next.at
		next.run()
	}
}
