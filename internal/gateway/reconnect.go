// Reconnecting to a server that accepted no connection in time. Its accept queue may be full, or either side may lack
// CPU time, both usually for less than a second. If no other server may take the call, the box connects to the same one
// again before it refuses the call. The server has not received the call, so this counts neither as a further server nor
// as a retry. A server that refuses connections is not tried again, nor is one of a service that this box does not
// reach.

package gateway

import "github.com/cometlock/cometlock/internal/handover"

// maxReconnects bounds the reconnections of a call. Together they take well below a second, so that a call is refused
// soon if the server's machine is lost. Several short attempts find a server that has room again sooner than a long
// one: it accepts a new connection at once, but a pending one only when the kernel retransmits its SYN.
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
