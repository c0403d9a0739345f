package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
	"github.com/cometlock/cometlock/internal/review"
)

// acceptTimeout bounds the wait for the log to take a review.
const acceptTimeout = 5 * time.Second

// responseRequest is the body of POST /v1/responses, as far as it is read.
type responseRequest struct {
	Model           string          `json:"model"`
	Input           json.RawMessage `json:"input"`
	Instructions    string          `json:"instructions"`
	Background      bool            `json:"background"`
	Store           *bool           `json:"store"`
	Stream          bool            `json:"stream"`
	MaxOutputTokens int             `json:"max_output_tokens"`
	Metadata        json.RawMessage `json:"metadata"`
}

// chatMessage is a message of a chat completion.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest is the body that the engine gets for a review.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

// serveCreateResponse answers POST /v1/responses: it accepts a review.
func (s *Server) serveCreateResponse(c echo.Context) error {
	w, r := c.Response(), c.Request()
	request, refusal := s.authenticated(c)
	if refusal != nil {
		s.drain(w, r)
		s.refuse(w, request, refusal)
		return nil
	}
	body, refusal := s.readBody(w, r, request.Snapshot.File().Limits.BodyBytes)
	if refusal != nil {
		s.refuse(w, request, refusal)
		return nil
	}
	meta, content, stream, refusal := acceptReview(request, body)
	if refusal != nil {
		s.refuse(w, request, refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	accepted, err := s.reviews.Accept(ctx, meta, content)
	if err != nil {
		s.refuse(w, request, reviewRefusal(err))
		return nil
	}
	if stream {
		s.streamResponse(w, r, request, accepted, noEvent)
		return nil
	}
	writeJSON(w, http.StatusOK, newResponse(accepted, nil))
	return nil
}

// acceptReview reads the body of a review.
func acceptReview(request *flow.Request, body []byte) (meta review.Meta, content []byte, stream bool, refusal *apierror.Error) {
	var parsed responseRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return meta, nil, false, apierror.BadRequest("invalid_json", "the body is not a request for a response")
	}
	if !parsed.Background || (parsed.Store != nil && !*parsed.Store) {
		return meta, nil, false, apierror.BadRequest("background_needed", "this deployment takes responses with background: true, which are stored")
	}
	if _, ok := request.Snapshot.Model(parsed.Model); !ok {
		return meta, nil, false, apierror.Missing("model_not_found", "there is no model %q", parsed.Model)
	}
	chat, refusal := parsed.chat()
	if refusal != nil {
		return meta, nil, false, refusal
	}
	content, err := json.Marshal(chat)
	if err != nil {
		return meta, nil, false, apierror.BadRequest("invalid_input", "the input cannot be passed on")
	}
	return review.Meta{
		ID: reviewID(request), Organisation: request.Organisation.Name, Model: parsed.Model,
		Accepted: request.Arrived.UTC(), Deadline: request.Deadline.UTC(), Digest: sha256.Sum256(body), Metadata: parsed.Metadata,
	}, content, parsed.Stream, nil
}

// reviewID names a review. With an idempotency key the name follows from it, so
// that a caller who got no answer and sends the review again, to whatever box,
// names the same one.
func reviewID(request *flow.Request) string {
	if request.IdempotencyKey == "" {
		return "resp_" + strings.ReplaceAll(uuid.NewString(), "-", "")
	}
	hash := sha256.New()
	for _, part := range []string{request.Organisation.Name, request.IdempotencyKey} {
		sum := sha256.Sum256([]byte(part))
		hash.Write(sum[:])
	}
	return "resp_" + hex.EncodeToString(hash.Sum(nil)[:16])
}

// chat turns the input into the messages of a chat completion.
func (r *responseRequest) chat() (chatRequest, *apierror.Error) {
	chat := chatRequest{Model: r.Model, MaxTokens: r.MaxOutputTokens}
	if r.Instructions != "" {
		chat.Messages = append(chat.Messages, textMessage("system", r.Instructions))
	}
	var text string
	if err := json.Unmarshal(r.Input, &text); err == nil && text != "" {
		chat.Messages = append(chat.Messages, textMessage("user", text))
		return chat, nil
	}
	var messages []chatMessage
	if err := json.Unmarshal(r.Input, &messages); err != nil || len(messages) == 0 {
		return chat, apierror.BadRequest("invalid_input", "the field input is a text or a list of messages")
	}
	for _, message := range messages {
		if message.Role == "" || len(message.Content) == 0 {
			return chat, apierror.BadRequest("invalid_input", "each message of the input has a role and a content")
		}
		message.Content = chatContent(message.Content)
		chat.Messages = append(chat.Messages, message)
	}
	return chat, nil
}

func textMessage(role, text string) chatMessage {
	content, err := json.Marshal(text)
	if err != nil {
		content = []byte(`""`) // a string always marshals
	}
	return chatMessage{Role: role, Content: content}
}

// contentPart is a part of a message; the two protocols name its type apart.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// chatContent renames the parts of a message to those of a chat completion.
func chatContent(content json.RawMessage) json.RawMessage {
	var parts []contentPart
	if json.Unmarshal(content, &parts) != nil {
		return content // a plain text, or parts that the engine may know
	}
	for i := range parts {
		if parts[i].Type == "input_text" || parts[i].Type == "output_text" {
			parts[i].Type = "text"
		}
	}
	renamed, err := json.Marshal(parts)
	if err != nil {
		return content
	}
	return renamed
}

// reviewRefusal is what a caller is told of an error of the reviews.
func reviewRefusal(err error) *apierror.Error {
	switch {
	case errors.Is(err, review.ErrMissing):
		return apierror.Missing("response_not_found", "there is no such response")
	case errors.Is(err, review.ErrOtherRequest):
		return conflict("idempotency_key_reused", apierror.NotRun, "the key was used for another request")
	case errors.Is(err, review.ErrUnknown):
		refusal := apierror.Failed("log_unknown", apierror.Unknown, "the log gave no answer; send the request again with the same Idempotency-Key")
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = time.Second
		return refusal
	default:
		return apierror.NotReady("log_unavailable", time.Second, "the log takes no reviews now; this one was not accepted")
	}
}

// serveGetResponse answers GET /v1/responses/{id}, also as a stream.
func (s *Server) serveGetResponse(c echo.Context) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	known, err := s.reviews.Get(request.Organisation.Name, c.Param("id"))
	if err != nil {
		WriteError(c.Response(), reviewRefusal(err))
		return nil
	}
	if c.QueryParam("stream") == "true" {
		after, refusal := startingAfter(c)
		if refusal != nil {
			WriteError(c.Response(), refusal)
			return nil
		}
		s.streamResponse(c.Response(), c.Request(), request, known, after)
		return nil
	}
	answer, err := s.completedAnswer(c.Request().Context(), known)
	if err != nil {
		WriteError(c.Response(), reviewRefusal(err))
		return nil
	}
	writeJSON(c.Response(), http.StatusOK, newResponse(known, answer))
	return nil
}

