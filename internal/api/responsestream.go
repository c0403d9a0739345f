package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/review"
)

// The events of a streamed response are a deterministic function of the stored answer. Every box
// produces the same events with the same sequence numbers, so a caller that lost its connection can
// resume after the last number it received, on any box:
//
//	0 response.created      1 response.in_progress
//	2 output_item.added     3 content_part.added
//	4… output_text.delta    then done events, and response.completed

// beforeFirstEvent is the value of starting_after for a stream from its beginning.
const beforeFirstEvent = -1

// deltaBytes is the size of the text deltas into which an answer is split.
const deltaBytes = 256

// keepAliveInterval is the interval of keep-alive comments on a stream that waits for its review.
const keepAliveInterval = 15 * time.Second

// responseEvent is one event of a streamed response.
type responseEvent struct {
	Type         string         `json:"type"`
	Sequence     int            `json:"sequence_number"`
	Response     *response      `json:"response,omitempty"`
	ItemID       string         `json:"item_id,omitempty"`
	OutputIndex  *int           `json:"output_index,omitempty"`
	ContentIndex *int           `json:"content_index,omitempty"`
	Item         *outputMessage `json:"item,omitempty"`
	Part         *outputText    `json:"part,omitempty"`
	Delta        string         `json:"delta,omitempty"`
	Text         string         `json:"text,omitempty"`
}

func startingAfter(c echo.Context) (int, *apierror.Error) {
	text := c.QueryParam("starting_after")
	if text == "" {
		return beforeFirstEvent, nil
	}
	after, err := strconv.Atoi(text)
	if err != nil || after < beforeFirstEvent {
		return 0, apierror.BadRequest("invalid_index", "starting_after is the sequence number of an event")
	}
	return after, nil
}

// streamResponse writes the events of a review that follow a sequence number. It waits for the review
// to end.
func (s *Server) streamResponse(w http.ResponseWriter, r *http.Request, request *flow.Request, current review.Review, after int) {
	writer := &eventWriter{sink: newHTTPSink(w, s.keys, request.Organisation.Name, true), after: after}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	queued := current
	queued.Status = review.StatusQueued
	created := newResponse(queued, nil)
	writer.send(responseEvent{Type: "response.created", Response: &created})
	writer.send(responseEvent{Type: "response.in_progress", Response: &created})
	ended, err := s.awaitEnd(r.Context(), writer, current)
	var answer []byte
	if err == nil {
		answer, err = s.completedAnswer(r.Context(), ended)
	}
	switch {
	case err == nil:
		writer.sendEnd(newResponse(ended, answer))
	case r.Context().Err() != nil:
		writer.fail(flow.CallerGone()) // the caller may have closed only its own direction
	default:
		writer.fail(reviewRefusal(err))
	}
}

// awaitEnd waits for a review to end and sends keep-alive comments to the caller meanwhile. It returns an
// error if the caller has disconnected, or if the review was deleted.
func (s *Server) awaitEnd(ctx context.Context, writer *eventWriter, current review.Review) (review.Review, error) {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
		ended, err := s.reviews.AwaitEnd(waitCtx, current.Meta.Organisation, current.Meta.ID)
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			return ended, err
		}
		writer.keepAlive()
	}
}

// eventWriter numbers the events of a response and writes those that the caller has not yet received.
type eventWriter struct {
	sink  *httpSink
	after int
	next  int
}

func (e *eventWriter) send(event responseEvent) {
	event.Sequence = e.next
	e.next++
	if event.Sequence <= e.after {
		return
	}
	data, err := json.Marshal(event)
	if err != nil {
		return
	}
	e.sink.buffer = append(e.sink.buffer[:0], "event: "...)
	e.sink.buffer = append(e.sink.buffer, event.Type...)
	e.sink.buffer = append(e.sink.buffer, "\ndata: "...)
	e.sink.buffer = append(append(e.sink.buffer, data...), "\n\n"...)
	e.write()
}

func (e *eventWriter) keepAlive() {
	e.sink.buffer = append(e.sink.buffer[:0], ": waiting\n\n"...)
	e.write()
}

func (e *eventWriter) write() {
	// Errors are ignored: if the caller has disconnected, the request context is canceled.
	if _, err := e.sink.w.Write(e.sink.buffer); err == nil {
		_ = e.sink.flush()
	}
}

// fail ends the stream with an error event.
func (e *eventWriter) fail(failure *apierror.Error) {
	e.sink.headerSent = true
	e.sink.fail(failure)
}

// sendEnd writes the events with the answer and the final event.
func (e *eventWriter) sendEnd(ended response) {
	for i := range ended.Output {
		e.sendOutput(i, ended.Output[i])
	}
	kind := "response." + string(ended.Status)
	e.send(responseEvent{Type: kind, Response: &ended})
}

func (e *eventWriter) sendOutput(index int, message outputMessage) {
	part := 0
	text := message.Content[0].Text
	empty := outputText{Type: "output_text", Annotations: []string{}}
	started := outputMessage{Type: message.Type, ID: message.ID, Role: message.Role, Status: "in_progress", Content: []outputText{}}
	base := responseEvent{ItemID: message.ID, OutputIndex: &index, ContentIndex: &part}
	e.send(responseEvent{Type: "response.output_item.added", OutputIndex: &index, Item: &started})
	e.send(base.withType("response.content_part.added", func(event *responseEvent) { event.Part = &empty }))
	for _, piece := range splitText(text) {
		e.send(base.withType("response.output_text.delta", func(event *responseEvent) { event.Delta = piece }))
	}
	e.send(base.withType("response.output_text.done", func(event *responseEvent) { event.Text = text }))
	e.send(base.withType("response.content_part.done", func(event *responseEvent) { event.Part = &message.Content[0] }))
	e.send(responseEvent{Type: "response.output_item.done", OutputIndex: &index, Item: &message})
}

// withType returns a copy of the event with another type and the fields that set fills in.
func (e responseEvent) withType(kind string, set func(*responseEvent)) responseEvent {
	e.Type = kind
	set(&e)
	return e
}

// splitText splits a text into deltas. The boundaries depend on the text only and never fall inside a
// rune.
func splitText(text string) []string {
	var parts []string
	for len(text) > 0 {
		end := min(deltaBytes, len(text))
		for end < len(text) && !utf8.RuneStart(text[end]) {
			end++
		}
		parts = append(parts, text[:end])
		text = text[end:]
	}
	return parts
}
