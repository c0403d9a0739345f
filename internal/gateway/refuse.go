// Error responses of the box itself. Each states whether the call may have run: only a call that
// certainly did not run is refused with a time to retry after.

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/connlimit"
)

// Times after which refused callers should retry. Refusals are sent at once; the time is an
// estimate of when there may be capacity.
const (
	// retryAfterStartup is about the time that a box needs to read the configuration.
	retryAfterStartup = 300 * time.Millisecond
	// retryAfterBusy is the least time for which a full or loading runner stays so.
	retryAfterBusy = 80 * time.Millisecond
	// retryAfterNoServers is for services none of whose servers can be reached.
	retryAfterNoServers = 400 * time.Millisecond
)

// errorBody is the body of an error response of the box itself.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse ends a call that has not run and will not run. It returns false, which stages return in
// turn.
func (g *Gateway) refuse(x *exchange, reason string, retryAfter time.Duration) bool {
	x.outcome = outcomeRefused
	g.cfg.Protocol.WriteFailure(x.writer.Header(), call.FailureInfo{RetryAfter: retryAfter})
	x.setForwardResult(reason, retryAfter)
	return g.writeError(x, http.StatusServiceUnavailable, reason, "the request was not run; it may be sent again")
}

// reject ends a call that is itself invalid.
func (g *Gateway) reject(x *exchange, status int, reason string) bool {
	x.outcome = outcomeRejected
	g.cfg.Protocol.WriteFailure(x.writer.Header(), call.FailureInfo{})
	x.setForwardResult(reason, 0)
	return g.writeError(x, status, reason, "the request cannot be served as it is")
}

// endWithoutResponse ends a call that got no response: as refused when it certainly did not run, as
// unknown otherwise.
func (g *Gateway) endWithoutResponse(x *exchange, reason string, retryAfter time.Duration) {
	if !x.mayHaveRun {
		g.refuse(x, reason, retryAfter)
		return
	}
	x.outcome = outcomeUnknown
	g.cfg.Protocol.WriteFailure(x.writer.Header(), call.FailureInfo{MayHaveRun: true})
	x.setForwardResult(reason, 0)
	status := http.StatusBadGateway
	if !boottime.Now().Before(x.deadline) {
		status = http.StatusGatewayTimeout
	}
	g.writeError(x, status, reason, "the request may have run; no answer came back")
}

// endGone ends a call whose caller has disconnected, as far as the box can tell: the caller may have closed
// only its own direction. So it gets an error, or its response is aborted. If the handler just returned,
// Go's HTTP server would send an empty 200, or end a stream as if it were complete.
func (g *Gateway) endGone(x *exchange, reason string) {
	if x.responseStarted {
		x.outcome, x.reason = outcomeGone, reason
		connlimit.Abort(x.request)
	}
	g.endWithoutResponse(x, reason, retryAfterBusy)
	x.outcome = outcomeGone
}

// abortResponse ends a response of which the caller has a part: it closes the connection, so that
// the part cannot be taken for a complete response.
func (g *Gateway) abortResponse(x *exchange, reason string) {
	x.outcome, x.reason = outcomeBroken, reason
	connlimit.Abort(x.request)
}

// limitUnreadBody bounds the time for which the server reads a body that the box has not read, which it
// does before it sends the response: the call is refused at its deadline at the latest. A body that
// arrives in time is read to its end, so that its sender gets the refusal and not a reset.
func (x *exchange) limitUnreadBody() {
	if x.request.ContentLength == 0 || !x.bodyReadAt.IsZero() {
		return
	}
	deadline := x.deadline
	if deadline.IsZero() { // a call without a route
		deadline = x.arrived.Add(defaultTimeout)
		if x.info.MaxWait > 0 {
			deadline = x.arrived.Add(min(defaultTimeout, x.info.MaxWait))
		}
	}
	// The response writers of tests support no deadlines.
	_ = http.NewResponseController(x.writer).SetReadDeadline(time.Now().Add(boottime.Until(deadline)))
}

func (g *Gateway) writeError(x *exchange, status int, reason, message string) bool {
	x.status, x.reason = status, reason
	x.limitUnreadBody()
	body, err := json.Marshal(errorBody{errorDetail{reason, message}})
	if err != nil {
		g.cfg.Logger.Error().Str("error", err.Error()).Msg("refusal_not_encoded")
	}
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body) // a caller that disconnected needs no response
	return false
}
