// Connecting again to a server that accepted no connection in time. A full accept queue, or a lack of CPU at
// either side, lasts a moment only. If no other server may take the call, it is sent there again before it is
// refused. The server has not received the call, so this is neither a further server nor a retry. A server that
// refuses connections is not tried again, nor is one of a service that this box does not reach.

package gateway

import "github.com/cometlock/cometlock/internal/handover"

// maxReconnects is how often a call is sent again to servers that accepted no connection in time. Together the
// connections take well below a second, so that a call is refused soon if the server's machine is lost. Each
// is as short as the first one: a new connection is noticed at once by a server that has room for it again,
// one that waits only when the kernel retransmits.
const maxReconnects = 3

// noteSlowServer records whether the attempt's server accepted no connection in time.
func (a *attempt) noteSlowServer(err error) {
	if a.peer() == nil && a.x.reconnects < maxReconnects && handover.ConnectTimedOut(err) {
		a.x.slowServer = a.chosen.hold.Server().Incarnation
	}
}

// placeReconnect places the call again at the server that accepted no connection in time, if no other one may
// take it.
func (g *Gateway) placeReconnect(x *exchange) (placement, bool) {
	if x.slowServer == "" || g.shortage(x).Usable > 0 {
		return placement{}, false
	}
	server := x.slowServer
	x.slowServer = ""
	x.reconnects++
	return g.placeAgain(x, server)
}
