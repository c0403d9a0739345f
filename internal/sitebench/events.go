// Virtual time: events run in the order of their times, and the clock jumps from one event to the
// next, so that a simulation takes only as long as its events take to compute.

package sitebench

import "container/heap"

// event is a function that is scheduled for a given time. Events of the same time run in the order
// in which they were scheduled.
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

// schedule schedules an event after a delay in milliseconds.
func (sim *simulation) schedule(millis float64, run func()) {
	sim.sequence++
	heap.Push(&sim.pending, event{sim.now + millis, sim.sequence, run})
}

// runAll runs all scheduled events, including those that they schedule.
func (sim *simulation) runAll() {
	for len(sim.pending) > 0 {
		next := heap.Pop(&sim.pending).(event)
		sim.now = next.at
		next.run()
	}
}
