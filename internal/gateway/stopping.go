// Calls that outlast the stop of their box. Their connections are closed with the process, so they end just before
// that: those that were not sent to a server are refused, and others get an error.

package gateway

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/fleet"
)

// reasonStopping is the reason for ending a call that outlasts the stop of its box.
const reasonStopping = "box_stopping"

// errStopping cancels the calls in flight of a box that stops.
var errStopping = merry.Sentinel("the box stops")

// CancelAll ends all calls in flight.
func (g *Gateway) CancelAll() {
	g.active.mu.Lock()
	defer g.active.mu.Unlock()
	for _, calls := range g.active.byRequest {
		for x := range calls {
			x.cancel(errStopping)
		}
	}
}

// outlastsStop reports whether the call was cancelled because its box stops.
func (x *exchange) outlastsStop() bool { return errors.Is(context.Cause(x.ctx), errStopping) }

// handleStopping ends a call at its server, whose failure the cancelled connection does not show.
func (a *attempt) handleStopping() nextStep {
	a.release(fleet.OutcomeAbandoned)
	a.log("try_stopped", reasonStopping)
	a.gateway.endCall(a.x, reasonStopping, retryAfterBusy)
	return stepDone
}
