// Serving calls that other boxes forward to this one (forward.go). They are served like those of callers,
// except that they are not forwarded again and do not add to the retry budget, to which the other box has
// counted them.

package gateway

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// minForwarded and forwardedPerOwn bound the forwarded calls in flight: to a number that every box
	// can serve, or to a multiple of the calls of its own callers, which must not suffer from them.
	minForwarded    = 64
	forwardedPerOwn = 3
)

// ServeForwarded serves a call that another box forwards. It must be reachable for other boxes only.
func (g *Gateway) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	x.forwarded = true
	forwarded := g.forwarded.Add(1)
	defer g.forwarded.Add(-1)
	g.serveExchange(x, forwarded > max(minForwarded, forwardedPerOwn*(g.inFlight.Load()-forwarded)))
}

// readForwardState reads the state of a forwarded call, and removes the headers that hold it.
func (x *exchange) readForwardState() {
	header := x.request.Header
	defer withoutForwardHeaders(header)
	if !x.forwarded {
		return
	}
	if remaining, err := strconv.ParseInt(header.Get(headerForwardRemaining), 10, 64); err == nil && remaining > 0 {
		x.info.MaxWait = time.Duration(remaining) * time.Millisecond
	}
	if servers, err := strconv.Atoi(header.Get(headerForwardServers)); err == nil {
		x.serversAllowed = max(servers, 1)
	}
	if resume := header.Get(headerForwardResume); resume != "" {
		x.info.ResumeAfter = resume
	}
	x.software, x.forwardService = readForwardSoftware(header), header.Get(headerForwardService)
	x.shareOnly = header.Get(headerForwardShare) != ""
}

// setForwardResult states to the other box how a call ended that has no server's response.
func (x *exchange) setForwardResult(reason string, retryAfter time.Duration) {
	if !x.forwarded {
		return
	}
	header := x.writer.Header()
	header.Set(headerForwardOutcome, string(x.outcome))
	header.Set(headerForwardReason, reason)
	header.Set(headerForwardRetry, strconv.FormatInt(retryAfter.Milliseconds(), 10))
	x.setForwardReached()
}

// setForwardReached states to the other box how many servers the call was sent to.
func (x *exchange) setForwardReached() {
	if x.forwarded {
		x.writer.Header().Set(headerForwardReached, strconv.Itoa(x.serversReached))
	}
}

// refuseForwarded refuses a forwarded call that this box cannot serve, before it reads the body.
func (g *Gateway) refuseForwarded(x *exchange, overLimit bool) (refused bool) {
	switch {
	case !x.forwarded:
		return false
	case overLimit:
		g.refuse(x, reasonForwardLimit, retryAfterBusy)
		return true
	case !g.reaches(x):
		g.refuse(x, reasonUnreachable, retryAfterNoServers)
		return true
	default:
		return false
	}
}
