// Owner side: the owner chooses among its servers for the boxes that send requests, and queues
// calls until there is capacity.
//
// A granted call counts as work until the requesting box reports the call itself. A load report
// includes the call if it was sent long enough after the response; the echoes of package loadshare
// give a lower bound for the time at which a report was sent. If no such report arrives, because
// the box's load reaches this box only as part of a sum, the grant expires after grantTimeout.

package places

import (
	"context"
	"slices"
	"time"

	"github.com/cometlock/cometlock/internal/admission"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

const (
	// responseDelay is the longest time between the grant and the moment when the requesting box
	// counts the call.
	responseDelay = 30 * time.Millisecond
	// grantTimeout is how long a granted call counts if its box doesn't report to this one
	// directly. Its load then arrives through two hubs within 0.5 s.
	grantTimeout = 500 * time.Millisecond
	// maxWait bounds the wait of a call, regardless of the request.
	maxWait = time.Second
)

// grant is a granted place that still counts.
type grant struct {
	*fleet.Grant
	box string
	at  time.Time
}

// decide chooses a server for a call, which may wait for its turn, or refuses the call. The grant is nil
// if it was refused.
func (p *Placer) decide(ctx context.Context, request Request) (Response, *fleet.Grant) {
	queue := p.queue(request.Service)
	params := waitqueue.Params{
		Priority: request.Urgency, Deadline: boottime.Now().Add(min(request.MaxWait, maxWait)),
		Organisation: request.Organisation, Returning: queue.HasReturned(request.Fingerprint), Bound: request.isBound(), Brief: request.Brief,
	}
	if granted, ok := queue.Acquire(ctx, params, request); ok {
		return Response{Server: granted.Server()}, granted
	}
	if ctx.Err() != nil {
		return Response{}, nil
	}
	refusal := queue.Refuse(params, request.Fingerprint, request.MaxReturn)
	return Response{ReturnAfter: refusal.ReturnAfter, FullFor: refusal.FullFor, AboveShare: refusal.AboveShare}, nil
}

func (p *Placer) queue(service string) *queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.queues[service]
	if found == nil {
		found = admission.New(p.queueConfig(service))
		p.queues[service] = found
	}
	return found
}

func (p *Placer) queueConfig(service string) admission.Config[Request, *fleet.Grant] {
	cfg := admission.Config[Request, *fleet.Grant]{
		TryPlace: p.tryGrant, Demand: func(r Request) waitqueue.Demand { return r.Demand("") }, HasCapacity: p.hasCapacity, Freed: p.cfg.Fleet.CapacityChanged, Queued: p.cfg.Queued,
	}
	if p.cfg.Excess != nil {
		cfg.Excess = func(organisation string) float64 { return p.cfg.Excess(service, organisation) }
	}
	return cfg
}

// tryGrant chooses a server for a call without waiting.
func (p *Placer) tryGrant(request Request) (*fleet.Grant, bool) {
	p.releaseReportedIfDue()
	p.attempts.Add(1)
	granted := p.cfg.Fleet.Grant(request.query(p.ownsMemo()))
	if granted == nil {
		return nil, false
	}
	if p.cfg.Admitted != nil {
		p.cfg.Admitted(request)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.grantedAt = boottime.Now()
	p.openGrants = append(p.openGrants, grant{granted, request.Box, p.grantedAt})
	if !p.expiryScheduled {
		p.expiryScheduled = true
		time.AfterFunc(grantTimeout, p.expireGrants)
	}
	return granted, true
}

// hasCapacity reports whether a place could be granted to a request with another demand.
func (p *Placer) hasCapacity(request Request, demand waitqueue.Demand) bool {
	p.attempts.Add(1)
	query := request.withDemand(demand).query(p.ownsMemo())
	query.UncappedOnly = true // as for grants
	_, _, found := p.cfg.Fleet.Best(query)
	return found
}

// expireGrants releases the grants that no later request releases, and runs again until none is
// left.
func (p *Placer) expireGrants() {
	p.releaseReported()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expiryScheduled = len(p.openGrants) > 0; p.expiryScheduled {
		time.AfterFunc(boottime.Until(p.openGrants[0].at.Add(grantTimeout)), p.expireGrants)
	}
}

// releaseInterval is the least time between two passes over the open grants before attempts.
const releaseInterval = 4 * time.Millisecond

// releaseReportedIfDue is releaseReported at most once in releaseInterval. Each pass looks at all open
// grants, and there may be several hundred attempts a second.
func (p *Placer) releaseReportedIfDue() {
	p.mu.Lock()
	now := boottime.Now()
	due := now.Sub(p.releasedAt) >= releaseInterval
	if due {
		p.releasedAt = now
	}
	p.mu.Unlock()
	if due {
		p.releaseReported()
	}
}

// releaseReported releases the grants whose calls are reported by the requesting boxes themselves.
func (p *Placer) releaseReported() {
	for _, reported := range p.takeReported(boottime.Now()) {
		reported.Release()
	}
}

// takeReported removes and returns the grants that no longer count.
func (p *Placer) takeReported(now time.Time) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reported []grant
	p.openGrants = slices.DeleteFunc(p.openGrants, func(g grant) bool {
		over := now.Sub(g.at) >= grantTimeout || p.cfg.ReportedAt(g.box).After(g.at.Add(responseDelay))
		if over {
			reported = append(reported, g)
		}
		return over
	})
	return reported
}

// revoke releases a grant that the requesting box won't use.
func (p *Placer) revoke(unused *fleet.Grant) {
	p.mu.Lock()
	before := len(p.openGrants)
	p.openGrants = slices.DeleteFunc(p.openGrants, func(g grant) bool { return g.Grant == unused })
	open := len(p.openGrants) < before
	p.mu.Unlock()
	if open {
		unused.Release()
	}
}
