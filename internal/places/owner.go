// The owner's part: it chooses among its servers for whoever asks, and lets calls wait for room.
//
// What it granted counts as work until the asker tells of the call itself. An asker's word that
// was said late enough after the answer holds it: a word's own time is known, as a moment after
// which it was said, by the echoes of package loadshare. Where no such word comes, from a box
// whose work reaches this one in a sum, the grant lapses after grantLapse.

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
	// takeTime is how long an answer may be on its way before the asker counts the call.
	takeTime = 30 * time.Millisecond
	// grantLapse is how long a call counts whose box is not heard first-hand: its work comes by
	// two hubs within 0.5 s.
	grantLapse = 500 * time.Millisecond
	// longestWait bounds the wait of a call, whatever the asker says.
	longestWait = time.Second
)

// grant is a place that was given.
type grant struct {
	*fleet.Grant
	box string
	at  time.Time
}

// Give chooses a server for a call, which may wait for its turn. It gives nil when there was no
// room.
func (p *Places) Give(ctx context.Context, q Question) *fleet.Grant {
	limits := waitqueue.Params{Priority: q.Urgency, Deadline: boottime.Now().Add(min(q.Wait, longestWait))}
	place, ok := p.queue(q.Service).Acquire(ctx, limits, q)
	if !ok {
		return nil
	}
	return place
}

// queue gives the queue of a service.
func (p *Places) queue(service string) *queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.queues[service]
	if found == nil {
		found = admission.New(admission.Config[Question, *fleet.Grant]{TryPlace: p.place, Freed: p.cfg.Fleet.Freed})
		p.queues[service] = found
	}
	return found
}

// place chooses a server for a call now.
func (p *Places) place(q Question) (*fleet.Grant, bool) {
	p.settle()
	given := p.cfg.Fleet.Grant(q.query(p.owns))
	if given == nil {
		return nil, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open = append(p.open, grant{given, q.Box, boottime.Now()})
	if !p.lapsing {
		p.lapsing = true
		time.AfterFunc(grantLapse, p.lapse)
	}
	return given, true
}

// lapse ends the grants that nobody's question ends, until none is open.
func (p *Places) lapse() {
	p.settle()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lapsing = len(p.open) > 0; p.lapsing {
		time.AfterFunc(boottime.Until(p.open[0].at.Add(grantLapse)), p.lapse)
	}
}

// settle ends the grants whose calls the askers tell of themselves.
func (p *Places) settle() {
	for _, told := range p.takeTold(boottime.Now()) {
		told.End()
	}
}

// takeTold takes the grants that no longer count out of those that are open.
func (p *Places) takeTold(now time.Time) []grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	var told []grant
	p.open = slices.DeleteFunc(p.open, func(g grant) bool {
		over := now.Sub(g.at) >= grantLapse || p.cfg.Said(g.box).After(g.at.Add(takeTime))
		if over {
			told = append(told, g)
		}
		return over
	})
	return told
}

// takeBack ends a grant whose asker will not use it.
func (p *Places) takeBack(unused *fleet.Grant) {
	p.mu.Lock()
	before := len(p.open)
	p.open = slices.DeleteFunc(p.open, func(g grant) bool { return g.Grant == unused })
	open := len(p.open) < before
	p.mu.Unlock()
	if open {
		unused.End()
	}
}
