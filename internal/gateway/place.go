// Where a call goes, and which parts of its prompt are fetched and saved there. The
// plan depends on the version of weights that answers, so it is made for each version
// that a candidate holds.

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

// choice is where a call goes, and with what plan for its prompt.
type choice struct {
	hold *fleet.Hold
	plan partindex.Plan
	// namespace is that of the plan; empty without a prompt.
	namespace string
	// serversAge is how old the knowledge of the servers was.
	serversAge time.Duration
}

// leastConnections is how many connections a box may have to a server, however many boxes
// share those that it takes.
const leastConnections = 4

// homeSeed makes homes of parts; it is the same in all boxes.
const homeSeed = 0x9e3779b97f4a7c15

// place chooses a server for a call, and counts it there.
func (g *Gateway) place(x *exchange) (choice, bool) {
	query, plans := g.ask(x)
	hold := g.cfg.Fleet.Choose(query)
	if hold == nil {
		return choice{}, false
	}
	return g.placed(x, hold, plans), true
}

// placed notes where a call goes, and with what plan.
func (g *Gateway) placed(x *exchange, hold *fleet.Hold, plans *plans) choice {
	chosen := choice{}
	if plans != nil {
		chosen = plans.at(hold.Weights())
	}
	chosen.hold = hold
	if g.cfg.ServersAge != nil {
		chosen.serversAge = g.cfg.ServersAge()
	}
	if plans == nil {
		return chosen
	}
	g.cfg.Parts.NoteDispatched(chosen.namespace, x.facts.Prompt.Parts, chosen.plan)
	return chosen
}

// shortage says why a call found no server.
func (g *Gateway) shortage(x *exchange) fleet.Shortage {
	query, _ := g.ask(x)
	return g.cfg.Fleet.Shortage(query)
}

// ask describes a call to the fleet. The plans are those of its prompt; nil when it has
// none, or goes to a service that reads none.
func (g *Gateway) ask(x *exchange) (fleet.Query, *plans) {
	query := fleet.Query{
		Service: x.service.Name, Zone: g.cfg.Zone, Exclude: x.tried, In: g.allowedZones(x),
		Load: placing.Query{Spread: x.number * homeSeed},
		// Shared with one box more than is known, which may have just started.
		ConnectionLimit: max(x.service.ConnectionLimit/(g.cfg.Boxes()+1), leastConnections),
	}
	if x.facts.Prompt == nil || x.service.Engine == nil {
		return query, nil
	}
	plans := g.askForPrompt(x, &query)
	return query, plans
}

// askForPrompt adds to a question what the call's prompt asks of a runner, and gives the
// plans that its answers come from.
func (g *Gateway) askForPrompt(x *exchange, query *fleet.Query) *plans {
	model := x.facts.Prompt.Model
	plans := &plans{gateway: g, x: x, newest: g.newest(model), made: map[int]choice{}}
	query.Model = model
	query.Outdated = func(weights int) (float64, bool) { return g.outdated(model, weights, x.route.Objective) }
	query.Work = func(weights int) int { return plans.at(weights).plan.Missing }
	query.Fetch = func(weights int) (string, time.Duration) {
		plan := plans.at(weights).plan
		return plan.FetchZone, plan.FetchTime
	}
	if g.cfg.Lag != nil {
		query.Lag, query.LagElsewhere, query.Boxes = g.cfg.Lag(true), g.cfg.Lag(false), g.cfg.Boxes()
	}
	load := &query.Load
	load.ReadLimit = readLimit(x)
	load.Tokens = x.facts.Prompt.Tokens + x.facts.Prompt.AnswerTokens
	if load.Tokens >= placing.HomePart {
		load.Memory = x.service.Engine.CapacityTokens
		if g.cfg.Off.On(mechanism.Headroom) {
			query.Headroom = g.cfg.Headroom
		}
	}
	if g.cfg.Off.On(mechanism.Homes) {
		load.Home = plans.home()
	}
	return plans
}

// readLimit bounds the milliseconds for which prompts wait to be read where a call is
// placed: a call that can still be in time does not go where it would be late.
func readLimit(x *exchange) float64 {
	limit := time.Duration(placing.ReadPart * float64(x.route.Objective))
	if left := boottime.Until(x.arrived.Add(x.route.Objective)); left > 0 {
		limit = min(limit, left)
	}
	return float64(limit) / float64(time.Millisecond)
}

// plans holds the plans of one prompt for each weight version asked for.
type plans struct {
	gateway *Gateway
	x       *exchange
	// newest is the version that should answer; what it makes is worth saving.
	newest int
	made   map[int]choice
}

// at gives the plan under a version, which is made when it is first asked for.
func (p *plans) at(weights int) choice {
	if made, ok := p.made[weights]; ok {
		return made
	}
	prompt := p.x.facts.Prompt
	name := namespace.Name{Model: prompt.Model, Weights: weights, Isolated: p.x.isolatedName()}.String()
	made := choice{namespace: name}
	made.plan = p.gateway.cfg.Parts.Plan(partindex.Query{
		Namespace: name, Parts: prompt.Parts, PromptTokens: prompt.Tokens, BytesPerToken: p.x.service.Engine.BytesPerToken,
		Save:     weights >= p.newest,
		SaveIn:   p.gateway.allowedZones(p.x),
		MayFetch: func(id string) bool { return p.gateway.cfg.Retire.MayFetch(prompt.Model, weights, id) },
	})
	p.made[weights] = made
	return made
}

// home gives the number by which calls that share an unknown part meet, or zero.
func (p *plans) home() uint64 {
	if p.x.facts.Prompt == nil {
		return 0
	}
	for i, part := range p.x.facts.Prompt.Parts[:max(len(p.x.facts.Prompt.Parts)-1, 0)] {
		if part.Tokens >= placing.HomePart && p.at(p.newest).plan.Fetch[i] == "" {
			return xxhash.Sum64String(part.ID) | 1
		}
	}
	return 0
}

func (x *exchange) isolatedName() string {
	if x.organisation != nil && x.organisation.Isolated {
		return x.organisation.Name
	}
	return ""
}

// handover writes down what the chosen server is told.
func (x *exchange) handover(chosen choice, remaining time.Duration) call.Handover {
	server := chosen.hold.Server()
	out := call.Handover{Server: server.CalledBy(), Remaining: remaining, ResumeAfter: x.resumeAfter}
	if x.organisation != nil {
		out.Organisation = x.organisation.Name
	}
	if chosen.namespace == "" {
		return out
	}
	out.Model = &call.ModelHandover{
		Weights: chosen.hold.Weights(), Namespace: chosen.namespace, Urgency: x.urgency,
		Fetch: chosen.plan.Fetch, Save: chosen.plan.Save, FetchUntil: chosen.plan.Until,
	}
	return out
}
