// Relaying responses to the caller. Ordinary responses are buffered completely before any of them
// is sent on. Streams are relayed event by event, so that another server can continue after the
// last event that the caller has.

package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/eventstream"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/handover"
	"github.com/cometlock/cometlock/internal/mechanism"
)

// relayBuffered reads the whole response before it sends any of it on, so that a response that
// breaks off never looks complete and another server can be tried instead. If there is no memory for
// the whole response, it is passed on as it is read.
func (a *attempt) relayBuffered(response *handover.Response) nextStep {
	x := a.x
	buffered := &bufferedResponse{status: response.Status, header: a.responseHeaders(response)}
	length := response.Length()
	if x.isHead() {
		buffered.statedLength, length = length, 0
	}
	complete, err := buffered.body.read(response.Body, length, x.memory)
	if err != nil {
		buffered.body.drop(x.memory)
		a.watch.noteConnError(err)
		return a.handleLost("answer_broke_off", fleet.OutcomeUnreachable)
	}
	if !complete {
		return a.passOn(response, &buffered.body)
	}
	if response.Status < http.StatusInternalServerError {
		a.watch.responseReceived()
		a.recordServed(response.Status)
		x.writeResponse(buffered)
		return stepDone
	}
	a.release(fleet.OutcomeFailed)
	a.log("server_failed", strconv.Itoa(response.Status))
	x.setServerFailure(buffered)
	step := a.afterServerFailure()
	if step == stepDone {
		a.gateway.endCall(x, "server_failed", 0)
	}
	return step
}

// afterServerFailure returns how a call continues after a server's error response: at the server of a
// hedge that is in progress, at another one, or not at all.
func (a *attempt) afterServerFailure() nextStep {
	if boottime.Now().Before(a.x.deadline) && a.watch.switchToHedge() {
		return stepSwitched
	}
	if a.x.mayRetry() {
		return stepNextServer
	}
	return stepDone
}

// recordServed records that the server served the call.
func (a *attempt) recordServed(status int) {
	a.release(fleet.OutcomeServed)
	if status/100 == 2 {
		a.gateway.noteSound(a.x)
	}
	a.x.outcome = outcomeServed
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   pieces
	// statedLength is the length that the response to a HEAD request states for the body that it does not
	// have, or -1.
	statedLength int64
}

// setServerFailure replaces the error response that the caller gets unless another server succeeds.
func (x *exchange) setServerFailure(response *bufferedResponse) {
	if x.serverFailure != nil {
		x.serverFailure.body.drop(x.memory)
	}
	x.serverFailure = response
}

// writeResponse sends a backend server's response to the caller unchanged.
func (x *exchange) writeResponse(response *bufferedResponse) {
	x.status, x.bytesSent = response.status, int64(response.body.size)
	for name, values := range response.header {
		x.writer.Header()[name] = values
	}
	x.setForwardReached()
	length := int64(response.body.size)
	if x.isHead() {
		length = response.statedLength
	}
	if length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	x.writer.WriteHeader(response.status)
	response.body.writeTo(x.writer, x.memory)
}

// passOn sends a response to the caller as it is read, after the part that has been read already.
// No other server can be tried from here on, except after an error response.
func (a *attempt) passOn(response *handover.Response, read *pieces) nextStep {
	x := a.x
	if response.Status >= http.StatusInternalServerError {
		if step := a.afterServerFailure(); step != stepDone {
			read.drop(x.memory)
			a.release(fleet.OutcomeFailed)
			a.log("server_failed", strconv.Itoa(response.Status))
			return step
		}
	}
	if _, accepted := a.watch.eventReceived(""); !accepted {
		read.drop(x.memory)
		return a.handleLost("answer_too_late", fleet.OutcomeUnreachable)
	}
	if length := response.Length(); length >= 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.writeStreamHeader(response)
	x.bytesSent += int64(read.size)
	stream := x.streamBuffer(a.gateway)
	stream.adopt(read)
	piece := make([]byte, minChunk)
	for ended := false; !ended; {
		var n int
		var err error
		if n, ended, err = fill(response.Body, piece); err != nil {
			a.watch.noteConnError(err)
			return a.endPassOn()
		}
		x.bytesSent += int64(n)
		_ = stream.write(piece[:n]) // a caller that disconnected cancels the attempt's context
	}
	if response.Status < http.StatusInternalServerError {
		a.recordServed(response.Status)
		return stepDone
	}
	a.release(fleet.OutcomeFailed)
	a.log("server_failed", strconv.Itoa(response.Status))
	x.outcome, x.reason = outcomeFailed, "server_failed"
	return stepDone
}

