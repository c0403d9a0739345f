// Waiting for room. Calls with prompts that find no runner with the time and the memory
// for them wait in the line of their service (package roomline).

package gateway

import (
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/roomline"
	"github.com/cometlock/cometlock/internal/waitline"
)

// line holds the calls to a service that wait for room.
type line = roomline.Line[*exchange, choice]

// line gives the line of a service.
func (g *Gateway) line(service string) *line {
	if found, ok := g.lines.Load(service); ok {
		return found.(*line)
	}
	found, _ := g.lines.LoadOrStore(service, roomline.New(roomline.Config[*exchange, choice]{Place: g.place, Freed: g.cfg.Fleet.Freed}))
	return found.(*line)
}

// continueWait is how long a stream that broke off waits for room elsewhere. Callers leave a stream
// that pauses for two seconds, and its next server has to read the prompt first.
const continueWait = time.Second

// limits says how urgent a call is and until when it may wait for room. A stream of which the
// caller has a part is not refused and sent again, but cut; so it waits also when the time in which
// a new call may wait is long over.
func (x *exchange) limits() waitline.Call {
	if x.answering {
		return waitline.Call{Urgency: x.urgency, Until: boottime.Now().Add(continueWait)}
	}
	return waitline.Call{Urgency: x.urgency, Until: x.arrived.Add(time.Duration(placing.WaitPart * float64(x.route.Objective)))}
}

// placeSoon places a call, and lets one with a prompt wait for its turn.
func (g *Gateway) placeSoon(x *exchange) (choice, bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	began := boottime.Now()
	defer func() { x.placeTime += boottime.Since(began) }()
	if !g.cfg.Fleet.HasServers(x.service.Name, g.allowedZones(x)) {
		return choice{}, false // waiting brings none
	}
	if x.facts.Prompt == nil || x.service.Engine == nil || !g.cfg.Off.On(mechanism.WaitingLine) {
		return g.place(x)
	}
	if chosen, ok, answered := g.placeByOwner(x); answered {
		return chosen, ok
	}
	return g.line(x.service.Name).Wait(x.ctx, x.limits(), x)
}
