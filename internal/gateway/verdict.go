// What becomes of a call after a try that brought no answer. A call that was not handed
// over, or did not run, may go to another server; one that may have run only if its
// route lets it run twice, and none whose caller has left or whose time is over.

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

// noAnswer judges a try that brought nothing.
func (t *try) noAnswer(err error) next {
	x := t.x
	if errors.Is(err, errPlaceExpired) {
		return t.expired()
	}
	if errors.Is(err, handover.ErrNotHanded) {
		if t.callerGone() {
			return t.left()
		}
		if x.isStopped() {
			return t.stopped()
		}
		t.x.handed-- // no server has seen it, so another one may
		t.gateway.returnRetry(x)
		t.noteUnreached(err)
		return nextServer
	}
	x.mayHaveRun = true
	return t.lost("no_answer", fleet.EndUnreachable)
}

// expired judges a try whose place has expired.
func (t *try) expired() next {
	if t.callerGone() {
		return t.left()
	}
	t.x.handed--
	t.gateway.returnRetry(t.x)
	t.finish(fleet.EndAbandoned)
	t.log("not_handed_over", errPlaceExpired.Error())
	return nextServer
}

// noteUnreached notes that the server could not be reached.
func (t *try) noteUnreached(err error) {
	t.finish(fleet.EndUnreachable)
	t.gateway.cfg.Pool.Forget(t.chosen.hold.Server().Address)
	t.log("not_handed_over", err.Error())
}

// reasonOutOfTime stands in logs for a call whose caller's patience, or its route's
// timeout, ended before its answer.
const reasonOutOfTime = "out_of_time"

// lost judges a try after which the call may have run.
func (t *try) lost(reason string, end fleet.End) next {
	if t.callerGone() {
		return t.left()
	}
	if t.x.isStopped() {
		return t.stopped()
	}
	outOfTime := !boottime.Now().Before(t.x.deadline)
	if outOfTime {
		end = fleet.EndFailed // late, and that may be the load's fault
		reason = reasonOutOfTime
	}
	t.finish(end)
	t.x.lostBy = t.endedBy()
	t.log("try_lost", reason)
	if !outOfTime && t.watch.takeOver() {
		return nextTaken
	}
	endsServers := t.judgeEnd(end)
	if t.x.route.MayRepeat() && !outOfTime && !endsServers {
		return nextServer
	}
	t.gateway.end(t.x, reason, 0)
	return nextEnd
}

// refused judges a server's word that it did not run the call.
func (t *try) refused(answer *handover.Answer, marks call.Marks) next {
	t.noteRefusal(answer, marks)
	if t.watch.takeOver() {
		return nextTaken
	}
	if answer.Status == http.StatusBadRequest && !t.x.answering {
		t.gateway.reject(t.x, http.StatusBadRequest, "server_rejected")
		return nextEnd
	}
	return nextServer
}

// noteRefusal notes that the server did not run the call, and what that shows of it.
func (t *try) noteRefusal(answer *handover.Answer, marks call.Marks) {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxAnswerBytes)) // so that the connection can be kept
	server := t.chosen.hold.Server()
	replaced := marks.Server != "" && marks.Server != server.CalledBy()
	switch {
	case answer.Status == http.StatusMisdirectedRequest && replaced:
		t.finish(fleet.EndReplaced)
	case answer.Status == http.StatusMisdirectedRequest:
		t.finish(fleet.EndMoved)
	default:
		t.finish(fleet.EndBusy)
	}
	t.log("server_refused", strconv.Itoa(answer.Status))
	if replaced {
		t.gateway.cfg.Logger.Info().Str("server", server.Incarnation).Str("address", server.Address).Str("found", marks.Server).Msg("address_reused")
	}
}

// finish gives the call's place at its server back. The parts that the server was told
// to save will hardly come when it did not serve the call, so another may be told.
func (t *try) finish(end fleet.End) {
	t.chosen.hold.Done(end)
	if end != fleet.EndServed && t.chosen.namespace != "" {
		t.gateway.cfg.Parts.DropSaves(t.chosen.namespace, t.x.facts.Prompt.Parts, t.chosen.plan)
	}
}

// callerGone reports whether the caller has left.
func (t *try) callerGone() bool { return t.x.request.Context().Err() != nil }

// stopped ends a call whose request was found to end servers while it was under way.
func (t *try) stopped() next {
	t.finish(fleet.EndAbandoned)
	t.log("try_stopped", reasonEndsServers)
	t.gateway.endHeld(t.x)
	return nextEnd
}

// left ends a call whose caller has left.
func (t *try) left() next {
	t.finish(fleet.EndAbandoned)
	t.x.outcome, t.x.reason = outcomeGone, "caller_left"
	return nextEnd
}

func (t *try) log(event, reason string) {
	server := t.chosen.hold.Server()
	t.gateway.metrics.tryFailed(event)
	t.gateway.cfg.Logger.Info().Str("request", t.x.facts.RequestID).Str("server", server.Incarnation).Str("service", server.Service).
		Int("try", t.number).Str("reason", reason).Bool("silent", t.watch.isTaken()).Stringer("fingerprint", t.x.fingerprint).
		Str("ended_by", string(t.endedBy())).Dur("left", boottime.Until(t.x.deadline)).Int("servers_seen", t.handed).
		Float64("retries_saved", t.gateway.cfg.Budget.State().Saved).Msg(event)
}

// side says which end of a connection to a server ended a try.
type side string

// Sides of a try.
const (
	sideBox    side = "box"
	sideServer side = "server"
)

// endedBy says who ended the try. This box closes a connection only by ending the try's context,
// whether for silence, for the call's time, or since its caller has left.
func (t *try) endedBy() side {
	if t.ctx.Err() != nil {
		return sideBox
	}
	return sideServer
}