// endPassOn ends a call whose response broke off after a part of it was sent.
func (a *attempt) endPassOn() nextStep {
	if a.callerLeft() {
		return a.endCallerLeft()
	}
	a.release(fleet.OutcomeUnreachable)
	a.x.lossClosedBy = a.closedBy()
	a.log("try_lost", "answer_broke_off")
	a.gateway.abortResponse(a.x, "answer_broke_off")
	return stepDone
}

// relayStream relays a stream to the caller, event by event.
func (a *attempt) relayStream(response *handover.Response) nextStep {
	reader := eventstream.NewReader(response.Body, a.x.memory)
	defer reader.Close()
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return a.finishStream(response)
		}
		if errors.Is(err, eventstream.ErrNoMemory) {
			return a.handleLost(reasonMemory, fleet.OutcomeAbandoned)
		}
		if err != nil {
			a.watch.noteConnError(err)
			return a.handleLost("stream_broke_off", fleet.OutcomeUnreachable)
		}
		fresh, accepted := a.watch.eventReceived(event.ID)
		if !accepted {
			return a.handleLost("stream_too_late", fleet.OutcomeUnreachable)
		}
		if fresh && !a.relayEvent(response, event) {
			a.watch.withdrawEvent()
			return a.handleLost("stream_not_recorded", fleet.OutcomeAbandoned)
		}
		a.watch.eventRelayed()
		a.noteRunning()
	}
}

// relayEvent sends an event to the caller that it does not have yet. It returns false if it is the first one and the
// stream must not begin at this server.
func (a *attempt) relayEvent(response *handover.Response, event eventstream.Event) (sent bool) {
	x := a.x
	a.chosen.hold.NoteEvent() // before the wait for a record, which must not count as the server's delay
	if x.eventsSent == 0 {
		x.firstEventAt = boottime.Now()
		a.recordFetchDelay()
		if !a.gateway.noteOrigin(x) {
			return false
		}
	}
	a.writeStreamHeader(response)
	x.eventsSent++
	x.bytesSent += int64(len(event.Raw))
	_ = x.streamBuffer(a.gateway).write(event.Raw) // a caller that disconnected cancels the attempt's context
	return true
}

// streamBuffer returns the buffer of the call's stream, which all attempts share.
func (x *exchange) streamBuffer(g *Gateway) *streamBuffer {
	if x.stream == nil {
		window := streamWindow
		if g.cfg.Memory.Bounded() {
			window = 0
		}
		x.stream = newStreamBuffer(x.writer, x.memory, window)
		x.stream.unbuffered = !g.cfg.Mechanisms.Enabled(mechanism.MemoryBudget)
	}
	return x.stream
}

// finishWriting waits until the caller has its stream, and releases the memory of the call.
func (x *exchange) finishWriting() {
	if x.stream != nil && x.stream.close() != nil && x.outcome == outcomeServed {
		x.outcome, x.reason = outcomeGone, "caller_left"
	}
	x.memory.Close()
}

// recordFetchDelay records how late the first event is, or that it has been overdue for so long, if
// it has to wait for a fetch from a store box.
func (a *attempt) recordFetchDelay() {
	source := a.chosen.plan.Source
	if source == "" {
		return
	}
	late := a.chosen.plan.Lateness(a.chosen.hold.Overdue())
	slow, changed := a.gateway.cfg.Parts.NoteFetch(source, late)
	if !changed {
		return
	}
	a.gateway.cfg.Logger.Info().Str("request", a.x.info.RequestID).Str("store_box", source).Bool("slow", slow).Dur("late", late).Str("reported_by", a.gateway.cfg.BoxName).Msg("store_box_speed_changed")
}

// writeStreamHeader sends the headers of the first server that streams an event.
func (a *attempt) writeStreamHeader(response *handover.Response) {
	x := a.x
	if x.responseStarted {
		return
	}
	x.responseStarted, x.status = true, response.Status
	for name, values := range a.responseHeaders(response) {
		x.writer.Header()[name] = values
	}
	x.setForwardReached()
	x.setForwardSoftware()
	x.writer.WriteHeader(response.Status)
}

// responseHeaders returns the headers of a response that the caller gets.
func (a *attempt) responseHeaders(response *handover.Response) http.Header {
	return withoutForwardHeaders(endToEndHeaders(response.Header))
}

// isNewer reports whether an event's id follows the last one that was relayed. Ids that are not
// numbers count as newer.
func isNewer(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err != nil || now > before
}

// finishStream completes a stream that its server ended properly.
func (a *attempt) finishStream(response *handover.Response) nextStep {
	if a.x.eventsSent == 0 && !response.Framed() {
		return a.handleLost("stream_empty", fleet.OutcomeFailed)
	}
	a.watch.responseReceived()
	a.writeStreamHeader(response)
	a.release(fleet.OutcomeServed)
	a.gateway.noteSound(a.x)
	a.x.outcome = outcomeServed
	return stepDone
}
