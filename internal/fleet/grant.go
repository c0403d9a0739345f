// Places for the calls of other boxes. Where one box owns the servers of a zone, it chooses for all
// boxes, so it counts each call as soon as it has placed it there. A grant counts as work until the
// other box reports the call itself.

package fleet

import (
	"github.com/cometlock/cometlock/internal/boottime"
)

// Grant is a place at a server for a call of another box. Release must be called exactly once.
type Grant struct {
	fleet *Fleet
	load  Load
}

// Server returns the server's incarnation.
func (g *Grant) Server() string { return g.load.Incarnation }

// Grant chooses a server for a call of another box, and counts the call there. It returns nil if no
// server may take it.
func (f *Fleet) Grant(query Query) *Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	query.UncappedOnly = true // this box counts only its own calls there
	state, candidate := f.pick(&query, boottime.Now(), false)
	if state == nil {
		return nil
	}
	load := Load{Incarnation: state.Incarnation, InFlight: 1, PendingTokens: candidate.PrefillTokens, HeldTokens: query.Load.Tokens}
	f.addWork(f.granted, load, 1)
	return &Grant{f, load}
}

// Release stops counting the call: its box reports it itself, or doesn't use the place.
func (g *Grant) Release() {
	defer g.fleet.capacityChanged.Broadcast()
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	g.fleet.addWork(g.fleet.granted, g.load, -1)
}

// HeldVersions returns the versions of a model's weights that servers of a service hold, so that a
// call can be described for each of them.
func (f *Fleet) HeldVersions(service, model string) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldVersions(service, model)
}