// completedAnswer reads the answer of a review that is completed.
func (s *Server) completedAnswer(ctx context.Context, known review.Review) ([]byte, error) {
	if known.Status != review.StatusCompleted {
		return nil, nil
	}
	return s.reviews.Answer(ctx, known.Meta.Organisation, known.Meta.ID)
}

// serveCancelResponse answers POST /v1/responses/{id}/cancel.
func (s *Server) serveCancelResponse(c echo.Context) error {
	return s.decideResponse(c, s.reviews.Cancel, func(known review.Review) any { return newResponse(known, nil) })
}

// deletedResponse is the answer to a deletion.
type deletedResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// serveDeleteResponse answers DELETE /v1/responses/{id}.
func (s *Server) serveDeleteResponse(c echo.Context) error {
	return s.decideResponse(c, s.reviews.Delete, func(known review.Review) any {
		return deletedResponse{ID: known.Meta.ID, Object: "response", Deleted: true}
	})
}

type decideFunc = func(ctx context.Context, organisation, id string) (review.Review, error)

func (s *Server) decideResponse(c echo.Context, decide decideFunc, answer func(review.Review) any) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), acceptTimeout)
	defer cancel()
	known, err := decide(ctx, request.Organisation.Name, c.Param("id"))
	if err != nil {
		WriteError(c.Response(), reviewRefusal(err))
		return nil
	}
	writeJSON(c.Response(), http.StatusOK, answer(known))
	return nil
}

// bufferSink keeps a whole answer.
type bufferSink struct {
	body []byte
}

// Begin implements relay.Sink.
func (b *bufferSink) Begin(*config.BackendServer, engine.Run) {}

// Write implements relay.Sink.
func (b *bufferSink) Write(chunk engine.Chunk, _ bool) error {
	b.body = append(b.body, chunk.Data...)
	return nil
}

// RunReview answers a review; it is the reviews' Runner.
func (s *Server) RunReview(ctx context.Context, task review.Task) ([]byte, error) {
	request := flow.NewRequest(ctx)
	request.ID, request.Kind, request.Path = task.Meta.ID, flow.KindModel, "/v1/chat/completions"
	request.Arrived = time.Now()
	request.Snapshot = s.snapshot()
	if request.Snapshot == nil {
		return nil, apierror.NotReady("no_configuration", time.Second, "this entry box has no configuration yet")
	}
	organisation, ok := request.Snapshot.Organisation(task.Meta.Organisation)
	if !ok {
		return nil, &review.PermanentError{Reason: "the organisation is no longer configured"}
	}
	request.Organisation = organisation
	parsed, refusal := parseModelRequest(task.Request, fieldMessages, request)
	if refusal != nil {
		return nil, &review.PermanentError{Reason: refusal.Message}
	}
	request.Priority = config.PriorityReview
	if task.Urgent {
		request.Priority = config.PriorityNormal
	}
	if refusal := s.prepare(request, parsed); refusal != nil {
		s.settleRefused(request, refusal)
		return nil, permanentOrNot(refusal)
	}
	sink := &bufferSink{}
	result := s.runToSink(request, sink)
	s.settleRun(request, result)
	if result.Failure != nil {
		return nil, permanentOrNot(result.Failure)
	}
	return sink.body, nil
}

// permanentOrNot tells faults of the request itself, which no other try mends,
// from all others.
func permanentOrNot(failure *apierror.Error) error {
	if failure.Status == http.StatusBadRequest || failure.Status == http.StatusRequestEntityTooLarge || failure.Status == http.StatusUnprocessableEntity {
		return &review.PermanentError{Reason: failure.Message}
	}
	return failure
}
