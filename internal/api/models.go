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

// serveChat handles /v1/chat/completions.
func (s *Server) serveChat(c echo.Context) error {
	s.serveModel(c.Response(), c.Request(), fieldMessages)
	return nil
}

// serveCompletion handles /v1/completions.
func (s *Server) serveCompletion(c echo.Context) error {
	s.serveModel(c.Response(), c.Request(), fieldPrompt)
	return nil
}

// serveModel runs one model request through all stages.
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

// acceptModel parses and validates a model request.
func (s *Server) acceptModel(w http.ResponseWriter, r *http.Request, promptField string) (*flow.Request, fields, *apierror.Error) {
	request, refusal := s.newRequest(r)
	if refusal != nil {
		return request, nil, refusal
	}
	request.Kind = flow.KindModel
	request.Path = r.URL.Path
	organisation, refusal := authenticate.Organisation(request.Snapshot, request.APIKey)
	if refusal != nil {
		return request, nil, refusal // before memory is allocated for the body
	}
	body, refusal := s.readBody(w, r, organisation.Name, request.Snapshot.File().Limits.BodyBytes)
	if refusal != nil {
		return request, nil, refusal
	}
	if request.IdempotencyKey != "" {
		request.Digest = digestOf(request.Method, request.Path, body)
	}
	parsed, refusal := parseModelRequest(body, promptField, request)
	return request, parsed, refusal
}

// prepare runs a request through the computing stages.
func (s *Server) prepare(request *flow.Request, parsed fields) *apierror.Error {
	request.SetEncoder(func() []byte { return engineBody(parsed, request) })
	return s.pipeline.Run(request)
}

// runModel sends a request to an engine and the answer to the caller.
func (s *Server) runModel(w http.ResponseWriter, request *flow.Request, claimed *claimedRun) {
	sink := newHTTPSink(w, s.keys, request.Organisation.Name, request.Stream)
	capture := &capturingSink{Sink: sink, enabled: claimed != nil && !request.Stream}
	result := s.runToSink(request, capture)
	claimed.finish(result.Failure, capture.answer())
	if result.Failure != nil {
		sink.fail(result.Failure)
	}
	s.settleRun(request, result)
}

// runToSink sends a request to an engine and writes the answer to sink.
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
		s.offloader.OfferExport(request.Placement.Server, request.Chain, model.KVBytesPerToken)
	}
	return result
}

func (s *Server) settleRun(request *flow.Request, result relay.Result) {
	record := settle.NewRecord(request)
	record.Chunks, record.FirstChunk, record.Failure = result.Chunks, result.FirstChunk, result.Failure
	record.Resumes, record.Reruns = result.Resumes, result.Reruns
	s.settle.Settle(request, record)
}

// refuse sends an error response for a request that got no response from a backend server, and
// settles it.
func (s *Server) refuse(w http.ResponseWriter, request *flow.Request, refusal *apierror.Error) {
	WriteError(w, refusal)
	s.settleRefused(request, refusal)
}

func (s *Server) settleRefused(request *flow.Request, refusal *apierror.Error) {
	record := settle.NewRecord(request)
	record.Failure = refusal
	s.settle.Settle(request, record)
}

// modelList and modelEntry are the list of models in the OpenAI API.
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

// serveModels handles /v1/models.
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

// authenticated creates and authenticates a request that the box serves itself, without a backend
// server. Such requests bypass the admission queue.
func (s *Server) authenticated(c echo.Context) (*flow.Request, *apierror.Error) {
	request, refusal := s.newRequest(c.Request())
	c.Response().Header().Set(HeaderRequestID, request.ID)
	if refusal != nil {
		return request, refusal
	}
	organisation, refusal := authenticate.Organisation(request.Snapshot, request.APIKey)
	request.Organisation = organisation
	return request, refusal
}

// serveAnswer handles GET /v1/answers/{id}?starting_after=N, which resumes an answer.
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

// serveCancelAnswer handles DELETE /v1/answers/{id}, which cancels a run.
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
		WriteError(c.Response(), apierror.NotFound("answer_not_found", "the answer is no longer held"))
		return nil
	}
	c.Response().WriteHeader(http.StatusNoContent)
	return nil
}

// findAnswer decodes an answer ID. The error for another organisation's answer is the same as for one
// that does not exist.
func (s *Server) findAnswer(request *flow.Request, id string) (server *serverEntry, run engine.Run, refusal *apierror.Error) {
	reference, err := s.keys.Decode(request.Organisation.Name, id)
	if err != nil {
		return nil, run, apierror.NotFound("answer_not_found", "there is no such answer")
	}
	server, ok := request.Snapshot.Server(reference.Server)
	if !ok {
		return nil, run, apierror.NotFound("answer_not_found", "the answer is no longer held")
	}
	return server, engine.Run{ID: reference.RunID, Weights: reference.Weights, Stream: reference.Stream}, nil
}
