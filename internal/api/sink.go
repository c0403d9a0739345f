package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/answerid"
	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
)

// writeTimeout bounds the time of one write to the caller.
const writeTimeout = 30 * time.Second

// httpSink writes an answer to a caller. It does not allocate per chunk.
type httpSink struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	keys         answerid.Keys
	organisation string
	stream       bool
	headerSent   bool
	buffer       []byte
}

func newHTTPSink(w http.ResponseWriter, keys answerid.Keys, organisation string, stream bool) *httpSink {
	return &httpSink{w: w, controller: http.NewResponseController(w), keys: keys, organisation: organisation, stream: stream}
}

// Begin implements relay.Sink.
func (s *httpSink) Begin(server *config.BackendServer, run engine.Run) {
	s.headerSent = true
	header := s.w.Header()
	id, err := s.keys.Encode(s.organisation, answerid.Reference{Server: server.Name, RunID: run.ID, Weights: run.Weights, Stream: run.Stream})
	if err == nil {
		header.Set(HeaderAnswerID, id)
	}
	if s.stream {
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
	} else {
		header.Set("Content-Type", "application/json")
	}
	s.w.WriteHeader(http.StatusOK)
}

// Write implements relay.Sink.
func (s *httpSink) Write(chunk engine.Chunk, more bool) error {
	s.buffer = s.buffer[:0]
	if s.stream {
		s.extendDeadline() // that of the last flush may have passed while the engine paused
		s.buffer = appendEvent(s.buffer, chunk)
	} else {
		s.buffer = append(s.buffer, chunk.Data...)
	}
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	if more && !chunk.Last {
		return nil
	}
	return s.flush()
}

func (s *httpSink) flush() error {
	s.extendDeadline()
	return s.controller.Flush()
}

// extendDeadline sets the deadline of the next write.
func (s *httpSink) extendDeadline() {
	// Only the response writers of tests do not support deadlines.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// appendEvent encodes a chunk as a server-sent event, with its index as the event ID.
func appendEvent(buffer []byte, chunk engine.Chunk) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(chunk.Index), 10)
	buffer = append(buffer, "\ndata: "...)
	buffer = append(buffer, chunk.Data...)
	return append(buffer, "\n\n"...)
}

// streamFailure is the last event of a stream that failed.
type streamFailure struct {
	apierror.Body
	Outcome apierror.Outcome `json:"outcome"`
}

// fail reports a failure to the caller: as an error response if the headers have not been sent, and
// otherwise as the last event of the stream. The stream then lacks its regular final event, so clients
// do not treat the answer as complete.
func (s *httpSink) fail(failure *apierror.Error) {
	if !s.headerSent {
		WriteError(s.w, failure)
		return
	}
	if !s.stream {
		return // the client detects the truncated body
	}
	data, err := json.Marshal(streamFailure{Body: failure.Body(), Outcome: failure.Outcome})
	if err != nil {
		return
	}
	s.buffer = append(append(append(s.buffer[:0], "data: "...), data...), "\n\n"...)
	s.extendDeadline()
	if _, err := s.w.Write(s.buffer); err == nil {
		_ = s.flush() // a second failure cannot be reported
	}
}

// WriteError writes an error response.
func WriteError(w http.ResponseWriter, failure *apierror.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(failure.Outcome))
	if seconds := failure.RetryAfterSeconds(); seconds > 0 {
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, failure.Status, failure.Body())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Write errors are ignored: they mean that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
