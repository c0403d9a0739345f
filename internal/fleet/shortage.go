// Why no server is found for a call. Too few servers or slots, too much pending prefill and too
// little memory need different remedies, so a refusal reports which of them it was. It is determined only
// when a call is refused, with the same rules as in Choose.

package fleet

import (
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/placing"
)

// Shortage describes why no server may take a call: how many servers its service has, how many of
// these are usable for it, and how many usable ones lack a slot, the time for its prefill or the
// memory for it. In a large service only Listed counts all servers, the others those that the call was placed
// among. InFlight and HeldTokens are the known calls at the usable servers and the memory that they
// use.
type Shortage struct {
	Listed, Usable, WithoutSlot, WithoutTime, WithoutMemory int
	// WithoutShare counts the servers that would admit the call, but whose room other boxes may have
	// taken by calls that they haven't reported yet. It applies only if this box places the call
	// itself.
	WithoutShare         int
	InFlight, HeldTokens int
	// Evacuated counts the servers of evacuated zones, ColdExcluded cold servers that this box may
	// not call, Limited those whose rate limit leaves no capacity for this box, and Paused those
	// that requested a pause from this box.
	Evacuated, ColdExcluded, Limited, Paused int
	// Brittle counts the brittle servers at which this box has used up its share of the room, or
	// which get no calls after refusals.
	Brittle int
}

// Shortage returns why a call isn't placed at any server.
func (f *Fleet) Shortage(query Query) Shortage {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	_ = query.allowLate() // a call that may is refused only if no server has the capacity for a late answer
	usable := f.usableServers(&query, f.sample(&query, 0), now)
	f.addLearned(&query)
	f.addUnreported(&query, len(usable), now)
	shortage := Shortage{Listed: f.groups[query.Service].size(), Usable: len(usable)}
	for _, state := range f.sample(&query, 0) {
		switch {
		case f.evacuated.IsEvacuated(state.Zone):
			shortage.Evacuated++
		case f.isColdExcluded(state, now):
			shortage.ColdExcluded++
		case f.lacksRate(state, now):
			shortage.Limited++
		case state.stated().IsPaused(now):
			shortage.Paused++
		case f.lacksRoom(state, now):
			shortage.Brittle++
		}
	}
	for _, state := range usable {
		candidate := f.describe(state, &query, now)
		shortage.InFlight += candidate.InFlight
		shortage.HeldTokens += candidate.HeldTokens
		if !placing.HasSlot(query.Load, &candidate) {
			shortage.WithoutSlot++
		}
		if !placing.HasPrefillTime(query.Load, &candidate) {
			shortage.WithoutTime++
		}
		if !f.fitsMemory(&query, &candidate) {
			shortage.WithoutMemory++
		}
		if f.admits(&query, &candidate) && !f.leavesRoom(&query, state, &candidate, now) {
			shortage.WithoutShare++
		}
	}
	return shortage
}
