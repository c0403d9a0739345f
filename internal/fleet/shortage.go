// Why a call finds no server. Too few servers, too much to read and too little memory call
// for different remedies, so a refusal says which of them it was. It is counted only when
// a call is refused, with the rules that Choose goes by.

package fleet

import (
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/placing"
)

// Shortage says why no server may take a call: how many servers its service has, how
// many of those are there for it, and how many of these lack the time to read its
// prompt soon enough, or the memory for it. InFlight and HeldTokens are the calls that are
// known to run at those that are there, and the memory that these take.
type Shortage struct {
	Listed, Usable, WithoutTime, WithoutMemory int
	InFlight, HeldTokens                       int
	// Evacuated are servers of evacuated zones, Spared cold ones that this box keeps calls from,
	// Limited those whose rate limit leaves no room for this box, and Paused those that want nothing
	// from it for a while.
	Evacuated, ColdExcluded, Limited, Paused int
}

// Shortage describes the servers that a call is not placed at.
func (f *Fleet) Shortage(query Query) Shortage {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := boottime.Now()
	sound := f.sound(query, now)
	query.Load.TokenCost = f.tokenCost()
	shortage := Shortage{Listed: len(f.byService[query.Service]), Usable: len(sound)}
	for _, state := range f.byService[query.Service] {
		switch {
		case f.evacuated.IsEvacuated(state.Zone):
			shortage.Evacuated++
		case f.isSpared(state, now):
			shortage.ColdExcluded++
		case !state.advised.HasRoom(now, f.position(state, now)):
			shortage.Limited++
		case state.advised.PausedFor(now) > 0:
			shortage.Paused++
		}
	}
	for _, state := range sound {
		candidate := f.describe(state, query, now)
		shortage.InFlight += candidate.InFlight
		shortage.HeldTokens += candidate.HeldTokens
		if !placing.HasPrefillTime(query.Load, &candidate) {
			shortage.WithoutTime++
		}
		if !placing.FitsMemory(query.Load, &candidate) {
			shortage.WithoutMemory++
		}
	}
	return shortage
}
