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

// reviewLogTimeout bounds an append to the log that accepts, cancels or deletes a review.
const reviewLogTimeout = 5 * time.Second

// responseRequest holds the supported fields of the body of POST /v1/responses.
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

// chatRequest is the request body that is sent to the engine for a review.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

// serveCreateResponse handles POST /v1/responses, which submits a review.
func (s *Server) serveCreateResponse(c echo.Context) error {
	w, r := c.Response(), c.Request()
	request, refusal := s.authenticated(c)
	if refusal != nil {
		s.drain(w, r)
		s.refuse(w, request, refusal)
		return nil
	}
	body, refusal := s.readBody(w, r, request.Organisation.Name, request.Snapshot.File().Limits.BodyBytes)
	if refusal != nil {
		s.refuse(w, request, refusal)
		return nil
	}
	meta, content, stream, refusal := acceptReview(request, body)
	if refusal != nil {
		s.refuse(w, request, refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), reviewLogTimeout)
	defer cancel()
	accepted, err := s.reviews.Accept(ctx, meta, content)
	if err != nil {
		s.refuse(w, request, reviewRefusal(err))
		return nil
	}
	if stream {
		s.streamResponse(w, r, request, accepted, beforeFirstEvent)
		return nil
	}
	writeJSON(w, http.StatusOK, newResponse(accepted, nil))
	return nil
}

// acceptReview parses and validates the body of a review.
func acceptReview(request *flow.Request, body []byte) (meta review.Meta, content []byte, stream bool, refusal *apierror.Error) {
	var parsed responseRequest
	if err := json.Unmarshal(body, &parsed); err != nil {
		return meta, nil, false, apierror.BadRequest("invalid_json", "the body is not a request for a response")
	}
	if !parsed.Background || (parsed.Store != nil && !*parsed.Store) {
		return meta, nil, false, apierror.BadRequest("background_needed", "this deployment takes responses with background: true, which are stored")
	}
	if _, ok := request.Snapshot.Model(parsed.Model); !ok {
		return meta, nil, false, apierror.NotFound("model_not_found", "there is no model %q", parsed.Model)
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
		AcceptedAt: request.Arrived.UTC(), Deadline: request.Deadline.UTC(), Digest: sha256.Sum256(body), Metadata: parsed.Metadata,
	}, content, parsed.Stream, nil
}

// reviewID returns the ID of a new review. With an idempotency key, the ID is derived from the key, so
// that a caller that received no response and retries, on any box, refers to the same review.
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

// chat converts the input to a chat completion request.
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
	messages, err := decodeList[chatMessage](r.Input)
	if errors.Is(err, errTooManyElements) {
		return chat, apierror.BadRequest("too_many_messages", "the field input has more than %d messages", maxElements)
	}
	if err != nil || len(messages) == 0 {
		return chat, apierror.BadRequest("invalid_input", "the field input is a text or a list of messages")
	}
	for _, message := range messages {
		if message.Role == "" || len(message.Content) == 0 {
			return chat, apierror.BadRequest("invalid_input", "each message of the input has a role and a content")
		}
		if message.Content, err = chatContent(message.Content); err != nil {
			return chat, apierror.BadRequest("too_many_parts", "a message of the input has more than %d parts", maxElements)
		}
		chat.Messages = append(chat.Messages, message)
	}
	return chat, nil
}

func textMessage(role, text string) chatMessage {
	content, err := json.Marshal(text)
	if err != nil {
		content = []byte(`""`) // cannot happen: encoding a string does not fail
	}
	return chatMessage{Role: role, Content: content}
}

// contentPart is a part of a message. Its type has different names in the Responses API and in chat
// completions.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// chatContent converts the part types of a message to those of a chat completion. It returns an error if there are
// too many parts.
func chatContent(content json.RawMessage) (json.RawMessage, error) {
	parts, err := decodeList[contentPart](content)
	if errors.Is(err, errTooManyElements) {
		return nil, err
	}
	if err != nil {
		return content, nil // plain text, or parts that the engine may support
	}
	for i := range parts {
		if parts[i].Type == "input_text" || parts[i].Type == "output_text" {
			parts[i].Type = "text"
		}
	}
	renamed, err := json.Marshal(parts)
	if err != nil {
		return content, nil // cannot happen: the parts are text
	}
	return renamed, nil
}

