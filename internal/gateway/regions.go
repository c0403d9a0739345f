// Regions: a route or an organisation may name the regions that its calls may run in, and where it
// does, nothing of them goes anywhere else. Where both name some, a region must be among both.

package gateway

import (
	"slices"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Reasons of refusals for what no server may take.
const (
	// reasonNoRegion: servers are there, but in no region that the call may run in.
	reasonNoRegion = "no_server_in_allowed_regions"
	// reasonEvacuated: all servers are in evacuated zones.
	reasonEvacuated = "zones_evacuated"
	// reasonLimited: all servers want a pause from this box, or name rate limits that leave it no room.
	reasonLimited = "servers_rate_limited"
)

// allowedZones gives which zones a call may run in; nil where all are allowed.
func (g *Gateway) allowedZones(x *exchange) func(zone string) bool {
	var named [][]string
	if len(x.route.Regions) > 0 {
		named = append(named, x.route.Regions)
	}
	if x.organisation != nil && len(x.organisation.Regions) > 0 {
		named = append(named, x.organisation.Regions)
	}
	if len(named) == 0 {
		return nil
	}
	return func(zone string) bool {
		region := g.cfg.Regions[zone]
		return region != "" && !slices.ContainsFunc(named, func(regions []string) bool { return !slices.Contains(regions, region) })
	}
}

// mayRunIn reports whether a call may run in a zone.
func (g *Gateway) mayRunIn(x *exchange, zone string) bool {
	allowed := g.allowedZones(x)
	return allowed == nil || allowed(zone)
}

// unplacedReason says why a call was placed nowhere.
func (g *Gateway) unplacedReason(x *exchange, short fleet.Shortage) string {
	switch {
	case short.Listed > 0 && short.Limited+short.Paused == short.Listed:
		return reasonLimited
	case short.Listed == 0 || g.cfg.Fleet.Availability(x.service.Name, g.allowedZones(x)).HasServers:
		return reasonNoServer
	case short.Evacuated == short.Listed:
		return reasonEvacuated
	case g.allowedZones(x) != nil:
		return reasonNoRegion
	default:
		return reasonNoServer
	}
}
