// Waiting for room. Calls with prompts that find no runner with the time and the memory
// for them wait in the queue of their service (package admission).

package gateway

import (
	"time"

	"github.com/cometlock/cometlock/internal/admission"
	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/placing"
	"github.com/cometlock/cometlock/internal/waitqueue"
)

// queue holds the calls to a service that wait for room.
type queue = admission.Queue[*exchange, choice]

// queue gives the queue of a service.
func (g *Gateway) queue(service string) *queue {
	if found, ok := g.queues.Load(service); ok {
		return found.(*queue)
	}
	found, _ := g.queues.LoadOrStore(service, admission.New(admission.Config[*exchange, choice]{TryPlace: g.place, Freed: g.cfg.Fleet.Freed}))
	return found.(*queue)
}

// continueWait is how long a stream that broke off waits for room elsewhere. Callers leave a stream
// that pauses for two seconds, and its next server has to read the prompt first.
const continueWait = time.Second

// limits says how urgent a call is and until when it may wait for room. A stream of which the
// caller has a part is not refused and sent again, but cut; so it waits also when the time in which
// a new call may wait is long over.
func (x *exchange) limits() waitqueue.Params {
	if x.answering {
		return waitqueue.Params{Priority: x.urgency, Deadline: boottime.Now().Add(continueWait)}
	}
	return waitqueue.Params{Priority: x.urgency, Deadline: x.arrived.Add(time.Duration(placing.WaitPart * float64(x.route.Objective)))}
}

// canStartInTime reports whether a server may take the call before its wait for room is over. A stream
// of which the caller has a part is not refused and sent again, but cut, so it waits also for servers
// that may come back; not for those that say themselves that they take nothing until later.
func (g *Gateway) canStartInTime(x *exchange) bool {
	available := g.cfg.Fleet.Availability(x.service.Name, g.allowedZones(x))
	if !available.Servers {
		return x.answering
	}
	return available.Here && (available.Wait == 0 || !boottime.Now().Add(available.Wait).After(x.limits().Deadline))
}

// placeSoon places a call, and lets one with a prompt wait for its turn.
func (g *Gateway) placeSoon(x *exchange) (choice, bool) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	began := boottime.Now()
	defer func() { x.placeTime += boottime.Since(began) }()
	if !g.canStartInTime(x) {
		return choice{}, false
	}
	if x.facts.Prompt == nil || x.service.Engine == nil || !g.cfg.Off.On(mechanism.WaitingLine) {
		return g.place(x)
	}
	if chosen, ok, answered := g.placeByOwner(x); answered {
		return chosen, ok
	}
	return g.queue(x.service.Name).Acquire(x.ctx, x.limits(), x)
}
