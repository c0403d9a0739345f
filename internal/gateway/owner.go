// Places by owners: the box that owns a zone's runners says where a long prompt goes, and a short
// one when runners are busy (package places). The zone is the one that this box would choose by itself, and where
// there is no room, its own, at whose owner the call then waits for its turn.

package gateway

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/placing"
)

// errNotTaken says that this box knows of its own that the server which an owner gave may not
// take the call.
var errNotTaken = merry.Sentinel("the server that the owner gave may not take the call")

// errOtherRegion says that the call may not run in this box's region.
var errOtherRegion = merry.Sentinel("the call may not run in the region of this box")

// Who placed a call, in the log.
const (
	placedHere    = "this_box"
	placedByOwner = "owner"
)

// mostZones bounds the zones whose owners are asked before the call waits at its own: each costs
// some milliseconds.
const mostZones = 3

// placeByOwner asks owners for a place. Without an answer of any, or for a call that needs none,
// this box is to choose by itself.
func (g *Gateway) placeByOwner(x *exchange) (chosen choice, ok, answered bool) {
	x.placedBy, x.unplaced = placedHere, ""
	if g.cfg.Places == nil || !g.cfg.Places.Active() {
		return choice{}, false, false
	}
	query, plans := g.ask(x)
	if plans == nil {
		return choice{}, false, false
	}
	here, zone := g.cfg.Fleet.ChooseUnless(query, func(best *placing.Candidate, unseen float64) bool {
		return placing.AsksOwner(x.facts.Prompt.Tokens, best, unseen)
	})
	if here != nil {
		return g.placed(x, here, plans), true, true
	}
	asked := places.Ask(query, g.cfg.BoxName, g.cfg.Fleet.Versions(query.Service, query.Model))
	asked.Urgency = x.urgency
	hold, err := g.askZones(x, zone, query, asked)
	if err != nil {
		return choice{}, false, false
	}
	x.placedBy = placedByOwner
	if hold == nil {
		return choice{}, false, true
	}
	return g.placed(x, hold, plans), true, true
}

// askZones asks the owners of the zones that look best to this box, beginning with one, empty
// for none, and then that of its own zone, where the call waits. Without a hold there was no
// room.
func (g *Gateway) askZones(x *exchange, zone string, query fleet.Query, asked places.Question) (*fleet.Hold, error) {
	var before []string
	rest := query
	rest.In = func(zone string) bool { return !slices.Contains(before, zone) && g.mayRunIn(x, zone) }
	for len(before) < mostZones && zone != "" {
		if hold, err := g.askZone(x, zone, query, asked); hold != nil && err == nil {
			return hold, nil
		}
		before = append(before, zone)
		_, zone, _ = g.cfg.Fleet.Best(rest)
	}
	if !g.mayRunIn(x, g.cfg.Zone) {
		return nil, errOtherRegion // it waits at this box
	}
	asked.Wait = max(boottime.Until(x.limits().Deadline), 0)
	return g.askZone(x, g.cfg.Zone, query, asked)
}

// askZone asks the owner of a zone's servers, and counts the call where that one says.
func (g *Gateway) askZone(x *exchange, zone string, query fleet.Query, asked places.Question) (*fleet.Hold, error) {
	server, err := g.cfg.Places.Ask(x.ctx, zone, asked)
	if err != nil {
		x.unplaced = err.Error()
		return nil, err
	}
	if server == "" {
		return nil, nil
	}
	hold := g.cfg.Fleet.Take(query, server)
	if hold == nil {
		x.unplaced = errNotTaken.Error()
		return nil, errNotTaken
	}
	return hold, nil
}
