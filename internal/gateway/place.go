// Placement of calls, and the plan for fetching and saving the parts of a prompt. The plan depends
// on the version of weights that serves the call, so there is one for each version that a candidate
// server holds.

package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/namespace"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/placing"
)

// placement is the server chosen for a call and the plan for its prompt.
type placement struct {
	hold hold
	plan partindex.Plan
	// namespace is that of the plan; empty without a prompt.
	namespace string
	// isReturn is set if the call returns to a server that it was sent to before.
	isReturn bool
	// serverListAge is the age of the server list at placement.
	serverListAge time.Duration
}

// minConnections is the least number of connections that a box may have to a server, however many
// boxes share the server's limit.
const minConnections = 4

// spreadMultiplier turns consecutive call numbers into well spread hashes (Fibonacci hashing).
const spreadMultiplier = 0x9e3779b97f4a7c15

// tieBreaker returns the tie-breaker of a call. Every box numbers its calls from one, so the box is
// part of it: otherwise calls of the same number at all boxes would go to the same server.
func (g *Gateway) tieBreaker(number uint64) uint64 { return number*spreadMultiplier ^ g.tieSeed }

// place chooses a server for a call and reserves a place there.
func (g *Gateway) place(x *exchange) (placement, bool) {
	query, plans := g.fleetQuery(x)
	hold := g.cfg.Fleet.Choose(query)
	if hold == nil {
		return placement{}, false
	}
	if plans != nil {
		g.noteAdmitted(x)
	}
	return g.recordPlacement(x, hold, plans), true
}

// noteAdmitted records that this box itself has placed a call with a prompt.
func (g *Gateway) noteAdmitted(x *exchange) {
	if g.cfg.Admitted != nil {
		g.cfg.Admitted(x.shareCall())
	}
}

// recordPlacement records the placement of a call and the plan for its prompt.
func (g *Gateway) recordPlacement(x *exchange, hold *fleet.Hold, plans *promptPlans) placement {
	chosen := placement{}
	if plans != nil {
		chosen = plans.forVersion(hold.Weights())
	}
	chosen.hold = hold
	if g.cfg.ServerListAge != nil {
		chosen.serverListAge = g.cfg.ServerListAge()
	}
	if plans == nil {
		return chosen
	}
	chosen.plan = chosen.plan.AfterWait(boottime.Since(plans.madeAt))
	g.cfg.Parts.NoteDispatched(chosen.namespace, x.info.Prompt.Parts, chosen.plan)
	return chosen
}

// shortage returns why no server could take a call.
func (g *Gateway) shortage(x *exchange) fleet.Shortage {
	query, _ := g.fleetQuery(x)
	return g.cfg.Fleet.Shortage(query)
}

// fleetQuery describes a call to the fleet. The plans are those of its prompt; nil when it has
// none, or when its service does not process prompts.
func (g *Gateway) fleetQuery(x *exchange) (fleet.Query, *promptPlans) {
	query := g.serversQuery(x)
	if query.Model == "" {
		return query, nil
	}
	plans := g.addPromptQuery(x, &query)
	return query, plans
}

// serversQuery describes which servers may take a call, regardless of its prompt's work.
func (g *Gateway) serversQuery(x *exchange) fleet.Query {
	query := g.anyVersionQuery(x)
	query.Software = g.requiredSoftware(x, query)
	return query
}

// anyVersionQuery is serversQuery regardless of the software version.
func (g *Gateway) anyVersionQuery(x *exchange) fleet.Query {
	query := fleet.Query{
		Service: x.service.Name, Zone: g.cfg.Zone, Exclude: x.attempted, ZoneAllowed: g.allowedZones(x),
		Load: placing.Query{TieBreaker: g.tieBreaker(x.number)},
		// Divided by one more than the number of known boxes, since a box may have just started.
		ConnectionLimit: max(x.service.ConnectionLimit/(g.cfg.BoxCount()+1), minConnections),
	}
	if x.info.Prompt != nil && x.service.Engine != nil {
		query.Model = x.info.Prompt.Model
		query.VersionCost = func(weights int) (float64, bool) { return g.outdatedCost(query.Model, weights, x.route.Objective) }
	}
	return query
}

