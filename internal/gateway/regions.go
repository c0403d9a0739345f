// Region restrictions: a route or an organisation may list the regions that its calls may run in,
// and then none of their data goes to any other region. Where both have a list, a region must be in
// both.

package gateway

import (
	"slices"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Reasons for refusing a call that no server may take.
const (
	// reasonNoRegion: there are servers, but none in a region that the call may run in.
	reasonNoRegion = "no_server_in_allowed_regions"
	// reasonEvacuated: all servers are in evacuated zones.
	reasonEvacuated = "zones_evacuated"
	// reasonNoVersion: no server has the software version that began the call's stream.
	reasonNoVersion = "no_server_of_version"
	// reasonLimited: all servers have requested a pause from this box, or have announced rate limits that
	// it has used up.
	reasonLimited = "servers_rate_limited"
	// reasonBrittle: some servers are brittle and have no room for a call of this box, and no other takes
	// the call.
	reasonBrittle = "servers_brittle"
)

// allowedZones returns a predicate for the zones that a call may run in; nil where all are allowed.
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

// unplacedReason returns the reason why no server took a call.
func (g *Gateway) unplacedReason(x *exchange, shortage fleet.Shortage) string {
	switch {
	case shortage.Listed > 0 && shortage.Limited+shortage.Paused == shortage.Listed:
		return reasonLimited
	case shortage.Brittle > 0 && shortage.Limited+shortage.Paused+shortage.Brittle == shortage.Listed:
		return reasonBrittle
	case x.software != nil && !g.availability(x).Listed:
		return reasonNoVersion
	case shortage.Listed == 0 || g.availability(x).HasServers:
		return reasonNoServer
	case shortage.Evacuated == shortage.Listed:
		return reasonEvacuated
	case g.allowedZones(x) != nil:
		return reasonNoRegion
	default:
		return reasonNoServer
	}
}
