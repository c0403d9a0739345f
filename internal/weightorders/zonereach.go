// Which zones' runners this box reaches, and when it leaves the lease to a box that reaches more.
//
// A holder in a zone that is cut off from the others, while it still reaches the log, would renew the
// lease as long as it has runners of its own zone to order, and spend the loading slots on runners that
// it does not reach. So a box that does not reach more than half of the runners, all of which are to
// load, releases the lease. If no other box takes it, this one goes on with what it reaches.
//
// A box that is about to take the lease polls runners of each zone first. Otherwise it would list
// runners that it does not reach in its record, and the next holder would have to wait for the gap with
// them.

package weightorders

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
)

const (
	// zoneFailures is the number of a zone's runners that fail to respond, with none that responds in
	// between, for the zone to be unreachable.
	zoneFailures = 3
	// zoneProbeInterval is the time between two polls that find out whether the runners of an unreachable
	// zone respond again.
	zoneProbeInterval = 500 * time.Millisecond
	// zoneProbes is the number of runners that are polled then.
	zoneProbes = 2
	// verifiedFor is how long a response shows that a box that takes the lease reaches a zone.
	verifiedFor = 2 * time.Second
	// yieldTime is how long such a box leaves the lease to others: twice the time after which they take
	// one that is not renewed.
	yieldTime = 2400 * time.Millisecond
)

// errUnreachable reports that this box does not reach the runners of a zone.
var errUnreachable = merry.Sentinel("runners of the zone do not respond to this box")

// zoneReach records whether the runners of a zone respond.
type zoneReach struct {
	// failed holds the runners that have not responded since one has.
	failed map[string]bool
	// nextProbe is when a zone that may be unreachable is polled next, and respondedAt when a runner last
	// responded.
	nextProbe, respondedAt time.Time
}

// unreachable reports whether no runner of the zone responds.
func (z *zoneReach) unreachable() bool { return len(z.failed) >= zoneFailures }

// note records whether a runner responded.
func (z *zoneReach) note(runner string, responded bool, now time.Time) {
	if responded {
		*z = zoneReach{respondedAt: now}
		return
	}
	if z.failed == nil {
		z.failed = map[string]bool{}
	}
	z.failed[runner] = true
}

// verified reports whether a runner of the zone has responded recently.
func (z *zoneReach) verified(now time.Time) bool {
	return !z.respondedAt.IsZero() && now.Sub(z.respondedAt) <= verifiedFor
}

// probeDue reports whether the zone is to be polled now, once in each interval.
func (z *zoneReach) probeDue(now time.Time) bool {
	if now.Before(z.nextProbe) {
		return false
	}
	z.nextProbe = now.Add(zoneProbeInterval)
	return true
}

// zone returns what is known of a zone. The caller holds mu.
func (c *Controller) zone(name string) *zoneReach {
	zone := c.zones[name]
	if zone == nil {
		zone = &zoneReach{}
		c.zones[name] = zone
	}
	return zone
}

// noteReach records the result of a poll.
func (c *Controller) noteReach(server fleet.Server, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	zone := c.zone(server.Zone)
	before := zone.unreachable()
	zone.note(server.Incarnation, err == nil || errors.Is(err, ErrOtherIncarnation), boottime.Now())
	if zone.unreachable() != before {
		c.cfg.Logger.Info().Str("zone", server.Zone).Bool("unreachable", !before).Msg("zone_runners_reach_changed")
	}
}

// reaches reports whether this box reaches a runner, as far as it knows.
func (c *Controller) reaches(server fleet.Server) bool {
	if c.cfg.Reaches != nil && !c.cfg.Reaches(server.Service) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.zone(server.Zone).unreachable()
}

// reachable returns the servers that this box reaches, and polls some of the others. A box that reached
// none would renew the lease all the same, and keep runners out of service for orders that do not arrive.
// A box that does not hold the lease yet reaches only zones from which it has had a response.
func (c *Controller) reachable(ctx context.Context, behind []fleet.BehindServer, holds bool) []fleet.BehindServer {
	now := boottime.Now()
	others := map[string][]fleet.Server{}
	reached := slices.DeleteFunc(behind, func(server fleet.BehindServer) bool {
		if c.reaches(server.Server) && (holds || c.verified(server.Zone, now)) {
			return false
		}
		others[server.Zone] = append(others[server.Zone], server.Server)
		return true
	})
	for zone, servers := range others {
		c.probeZone(ctx, zone, servers, now)
	}
	return reached
}

func (c *Controller) verified(zone string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zone(zone).verified(now)
}

// probeZone polls some runners of a zone at random, if that is due.
func (c *Controller) probeZone(ctx context.Context, zone string, servers []fleet.Server, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.zone(zone).probeDue(now) {
		return
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	for _, server := range servers[:min(zoneProbes, len(servers))] {
		c.orders.Go(func() { _, _ = c.poll(ctx, server) }) // the result is recorded by poll
	}
}

// mayHold reports whether this box may hold the lease if it reaches so many of the runners that are to
// load and not the others, out of so many runners.
func (c *Controller) mayHold(reached, unreached, runners int) bool {
	if reached == 0 {
		return false
	}
	if 2*unreached <= runners {
		c.minoritySince = time.Time{}
		return true
	}
	if c.minoritySince.IsZero() {
		c.minoritySince = boottime.Now()
	}
	return boottime.Since(c.minoritySince) >= yieldTime && (c.cfg.Lease.Held() || c.cfg.Lease.Quiet() >= yieldTime)
}
