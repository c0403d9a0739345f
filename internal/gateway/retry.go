// Deciding how a call continues after an attempt without a response. A call that was not sent, or
// did not run, may go to another server. A call that may have run may do so only if its route
// allows it to run twice. A call whose caller has disconnected or whose deadline has passed is
// never retried.

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
)

// handleNoResponse handles an attempt that got no response headers.
func (a *attempt) handleNoResponse(err error) nextStep {
	x := a.x
	if errors.Is(err, errPlacementExpired) {
		return a.handleExpiredPlacement()
	}
	if errors.Is(err, handover.ErrNotSent) {
		if a.callerLeft() {
			return a.endCallerLeft()
		}
		if x.isQuarantined() {
			return a.handleQuarantined()
		}
		if x.outlastsStop() {
			return a.handleStopping()
		}
		a.uncountServer()
		a.noteUnreached()
		a.noteSlowServer(err)
		a.gateway.returnRetry(x)
		a.recordUnreachable(err)
		return a.nextServer()
	}
	x.mayHaveRun = true
	if a.peer() != nil {
		a.countReached(nil)
	}
	if errors.Is(err, handover.ErrNoMemory) {
		return a.handleLost(reasonMemory, fleet.OutcomeAbandoned)
	}
	a.watch.noteConnError(err)
	return a.handleLost("no_answer", fleet.OutcomeUnreachable)
}

// handleExpiredPlacement handles an attempt whose placement has expired.
func (a *attempt) handleExpiredPlacement() nextStep {
	if a.callerLeft() {
		return a.endCallerLeft()
	}
	a.uncountServer()
	a.gateway.returnRetry(a.x)
	a.release(fleet.OutcomeAbandoned)
	a.log("not_handed_over", errPlacementExpired.Error())
	return a.nextServer()
}

// uncountServer records that the server has not received the call by this attempt, so that another one
// may be tried. The server of a return has received it before.
func (a *attempt) uncountServer() {
	if !a.chosen.isReturn {
		a.x.serversReached--
	}
}

// recordUnreachable records that the server could not be reached.
func (a *attempt) recordUnreachable(err error) {
	a.release(fleet.OutcomeUnreachable)
	a.gateway.cfg.Pool.CloseIdle(a.chosen.hold.Server().Address)
	a.log("not_handed_over", err.Error())
}

// reasonServerRejected is the reason for rejecting a call that a server has rejected as invalid.
const reasonServerRejected = "server_rejected"

// reasonOutOfTime is the logged reason of a call whose deadline passed before its response was
// complete.
const reasonOutOfTime = "out_of_time"

// handleLost handles an attempt that was lost after the call may have run.
func (a *attempt) handleLost(reason string, end fleet.Outcome) nextStep {
	if a.callerLeft() {
		return a.endCallerLeft()
	}
	if a.x.isQuarantined() {
		return a.handleQuarantined()
	}
	if a.x.outlastsStop() {
		return a.handleStopping()
	}
	outOfTime := !boottime.Now().Before(a.x.deadline)
	if outOfTime {
		end = fleet.OutcomeFailed // the response is late, which may be due to load
		reason = reasonOutOfTime
	}
	a.release(end)
	a.x.lossClosedBy = a.closedBy()
	a.log("try_lost", reason)
	if !outOfTime && a.watch.switchToHedge() {
		return stepSwitched
	}
	repeatedCrash := a.isRepeatedCrash(end)
	if a.x.route.IsRepeatable() && !outOfTime && !repeatedCrash {
		return a.nextServer()
	}
	a.gateway.endCall(a.x, reason, 0)
	return stepDone
}

// handleRefusal handles a response which reports that the server did not run the call.
func (a *attempt) handleRefusal(response *handover.Response, info call.ResponseInfo) nextStep {
	a.recordRefusal(response, info)
	if a.watch.switchToHedge() {
		return stepSwitched
	}
	if response.Status == http.StatusBadRequest && !a.x.responseStarted && (a.peer() == nil || readForwardResult(response.Header).reason == reasonServerRejected) {
		a.gateway.reject(a.x, http.StatusBadRequest, reasonServerRejected)
		return stepDone
	}
	return a.nextServer()
}