// reviewRefusal converts an error of package review to the error that the caller receives.
func reviewRefusal(err error) *apierror.Error {
	switch {
	case errors.Is(err, review.ErrNotFound):
		return apierror.NotFound("response_not_found", "there is no such response")
	case errors.Is(err, review.ErrIDReused):
		return conflict("idempotency_key_reused", apierror.NotRun, "the key was used for another request")
	case errors.Is(err, review.ErrOutcomeUnknown):
		refusal := apierror.BadGateway("log_unknown", apierror.Unknown, "the log gave no answer; send the request again with the same Idempotency-Key")
		refusal.Status = http.StatusServiceUnavailable
		refusal.RetryAfter = time.Second
		return refusal
	default:
		return apierror.ServiceUnavailable("log_unavailable", time.Second, "the log takes no reviews now; this one was not accepted")
	}
}

// serveGetResponse handles GET /v1/responses/{id}, with or without streaming.
func (s *Server) serveGetResponse(c echo.Context) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	current, err := s.reviews.Get(request.Organisation.Name, c.Param("id"))
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
		s.streamResponse(c.Response(), c.Request(), request, current, after)
		return nil
	}
	answer, err := s.completedAnswer(c.Request().Context(), current)
	if err != nil {
		WriteError(c.Response(), reviewRefusal(err))
		return nil
	}
	writeJSON(c.Response(), http.StatusOK, newResponse(current, answer))
	return nil
}

// completedAnswer returns the answer of a completed review, or nil if the review is not completed.
func (s *Server) completedAnswer(ctx context.Context, current review.Review) ([]byte, error) {
	if current.Status != review.StatusCompleted {
		return nil, nil
	}
	return s.reviews.Result(ctx, current.Meta.Organisation, current.Meta.ID)
}

// serveCancelResponse handles POST /v1/responses/{id}/cancel.
func (s *Server) serveCancelResponse(c echo.Context) error {
	return s.decideResponse(c, s.reviews.Cancel, func(current review.Review) any { return newResponse(current, nil) })
}

// deletedResponse is the response body of a deletion.
type deletedResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Deleted bool   `json:"deleted"`
}

// serveDeleteResponse handles DELETE /v1/responses/{id}.
func (s *Server) serveDeleteResponse(c echo.Context) error {
	return s.decideResponse(c, s.reviews.Delete, func(current review.Review) any {
		return deletedResponse{ID: current.Meta.ID, Object: "response", Deleted: true}
	})
}

type decideFunc = func(ctx context.Context, organisation, id string) (review.Review, error)

func (s *Server) decideResponse(c echo.Context, decide decideFunc, body func(review.Review) any) error {
	request, refusal := s.authenticated(c)
	if refusal != nil {
		WriteError(c.Response(), refusal)
		return nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), reviewLogTimeout)
	defer cancel()
	current, err := decide(ctx, request.Organisation.Name, c.Param("id"))
	if err != nil {
		WriteError(c.Response(), reviewRefusal(err))
		return nil
	}
	writeJSON(c.Response(), http.StatusOK, body(current))
	return nil
}

// bufferSink collects an answer in memory.
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

// RunReview runs a review and returns its answer. It implements the Runner of package review.
func (s *Server) RunReview(ctx context.Context, task review.Task) ([]byte, error) {
	request := flow.NewRequest(ctx)
	request.ID, request.Kind, request.Path = task.Meta.ID, flow.KindModel, "/v1/chat/completions"
	request.Arrived = time.Now()
	request.Snapshot = s.snapshot()
	if request.Snapshot == nil {
		return nil, apierror.ServiceUnavailable("no_configuration", time.Second, "this entry box has no configuration yet")
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
		return nil, toReviewError(refusal)
	}
	sink := &bufferSink{}
	result := s.runToSink(request, sink)
	s.settleRun(request, result)
	if result.Failure != nil {
		return nil, toReviewError(result.Failure)
	}
	return sink.body, nil
}

// toReviewError converts an error of the request itself, which a retry cannot fix, to a
// review.PermanentError, and returns all others unchanged.
func toReviewError(failure *apierror.Error) error {
	if failure.Status == http.StatusBadRequest || failure.Status == http.StatusRequestEntityTooLarge || failure.Status == http.StatusUnprocessableEntity {
		return &review.PermanentError{Reason: failure.Message}
	}
	return failure
}
