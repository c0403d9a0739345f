package api

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/authenticate"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/relay"
	"github.com/cometlock/cometlock/internal/settle"
)

// serveChat answers /v1/chat/completions.
func (s *Server) serveChat(c echo.Context) error {
	s.serveModel(c.Response(), c.Request(), fieldMessages)
	return nil
}

// serveCompletion answers /v1/completions.
func (s *Server) serveCompletion(c echo.Context) error {
	s.serveModel(c.Response(), c.Request(), fieldPrompt)
	return nil
}

// serveModel takes one model request through all stages.
func (s *Server) serveModel(w http.ResponseWriter, r *http.Request, promptField string) {
	request, parsed, refusal := s.acceptModel(w, r, promptField)
	w.Header().Set(HeaderRequestID, request.ID)
	if refusal != nil {
		s.drain(w, r)
		s.refuse(w, request, refusal)
		return
	}
	if refusal := s.prepare(request, parsed); refusal != nil {
		s.refuse(w, request, refusal)
		return
	}
	claimed, replay, refusal := s.claimOnce(request)
	if refusal != nil {
		s.refuse(w, request, refusal)
		return
	}
	if replay != nil {
		s.replay(w, request, *replay)
		return
	}
	s.runModel(w, request, claimed)
}

// acceptModel reads a model request.
func (s *Server) acceptModel(w http.ResponseWriter, r *http.Request, promptField string) (*flow.Request, fields, *apierror.Error) {
	request, refusal := s.newRequest(r)
	if refusal != nil {
		return request, nil, refusal
	}
	request.Kind = flow.KindModel
	request.Path = r.URL.Path
	if _, refusal := authenticate.Organisation(request.Snapshot, request.Key); refusal != nil {
		return request, nil, refusal // before any room is made for a body
	}
	body, refusal := s.readBody(w, r, request.Snapshot.File().Limits.BodyBytes)
	if refusal != nil {
		return request, nil, refusal
	}
	if request.Idempotency != "" {
		request.Digest = digestOf(request.Method, request.Path, body)
	}
	parsed, refusal := parseModelRequest(body, promptField, request)
	return request, parsed, refusal
}

// prepare takes a request through the computing stages.
func (s *Server) prepare(request *flow.Request, parsed fields) *apierror.Error {
	request.OnEncode(func() []byte { return engineBody(parsed, request) })
	return s.pipeline.Run(request)
}

// runModel hands a request to an engine and its answer to the caller.
func (s *Server) runModel(w http.ResponseWriter, request *flow.Request, claimed *onceRun) {
	sink := newHTTPSink(w, s.keys, request.Organisation.Name, request.Stream)
	capture := &capturingSink{Sink: sink, enabled: claimed != nil && !request.Stream}
	result := s.runToSink(request, capture)
	claimed.end(result.Failure, capture.answer())
	if result.Failure != nil {
		sink.fail(result.Failure)
	}
	s.settleRun(request, result)
}

// runToSink hands a request to an engine and passes its answer on.
func (s *Server) runToSink(request *flow.Request, sink relay.Sink) relay.Result {
	attempt, failure := s.dispatcher.Dispatch(request)
	if failure != nil {
		return relay.Result{Failure: failure}
	}
	result := s.relay.Copy(request, attempt, sink)
	if result.Failure == nil {
		s.dispatcher.NoteServed(request)
	}
	if model, ok := request.Snapshot.Model(request.Model); ok && result.Failure == nil {
		s.keeper.OfferExport(request.Placement.Server, request.Chain, model.KVBytesPerToken)
	}
	return result
}

func (s *Server) settleRun(request *flow.Request, result relay.Result) {
	record := settle.NewRecord(request)
	record.Chunks, record.FirstChunk, record.Failure = result.Chunks, result.FirstChunk, result.Failure
	record.Resumes, record.Reruns = result.Resumes, result.Reruns
	s.settle.Settle(request, record)
}

// refuse ends a request that was not handed to a backend server.
func (s *Server) refuse(w http.ResponseWriter, request *flow.Request, refusal *apierror.Error) {
	WriteError(w, refusal)
	s.settleRefused(request, refusal)
}

func (s *Server) settleRefused(request *flow.Request, refusal *apierror.Error) {
	record := settle.NewRecord(request)
	record.Failure = refusal
	s.settle.Settle(request, record)
}

// modelList and modelEntry are the OpenAI protocol's list of models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// serveModels answers /v1/models.
func (s *Server) serveModels(c echo.Context) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range request.Snapshot.File().Models {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: request.Snapshot.File().Deployment})
	}
	writeJSON(c.Response(), http.StatusOK, list)
	return nil
}

// authenticated makes a request that only reads what cometlock knows itself and
// so skips the queue.
func (s *Server) authenticated(c echo.Context) (*flow.Request, *apierror.Error) {
	request, refusal := s.newRequest(c.Request())
	c.Response().Header().Set(HeaderRequestID, request.ID)
	if refusal != nil {
		return request, refusal
	}
	organisation, refusal := authenticate.Organisation(request.Snapshot, request.Key)
	request.Organisation = organisation
	return request, refusal
}

// serveAnswer takes an answer up again: GET /v1/answers/{id}?starting_after=N.
func (s *Server) serveAnswer(c echo.Context) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		s.refuse(c.Response(), request, refusal)
		return nil
	}
	server, run, refusal := s.findAnswer(request, c.Param("id"))
	if refusal != nil {
		s.refuse(c.Response(), request, refusal)
		return nil
	}
	after := -1
	if text := c.QueryParam("starting_after"); text != "" {
		number, err := strconv.Atoi(text)
		if err != nil || number < -1 {
			s.refuse(c.Response(), request, apierror.BadRequest("invalid_index", "starting_after is the index of a chunk"))
			return nil
		}
		after = number
	}
	sink := newHTTPSink(c.Response(), s.keys, request.Organisation.Name, run.Stream)
	result := s.relay.Resume(request, server, run, after, sink)
	if result.Failure != nil {
		sink.fail(result.Failure)
	}
	s.settleRun(request, result)
	return nil
}

// serveCancelAnswer cancels a run: DELETE /v1/answers/{id}.
func (s *Server) serveCancelAnswer(c echo.Context) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	server, run, refusal := s.findAnswer(request, c.Param("id"))
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	if err := s.relay.Cancel(server, run.ID); err != nil {
		WriteError(c.Response(), apierror.Missing("answer_not_found", "the answer is no longer held"))
		return nil
	}
	c.Response().WriteHeader(http.StatusNoContent)
	return nil
}

// findAnswer opens an answer's name. Another organisation's is as unknown as
// one that never was.
func (s *Server) findAnswer(request *flow.Request, name string) (server *serverEntry, run engine.Run, refusal *apierror.Error) {
	reference, err := s.keys.Open(request.Organisation.Name, name)
	if err != nil {
		return nil, run, apierror.Missing("answer_not_found", "there is no such answer")
	}
	server, ok := request.Snapshot.Server(reference.Server)
	if !ok {
		return nil, run, apierror.Missing("answer_not_found", "the answer is no longer held")
	}
	return server, engine.Run{ID: reference.RunID, Weights: reference.Weights, Stream: reference.Stream}, nil
}
