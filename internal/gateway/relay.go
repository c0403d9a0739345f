// The way of an answer back to the caller: whole answers are taken in before a byte
// is passed on, streams go event by event, so that another server can take over at
// the end of what the caller has.

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
)

// relayWhole takes in an answer whole and passes it on, so that one that breaks off
// never looks whole, and another server can be tried instead.
func (t *try) relayWhole(answer *handover.Response) next {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		return t.lost("answer_broke_off", fleet.EndUnreachable)
	}
	t.watch.hearAll()
	x := t.x
	whole := &wholeAnswer{status: answer.Status, header: forwardable(answer.Header), body: body}
	if answer.Status < http.StatusInternalServerError {
		t.finish(fleet.EndServed)
		if answer.Status/100 == 2 {
			t.gateway.cfg.Quarantine.NoteServed(x.fingerprint)
		}
		x.outcome = outcomeServed
		x.passOn(whole)
		return nextEnd
	}
	t.finish(fleet.EndFailed)
	t.log("server_failed", strconv.Itoa(answer.Status))
	x.failure = whole
	if x.mayRepeat() {
		return nextServer
	}
	t.gateway.end(x, "server_failed", 0)
	return nextEnd
}

// wholeAnswer is an answer that was taken in whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// passOn gives the caller a backend server's answer as it is.
func (x *exchange) passOn(whole *wholeAnswer) {
	x.status, x.bytesOut = whole.status, int64(len(whole.body))
	for name, values := range whole.header {
		x.writer.Header()[name] = values
	}
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(whole.body)))
	x.writer.WriteHeader(whole.status)
	_, _ = x.writer.Write(whole.body) // a caller that left needs no answer
}

// relayStream passes a stream on, event by event.
func (t *try) relayStream(answer *handover.Response) next {
	reader := eventstream.NewReader(answer.Body)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			t.watch.hearAll()
			return t.streamEnded(answer)
		}
		if err != nil {
			return t.lost("stream_broke_off", fleet.EndUnreachable)
		}
		fresh, ours := t.watch.hearEvent(event.ID)
		if !ours {
			return t.lost("stream_too_late", fleet.EndUnreachable)
		}
		if fresh {
			t.pass(answer, event)
		}
		t.watch.passed()
	}
}

// pass sends an event on that the caller has not had.
func (t *try) pass(answer *handover.Response, event eventstream.Event) {
	x := t.x
	if x.events == 0 {
		x.firstEvent = boottime.Now()
		t.noteFetch()
	}
	t.chosen.hold.Heard()
	t.beginStream(answer)
	x.events++
	x.bytesOut += int64(len(event.Raw))
	if _, err := x.writer.Write(event.Raw); err != nil {
		return // the caller left; its context ends the try
	}
	_ = http.NewResponseController(x.writer).Flush() // as above
}

// noteFetch notes how late the first event comes, or that it has not come for so long, if
// it has to wait for a fetch.
func (t *try) noteFetch() {
	source := t.chosen.plan.Source
	if source == "" {
		return
	}
	late := t.chosen.hold.Overdue()
	slow, changed := t.gateway.cfg.Parts.NoteFetch(source, late)
	if !changed {
		return
	}
	t.gateway.cfg.Logger.Info().Str("request", t.x.facts.RequestID).Str("store_box", source).Bool("slow", slow).Dur("late", late).Msg("store_box_pace")
}

// beginStream sends the head of the first server's answer.
func (t *try) beginStream(answer *handover.Response) {
	x := t.x
	if x.answering {
		return
	}
	x.answering, x.status = true, answer.Status
	for name, values := range forwardable(answer.Header) {
		x.writer.Header()[name] = values
	}
	x.writer.WriteHeader(answer.Status)
}

// rises reports whether an event's id comes after the last one passed on. Ids that
// are no numbers are believed.
func rises(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	now, err := strconv.ParseInt(id, 10, 64)
	return err != nil || now > before
}

// streamEnded ends a stream whose server ended it properly.
func (t *try) streamEnded(answer *handover.Response) next {
	if t.x.events == 0 && !answer.Framed() {
		return t.lost("stream_empty", fleet.EndFailed)
	}
	t.beginStream(answer)
	t.finish(fleet.EndServed)
	t.gateway.cfg.Quarantine.NoteServed(t.x.fingerprint)
	t.x.outcome = outcomeServed
	return nextEnd
}
