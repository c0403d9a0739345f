// Refused calls: when they should be sent again, and which of them have come back.

package admission

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/returntimes"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

const (
	// maxFullFor bounds the time for which a refusal keeps further calls away.
	maxFullFor = 200 * time.Millisecond
	// maxSchedules bounds the priorities with a schedule of return times.
	maxSchedules = 16
)

// refusals is the state of refused calls.
type refusals struct {
	schedules map[int]*returntimes.Schedule
	memory    returntimes.Memory
}

// schedule returns the schedule of a priority.
func (r *refusals) schedule(priority int) *returntimes.Schedule {
	found := r.schedules[priority]
	if found == nil {
		if r.schedules == nil || len(r.schedules) >= maxSchedules {
			r.schedules = map[int]*returntimes.Schedule{}
		}
		found = &returntimes.Schedule{}
		r.schedules[priority] = found
	}
	return found
}

// Refusal describes a refused call.
type Refusal struct {
	// ReturnAfter is when the call should be sent again; zero if its caller won't do that.
	ReturnAfter time.Duration
	// FullFor is for how long calls of the same or lower rank that require no less of a server won't
	// find one. AboveShare restricts that to calls of the same organisation.
	FullFor    time.Duration
	AboveShare bool
}

// HasReturned reports whether a call was refused before and has come back now. It returns true once for
// each refusal.
func (q *Queue[C, P]) HasReturned(fingerprint uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.refusals.memory.Take(fingerprint, boottime.Now())
}

// Refuse assigns a return time to a call that found no capacity. Its caller sends it again after
// maxReturn at the latest; zero means that it doesn't.
func (q *Queue[C, P]) Refuse(params waitqueue.Params, fingerprint uint64, maxReturn time.Duration) Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	expected := max(q.calls.EstimateWait(params, now), recheckInterval)
	refusal := Refusal{FullFor: min(expected, maxFullFor), AboveShare: q.calls.IsAboveShare(params.Organisation)}
	if maxReturn <= 0 {
		return refusal
	}
	refusal.ReturnAfter = q.refusals.schedule(params.Priority).Next(returntimes.Refusal{
		PerSecond: q.calls.AdmissionRate(params.Priority, now), Drain: q.calls.DrainTime(params.Priority, now), Latest: maxReturn,
	}, now)
	q.refusals.memory.Add(fingerprint, refusal.ReturnAfter, now)
	return refusal
}
