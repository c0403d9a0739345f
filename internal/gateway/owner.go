// Placement by owners: one box owns the runners of a zone and places long prompts there, and short
// ones while runners are busy (package places). This box requests a place from the owner of the
// zone that it would choose itself. Where there is no capacity, it sends the request to the owner
// of its own zone, which queues the call, or to that of a zone with runners of the call's software version.

package gateway

import (
	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/placing"
)

// errOwnerChoiceRejected is the error where this box has local information that the server chosen
// by an owner must not get the call.
var errOwnerChoiceRejected = merry.Sentinel("the call must not be sent to the server that the owner chose")

// errOtherRegion is the error where the call must not run in this box's region.
var errOtherRegion = merry.Sentinel("the call may not run in the region of this box")

// Values of placed_by in the log.
const (
	placedByThisBox = "this_box"
	placedByOwner   = "owner"
)

// maxOwnersAsked bounds the zones whose owners get a request before the call waits at the owner of its
// own zone: each request takes some milliseconds.
const maxOwnersAsked = 3

// placeByOwner requests a place from owners. It returns decided=false if this box must place the call
// itself: no owner responded, or the call needs none.
func (g *Gateway) placeByOwner(x *exchange) (chosen placement, ok, decided bool) {
	x.placedBy, x.ownerError = placedByThisBox, ""
	if g.cfg.Places == nil || !g.cfg.Places.Active() {
		return placement{}, false, false
	}
	query, plans := g.fleetQuery(x)
	if plans == nil {
		return placement{}, false, false
	}
	here, zone := g.cfg.Fleet.ChooseUnless(query, func(best *placing.Candidate, unseen float64) bool {
		return placing.ShouldAskOwner(x.info.Prompt.Tokens, best, unseen)
	})
	if here != nil {
		g.noteAdmitted(x)
		return g.recordPlacement(x, here, plans), true, true
	}
	ownerQuery := places.NewRequest(query, g.cfg.BoxName, g.cfg.Fleet.HeldVersions(query.Service, query.Model))
	ownerQuery.Urgency, ownerQuery.Organisation, ownerQuery.Objective = x.rank, x.callerName(), x.route.Objective
	if g.isBoundToVersion(x) || x.software == nil { // a stream's version is no requirement if its service has no other
		ownerQuery.Software, ownerQuery.Preferred = query.Software, query.Software != nil && x.software == nil
	}
	hold, err := g.askOwners(x, zone, query, ownerQuery)
	if err != nil {
		return placement{}, false, false
	}
	x.placedBy = placedByOwner
	if hold == nil {
		return placement{}, false, true
	}
	return g.recordPlacement(x, hold, plans), true, true
}

// askOwners requests a place from the owners of the zones that this box ranks best, starting with
// the given one if it is not empty, and then the owner of the zone where the call waits. Owners
// that recently had no capacity for such calls are skipped. A nil hold means that there was no
// capacity.
func (g *Gateway) askOwners(x *exchange, zone string, query fleet.Query, ownerQuery places.Request) (*fleet.Hold, error) {
	skipped := map[string]bool{}
	isSkipped := func(zone string) bool {
		skip, known := skipped[zone]
		if !known {
			skip = !g.mayRunIn(x, zone) || g.isFull(zone, ownerQuery)
			skipped[zone] = skip
		}
		return skip
	}
	otherZones := query
	otherZones.ZoneAllowed = func(zone string) bool { return !isSkipped(zone) }
	if zone != "" && isSkipped(zone) {
		_, zone, _ = g.cfg.Fleet.Best(otherZones)
	}
	for asked := 0; asked < maxOwnersAsked && zone != ""; asked++ {
		if hold, err := g.askOwner(x, zone, query, ownerQuery); hold != nil && err == nil {
			return hold, nil
		}
		skipped[zone] = true
		_, zone, _ = g.cfg.Fleet.Best(otherZones)
	}
	waitZone := g.cfg.Zone
	if ownerQuery.Software != nil {
		waitZone = g.cfg.Fleet.ZoneWithServers(query)
	}
	if !g.mayRunIn(x, waitZone) {
		return nil, errOtherRegion // the call waits at this box
	}
	ownerQuery.MaxWait = max(boottime.Until(g.waitParams(x).Deadline), 0)
	ownerQuery.Fingerprint, ownerQuery.MaxReturn = x.returnKey(), x.maxReturn()
	return g.askOwner(x, waitZone, query, ownerQuery)
}

// isFull reports whether the owner of a zone recently had no capacity for such calls.
func (g *Gateway) isFull(zone string, ownerQuery places.Request) bool {
	full := g.cfg.Places.IsFull(zone, ownerQuery)
	if full {
		g.metrics.scope.Counter("full_zones_skipped").Inc(1)
	}
	return full
}

// askOwner requests a place from the owner of a zone and reserves the server that it returns.
func (g *Gateway) askOwner(x *exchange, zone string, query fleet.Query, ownerQuery places.Request) (*fleet.Hold, error) {
	response, err := g.cfg.Places.RequestDecision(x.ctx, zone, ownerQuery)
	if err != nil {
		x.ownerError = err.Error()
		return nil, err
	}
	if response.Server == "" {
		x.returnAfter, x.aboveShare = response.ReturnAfter, response.AboveShare
		return nil, nil
	}
	hold := g.cfg.Fleet.PlaceAt(query, response.Server)
	if hold == nil {
		x.ownerError = errOwnerChoiceRejected.Error()
		return nil, errOwnerChoiceRejected
	}
	return hold, nil
}
