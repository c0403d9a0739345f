// What another box states about a forwarded call: the headers between boxes, and what they mean for the call,
// the path and the count of servers.

package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/peerpath"
)

// Headers between boxes. They are valid only at the port for forwarded calls.
const (
	forwardHeaderPrefix = "Cometlock-Forward-"
	// headerForwardRemaining is the time left for the call, in milliseconds, headerForwardServers the
	// number of servers that it may still be sent to, and headerForwardResume the id of the last event
	// that the caller has.
	headerForwardRemaining = forwardHeaderPrefix + "Remaining"
	headerForwardServers   = forwardHeaderPrefix + "Servers"
	headerForwardResume    = forwardHeaderPrefix + "Resume"
	// headerForwardService is the service that the first box has chosen, of those that the route names.
	headerForwardService = forwardHeaderPrefix + "Service"
	// headerForwardSoftware is the software version that must serve the call, and in the response the one
	// that does; without it any may.
	headerForwardSoftware = forwardHeaderPrefix + "Software"
	// headerForwardShare is set for a call that the first box could serve itself if it had a share left, so
	// that another box without one refuses it at once.
	headerForwardShare = forwardHeaderPrefix + "Share"
	// headerForwardOutcome is the outcome of a call that ended without a server's response, and
	// headerForwardReason the reason. headerForwardReached is the number of servers that the call was
	// sent to.
	headerForwardOutcome = forwardHeaderPrefix + "Outcome"
	headerForwardReason  = forwardHeaderPrefix + "Reason"
	headerForwardReached = forwardHeaderPrefix + "Reached"
	// headerForwardRetry is the time after which a refused call should be sent again, in milliseconds.
	headerForwardRetry = forwardHeaderPrefix + "Retry"
)

// pathRefusal is why the calls of this box are refused where it does not reach the service.
type pathRefusal struct {
	reason     string
	retryAfter time.Duration
}

// forwardResult is what another box states about a forwarded call.
type forwardResult struct {
	// outcome is empty if the response is that of a server.
	outcome outcome
	reason  string
	// stated is false for a response that states no number of servers, which is not that of a box.
	stated     bool
	reached    int
	retryAfter time.Duration
}

// readForwardResult reads the headers of another box's response.
func readForwardResult(header http.Header) forwardResult {
	number := func(name string) int {
		n, err := strconv.Atoi(header.Get(name))
		if err != nil {
			return 0
		}
		return max(n, 0)
	}
	return forwardResult{
		outcome: outcome(header.Get(headerForwardOutcome)), reason: header.Get(headerForwardReason),
		stated: header.Get(headerForwardReached) != "", reached: number(headerForwardReached), retryAfter: time.Duration(number(headerForwardRetry)) * time.Millisecond,
	}
}

// responseInfo returns the metadata of a response. What another box has decided itself is not genuine, and
// means that the call was not run if the box says so. A response without the headers of a box, from whatever
// listens at its address, shows nothing.
func (a *attempt) responseInfo(response *handover.Response) call.ResponseInfo {
	info := a.gateway.cfg.Protocol.ReadResponse(response.Status, response.Header)
	if a.peer() == nil {
		return info
	}
	switch result := readForwardResult(response.Header); {
	case result.stated && result.outcome == "":
		info.NotRun = false // a server's refusal ends at the other box
	case result.stated && (result.outcome == outcomeRefused || result.outcome == outcomeRejected):
		info.NotRun, info.Genuine, info.Advisory = true, false, advisory.Advisory{}
	default:
		info.NotRun, info.Genuine, info.Advisory = false, false, advisory.Advisory{}
	}
	return info
}

// pathOutcome returns what a refusal by another box shows about the path.
func (r forwardResult) pathOutcome() peerpath.Outcome {
	switch r.reason {
	case reasonUnreachable:
		return peerpath.Unreachable
	case reasonForwardLimit:
		return peerpath.Limited
	case reasonNoShare:
		return peerpath.NoShare
	case reasonStopping:
		return peerpath.Failed
	default:
		return peerpath.Served
	}
}

// isFinal reports whether a refusal ends the search for another box: the fleet has no capacity for the call,
// which other boxes would find too. A rejection is not final, since the other box may have another version
// of the configuration.
func (r forwardResult) isFinal() bool {
	return r.pathOutcome() == peerpath.Served && r.outcome != outcomeRejected
}

// recordForwardRefusal records what the refusal of another box shows about the path. It also runs on the
// timer of another attempt, and changes nothing of the call.
func (a *attempt) recordForwardRefusal(response *handover.Response) {
	result := readForwardResult(response.Header)
	a.peer().ended = result.pathOutcome()
	a.release(fleet.OutcomeBusy)
	a.log("forward_refused", result.reason)
}

// applyForwardRefusal applies the refusal of another box to the call. A retry that no server got returns to
// the budget.
func (a *attempt) applyForwardRefusal(response *handover.Response) {
	if a.statedServers(response) == 0 {
		a.gateway.returnRetry(a.x)
	}
	a.x.applyForwardResult(readForwardResult(response.Header))
}

// applyForwardResult ends the search for another box if a refusal is final.
func (x *exchange) applyForwardResult(result forwardResult) {
	if result.isFinal() {
		x.pathsTried, x.pathRefusal = maxPathsTried, pathRefusal{reason: result.reason, retryAfter: result.retryAfter}
	}
}

// countReached counts the servers that a forwarded call was sent to, in place of the box itself. Where the
// box has not stated them, all that were left count.
func (a *attempt) countReached(response *handover.Response) {
	x := a.x
	x.serversReached--
	if response == nil {
		x.serversReached = x.maxServers()
		return
	}
	x.serversReached = min(x.serversReached+a.statedServers(response), x.maxServers())
}

// statedServers returns the number of servers that a forwarded call was sent to: all that the other box was
// allowed if it states none.
func (a *attempt) statedServers(response *handover.Response) int {
	if result := readForwardResult(response.Header); result.stated {
		return min(result.reached, a.serversAllowed())
	}
	return a.serversAllowed()
}

// withoutForwardHeaders removes the headers between boxes.
func withoutForwardHeaders(header http.Header) http.Header {
	for name := range header {
		if strings.HasPrefix(name, forwardHeaderPrefix) {
			delete(header, name)
		}
	}
	return header
}
