// Places for the calls of other boxes. Where one box owns the servers of a zone, it chooses for
// all of them, so it knows at once of each call that it has sent there. What it granted counts
// as work until the other box tells of it itself.

package fleet

import (
	"slices"

	"github.com/cometlock/cometlock/internal/boottime"
)

// Grant is a place at a server for a call of another box. Each must end with one call of End.
type Grant struct {
	fleet *Fleet
	load  Load
}

// Server names the server.
func (g *Grant) Server() string { return g.load.Incarnation }

// Grant chooses a server for a call of another box, and counts the call there. It gives nil
// when no server may take it.
func (f *Fleet) Grant(query Query) *Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	query.UncappedOnly = true // this box counts only its own calls there
	state, candidate, query := f.pick(query, boottime.Now())
	if state == nil {
		return nil
	}
	load := Load{Incarnation: state.Incarnation, InFlight: 1, PendingTokens: candidate.WorkTokens, HeldTokens: query.Load.Tokens}
	addWork(f.granted, load, 1)
	return &Grant{f, load}
}

// End has the call count no longer: its box tells of it itself, or does not use the place.
func (g *Grant) End() {
	defer g.fleet.freed.Broadcast()
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	addWork(g.fleet.granted, g.load, -1)
}

// Versions lists the versions of a model's weights that servers of a service hold, so that a
// call can be described for each of them.
func (f *Fleet) Versions(service, model string) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []int
	for _, state := range f.byService[service] {
		if held := state.weights(model); held > 0 && !slices.Contains(versions, held) {
			versions = append(versions, held)
		}
	}
	return versions
}
