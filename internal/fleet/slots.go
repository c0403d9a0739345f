// How long calls occupy the slots of runners. It depends on the fleet and on the answers, so it is
// learned for each service. Calls of very different lengths share the slots; the mean over calls is
// what determines how often a slot becomes free (Little's law).

package fleet

import (
	"time"

	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
)

const (
	// minSlotTime and maxSlotTime bound the samples. A caller that reads slowly makes a call last
	// long, and must not make the slots of all runners look occupied for as long.
	minSlotTime = 20 * time.Millisecond
	maxSlotTime = 10 * time.Second
	// slotTimeWeight is the weight of the latest sample. With it, the mean of calls of 0.06 to 2 s
	// fluctuates by about a tenth.
	slotTimeWeight = 0.02
)

// use is what was learned about the calls with prompts to a service.
type use struct {
	// slotTime is the mean time for which a call occupies a slot. Before the first sample calls
	// aren't limited by it: with an assumed time, a box that has just started refused calls that
	// took a fraction of that.
	slotTime meanTime
	// byAnswer is the same by the maximum length of the answer, in powers of two.
	byAnswer [maxAnswerBits]meanTime
	// briefTime and allTime are decaying sums of the slot times of brief calls and of all.
	briefTime, allTime float64
	// placed is the recent rate of the calls that this box placed, and of their memory.
	placed arrivals
	// lateness is the mean, in milliseconds, by which first events at all servers were late.
	lateness float64
}

// useOf returns what was learned about a service. The caller holds mu.
func (f *Fleet) useOf(service string) *use {
	learned := f.uses[service]
	if learned == nil {
		learned = &use{}
		f.uses[service] = learned
	}
	return learned
}

// limitsSlots reports whether calls with the query's prompt are limited by slots.
func (f *Fleet) limitsSlots(query *Query) bool {
	return query.Model != "" && f.cfg.Mechanisms.Enabled(mechanism.Slots)
}

// addLearned adds to a query what the fleet has learned about the runners of its service. The
// caller holds mu.
func (f *Fleet) addLearned(query *Query) {
	query.Load.TokenCost = f.tokenCost()
	if !f.limitsSlots(query) {
		return
	}
	if learned := f.useOf(query.Service); learned.slotTime.samples > 0 {
		query.Load.SlotTime = float64(learned.slotTime.mean) / float64(time.Millisecond)
		query.Load.BriefShare = learned.briefShare()
	}
}

// learnSlotTime learns from the end of a call with a prompt. Calls that a server rejected or that
// it left unanswered show nothing about how long others take. The caller holds mu.
func (h *Hold) learnSlotTime(outcome Outcome, now time.Time) {
	if h.weights == 0 || outcome != OutcomeServed && (outcome != OutcomeAbandoned || !h.begun) {
		return
	}
	learned := h.fleet.useOf(h.state.Service)
	sample := min(max(now.Sub(h.placedAt), minSlotTime), maxSlotTime)
	learned.slotTime.add(sample)
	learned.noteAnswer(h.answerTokens, sample)
}

// meanTime is a mean of slot times. The first samples count equally.
type meanTime struct {
	mean    time.Duration
	samples int
}

func (m *meanTime) add(sample time.Duration) {
	m.samples++
	weight := max(slotTimeWeight, 1/float64(m.samples))
	m.mean += time.Duration(weight * float64(sample-m.mean))
}

// fitsMemory reports whether a server has the memory for a call. The caller holds mu.
func (f *Fleet) fitsMemory(query *Query, candidate *placing.Candidate) bool {
	if placing.FitsMemory(query.Load, candidate) {
		return true
	}
	if query.OwnsHeadroom == nil {
		return false
	}
	candidate.Headroom = true
	return placing.FitsMemory(query.Load, candidate) && query.OwnsHeadroom(candidate.Name)
}

// Slots returns the number of slots that a server of a service states, zero if none does. Servers of a
// service are alike in most fleets.
func (f *Fleet) Slots(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for state := range f.groups[service].all() {
		if state.Slots > 0 {
			return state.Slots
		}
	}
	return 0
}