// recordRefusal records that the server did not run the call, and what the refusal shows about the
// server.
func (a *attempt) recordRefusal(response *handover.Response, info call.ResponseInfo) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedUnstated)) // so that the connection can be reused
	if a.peer() != nil {
		a.recordForwardRefusal(response)
		return
	}
	server := a.chosen.hold.Server()
	replaced := info.Server != "" && info.Server != server.TargetName()
	switch {
	case response.Status == http.StatusMisdirectedRequest && replaced:
		a.release(fleet.OutcomeReplaced)
	case response.Status == http.StatusMisdirectedRequest:
		a.release(fleet.OutcomeMoved)
	case response.Status == http.StatusServiceUnavailable:
		a.release(fleet.OutcomeFull)
	default:
		a.release(fleet.OutcomeBusy)
	}
	a.log("server_refused", strconv.Itoa(response.Status))
	if replaced {
		a.gateway.cfg.Logger.Info().Str("server", server.Incarnation).Str("address", server.Address).Str("found", info.Server).Msg("address_reused")
	}
}

// release frees the call's place at its server. Unless the server served the call, it will hardly
// have saved the parts that the call's plan assigned to it, so another server may save them.
func (a *attempt) release(end fleet.Outcome) {
	a.chosen.hold.Done(end)
	if end != fleet.OutcomeServed && a.chosen.namespace != "" {
		a.gateway.cfg.Parts.DropSaves(a.chosen.namespace, a.x.info.Prompt.Parts, a.chosen.plan)
	}
}

// callerLeft reports whether the caller has disconnected.
func (a *attempt) callerLeft() bool { return a.x.request.Context().Err() != nil }

// handleQuarantined ends a call whose request was quarantined while the call was in flight.
func (a *attempt) handleQuarantined() nextStep {
	a.release(fleet.OutcomeAbandoned)
	a.log("try_stopped", reasonCrashesServers)
	a.gateway.endQuarantined(a.x)
	return stepDone
}

// endCallerLeft ends a call whose caller has disconnected.
func (a *attempt) endCallerLeft() nextStep {
	a.release(fleet.OutcomeAbandoned)
	a.gateway.endGone(a.x, "caller_left")
	return stepDone
}

func (a *attempt) log(event, reason string) {
	server := a.chosen.hold.Server()
	a.gateway.metrics.attemptFailed(event)
	a.gateway.cfg.Logger.Info().Str("request", a.x.info.RequestID).Str("server", server.Incarnation).Str("service", server.Service).Str("software", server.Software).
		Int("try", a.number).Str("reason", reason).Bool("silent", a.watch.hasSwitched()).Stringer("fingerprint", a.x.fingerprint).
		Strs("shared_parts", loggedParts(a.x.info.Prompt)).Str("ended_by", string(a.closedBy())).Str("fault", handover.Fault(a.watch.connError())).Dur("left", boottime.Until(a.x.deadline)).Int("servers_seen", a.serversReached).
		Float64("retries_saved", a.retryBudget().State().Balance).Msg(event)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// loggedParts returns the IDs of the first parts of a prompt that other prompts may share.
func loggedParts(prompt *call.Prompt) []string {
	if prompt == nil {
		return nil
	}
	shared := prompt.SharedParts()
	ids := make([]string, min(len(shared), maxLoggedParts))
	for i := range ids {
		ids[i] = shared[i].ID
	}
	return ids
}

// side is an end of a connection to a server.
type side string

// Sides of a connection.
const (
	sideBox    side = "box"
	sideServer side = "server"
	// sideNetwork: neither side has closed it; the server's machine did not acknowledge anything for
	// so long that the kernel of the box gave up.
	sideNetwork side = "network"
)

// closedBy returns the side that ended the attempt. The box closes a connection only by cancelling
// the attempt's context: for an unresponsive server, at the deadline, or because the caller has
// disconnected.
func (a *attempt) closedBy() side {
	if a.ctx.Err() != nil {
		return sideBox
	}
	if handover.TimedOut(a.watch.connError()) {
		return sideNetwork
	}
	return sideServer
}
