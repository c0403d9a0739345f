// Waiting for capacity. Calls with prompts that find no runner with enough time and memory wait in the
// queue of their service (package admission). So do all calls to a service with brittle servers, where
// a box may have few calls at a time: if it refused each call that finds them in use, its share of the
// servers' room would be idle until the next call comes.

package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/admission"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fairshare"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/places"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

// queue holds the calls to a service that wait for capacity.
type queue = admission.Queue[*exchange, placement]

func (g *Gateway) queue(service string) *queue {
	if found, ok := g.queues.Load(service); ok {
		return found.(*queue)
	}
	found, _ := g.queues.LoadOrStore(service, admission.New(g.queueConfig(service)))
	return found.(*queue)
}

func (g *Gateway) queueConfig(service string) admission.Config[*exchange, placement] {
	cfg := admission.Config[*exchange, placement]{TryPlace: g.place, Demand: g.demand, Freed: g.cfg.Fleet.CapacityChanged}
	if g.cfg.Excess != nil {
		cfg.Excess = func(organisation string) float64 { return g.cfg.Excess(service, organisation) }
	}
	if g.cfg.Queued != nil {
		cfg.Queued = func(x *exchange) {
			if x.info.Prompt != nil {
				g.cfg.Queued(x.shareCall())
			}
		}
	}
	return cfg
}

// shareCall describes a call with a prompt for the ledger of fair shares.
func (x *exchange) shareCall() fairshare.Call {
	return fairshare.Call{
		Service: x.service.Name, Organisation: x.callerName(), Tokens: x.info.Prompt.Tokens + x.info.Prompt.AnswerTokens, Memory: x.service.Engine.CapacityTokens,
	}
}

// demand returns what a call requires of a server.
func (g *Gateway) demand(x *exchange) waitqueue.Demand {
	query, plans := g.fleetQuery(x)
	var versions []int
	if plans != nil {
		versions = g.cfg.Fleet.HeldVersions(query.Service, query.Model)
	}
	request := places.NewRequest(query, g.cfg.BoxName, versions)
	request.Software = query.Software
	return request.Demand(x.serversKey())
}

// serversKey returns a text that is the same for calls that may run in the same regions.
func (x *exchange) serversKey() string {
	regions := slices.Concat(x.route.Regions, []string{""})
	if x.organisation != nil {
		regions = append(regions, x.organisation.Regions...)
	}
	return strings.Join(regions, ",")
}

// resumeWait is how long a broken stream waits for capacity at another server. Callers cancel a stream
// that pauses for two seconds, and the next server has to process the prompt first.
const resumeWait = time.Second

// waitParams returns the priority of a call and the deadline of its wait for capacity. A stream that
// the caller has a part of cannot be refused and sent again; it would be cut. So it also waits when
// the time in which a new call may wait is long over. A stream that the caller resumes and that must
// continue at its version waits as long: its caller has a part too, and few servers can take it.
func (g *Gateway) waitParams(x *exchange) waitqueue.Params {
	params := waitqueue.Params{Priority: x.rank, Organisation: x.callerName(), Bound: g.isBoundToVersion(x)}
	if x.responseStarted {
		params.Deadline = boottime.Now().Add(resumeWait)
		return params
	}
	wait := time.Duration(placing.WaitFraction * float64(x.route.Objective))
	if params.Bound {
		wait = max(wait, resumeWait)
	}
	params.Deadline = x.arrived.Add(wait)
	return params
}

// canStartInTime reports whether a server may take the call before its wait for capacity ends. A stream
// that the caller has a part of would be cut rather than refused, so it also waits for servers of
// evacuated zones, but not for servers that have announced that they take no calls until later, or for a
// software version that no server has.
func (g *Gateway) canStartInTime(x *exchange) bool {
	available := g.availability(x)
	if !available.HasServers {
		return x.responseStarted && available.Listed
	}
	return available.ForThisBox && (available.Wait == 0 || !boottime.Now().Add(available.Wait).After(g.waitParams(x).Deadline))
}

// availability returns when the servers that may serve a call accept calls.
func (g *Gateway) availability(x *exchange) fleet.Availability {
	return g.cfg.Fleet.AvailabilityFor(g.serversQuery(x))
}

// placeOrWait places a call; one with a prompt or to a brittle service waits in the queue if there is no
// capacity.
func (g *Gateway) placeOrWait(x *exchange) (placement, bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	x.returnAfter, x.aboveShare = 0, false
	began := boottime.Now()
	defer func() { x.placeTime += boottime.Since(began) }()
	if !g.canStartInTime(x) {
		return placement{}, false
	}
	if !g.cfg.Mechanisms.Enabled(mechanism.WaitingLine) {
		return g.place(x)
	}
	if x.info.Prompt == nil || x.service.Engine == nil {
		if g.cfg.Fleet.IsBrittle(x.service.Name) {
			return g.placeInQueue(x)
		}
		return g.place(x)
	}
	if chosen, ok, decided := g.placeByOwner(x); decided {
		return chosen, ok
	}
	return g.placeInQueue(x)
}

// placeInQueue places a call through this box's own queue.
func (g *Gateway) placeInQueue(x *exchange) (placement, bool) {
	queue, params := g.queue(x.service.Name), g.waitParams(x)
	params.Returning = queue.HasReturned(x.returnKey())
	if x.info.Prompt != nil {
		params.Brief = g.cfg.Fleet.IsBrief(x.service.Name, x.info.Prompt.AnswerTokens)
	}
	chosen, ok := queue.Acquire(x.ctx, params, x)
	if !ok && x.ctx.Err() == nil {
		refusal := queue.Refuse(params, x.returnKey(), x.maxReturn())
		x.returnAfter, x.aboveShare = refusal.ReturnAfter, refusal.AboveShare
	}
	return chosen, ok
}