// addPromptQuery adds the requirements of the call's prompt to a query, and returns the plans that
// the query's functions use.
func (g *Gateway) addPromptQuery(x *exchange, query *fleet.Query) *promptPlans {
	model := x.info.Prompt.Model
	plans := &promptPlans{gateway: g, x: x, newestVersion: g.newestVersion(model), byVersion: map[int]placement{}, madeAt: boottime.Now(), tokenTime: g.cfg.Fleet.TokenTime()}
	query.PrefillWork = func(weights int) int { return plans.forVersion(weights).plan.Missing }
	query.Fetch = func(weights int) (string, time.Duration) {
		plan := plans.forVersion(weights).plan
		return plan.FetchZone, plan.FetchTime
	}
	if g.cfg.LoadReportAge != nil {
		query.Lag, query.OtherZoneLag, query.Boxes = g.cfg.LoadReportAge(true), g.cfg.LoadReportAge(false), g.cfg.BoxCount()
		query.BoxSeed = g.tieSeed
	}
	load := &query.Load
	load.PrefillLimit, load.LateLimit = prefillLimits(x)
	load.Tokens = x.info.Prompt.Tokens + x.info.Prompt.AnswerTokens
	query.AnswerTokens = x.info.Prompt.AnswerTokens
	// A stream that must continue at its version uses what other calls leave free, since new streams, which
	// any version may serve, would otherwise fill a version with few servers.
	bound := g.isBoundToVersion(x)
	load.Bound = bound
	load.Brief = bound || g.cfg.Fleet.IsBrief(x.service.Name, query.AnswerTokens)
	long := load.Tokens >= placing.MinAffinityTokens
	if long || g.cfg.Mechanisms.Enabled(mechanism.Slots) {
		load.Memory = x.service.Engine.CapacityTokens
	}
	switch {
	case bound:
		query.OwnsHeadroom = func(string) bool { return true }
	case long && g.cfg.Mechanisms.Enabled(mechanism.Headroom):
		query.OwnsHeadroom = g.cfg.OwnsHeadroom
	}
	if g.cfg.Mechanisms.Enabled(mechanism.Homes) {
		load.AffinityKey = plans.homeHash()
	}
	return plans
}

// prefillLimits returns the maximum queueing delay for prefill, in milliseconds, at a server where the call is placed.
// A call that can still meet its objective is placed at a server where it does. If a delay at this box or a failed
// attempt has left too little time for any server, late is the limit for a server with a free slot: a late answer is
// better than a refusal, after which the caller would be served later still. late is zero if it does not apply.
func prefillLimits(x *exchange) (limit, late float64) {
	limit = placing.PrefillFraction * float64(x.route.Objective) / float64(time.Millisecond)
	left := float64(boottime.Until(x.arrived.Add(x.route.Objective))) / float64(time.Millisecond)
	if left > 0 && left < limit {
		return left, limit
	}
	return limit, 0
}

// promptPlans holds the plans of one prompt, by version of weights.
type promptPlans struct {
	gateway *Gateway
	x       *exchange
	// newestVersion is the version that should serve calls; only cache entries computed by it, or
	// by a later one, are worth saving.
	newestVersion int
	byVersion     map[int]placement
	// madeAt is when this was created, which is before any of the plans was made.
	madeAt time.Time
	// tokenTime is the prefill time of a token. It is taken here, since the fleet holds its lock while
	// it asks for plans.
	tokenTime time.Duration
}

// forVersion returns the plan for a version and caches it.
func (p *promptPlans) forVersion(weights int) placement {
	if planned, ok := p.byVersion[weights]; ok {
		return planned
	}
	prompt := p.x.info.Prompt
	name := namespace.Name{Model: prompt.Model, Weights: weights, Isolated: p.x.isolationName()}.String()
	planned := placement{namespace: name}
	query := partindex.Query{
		Namespace: name, Parts: prompt.Parts, PromptTokens: prompt.Tokens, BytesPerToken: p.x.service.Engine.BytesPerToken,
		Save:     weights >= p.newestVersion,
		SaveIn:   p.gateway.allowedZones(p.x),
		MayFetch: func(id string) bool { return p.gateway.cfg.Retire.MayFetch(prompt.Model, weights, id) },
	}
	if objective := p.x.route.Objective; objective > 0 {
		query.TokenTime, query.Left = p.tokenTime, boottime.Until(p.x.arrived.Add(objective))
	}
	planned.plan = p.gateway.cfg.Parts.Plan(query)
	p.byVersion[weights] = planned
	return planned
}

// homeHash returns a hash of the first large prompt part that cannot be fetched, so that calls
// which share the part go to the same runner. It returns 0 if there is none.
func (p *promptPlans) homeHash() uint64 {
	if p.x.info.Prompt == nil {
		return 0
	}
	for i, part := range p.x.info.Prompt.Parts[:max(len(p.x.info.Prompt.Parts)-1, 0)] {
		if part.Tokens >= placing.MinAffinityTokens && p.forVersion(p.newestVersion).plan.Fetch[i] == "" {
			return xxhash.Sum64String(part.ID) | 1
		}
	}
	return 0
}

func (x *exchange) isolationName() string {
	if x.organisation != nil && x.organisation.Isolated {
		return x.organisation.Name
	}
	return ""
}

// forwardInfo returns the metadata that the chosen server gets with the call.
func (x *exchange) forwardInfo(chosen placement, timeout time.Duration) call.ForwardInfo {
	server := chosen.hold.Server()
	data := call.ForwardInfo{Server: server.TargetName(), Remaining: timeout, ResumeAfter: x.resumeAfter}
	if x.organisation != nil {
		data.Organisation = x.organisation.Name
	}
	if chosen.namespace == "" {
		return data
	}
	data.Model = &call.ModelForwardInfo{
		WeightVersion: chosen.hold.Weights(), Namespace: chosen.namespace, Urgency: x.priority, Rank: x.rank,
		Fetch: chosen.plan.Fetch, Save: chosen.plan.Save, FetchDeadline: chosen.plan.Until,
	}
	return data
}
