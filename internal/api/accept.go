package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
)

// Headers that cometlock adds to the OpenAI protocol.
const (
	// HeaderRequestID names the request in logs.
	HeaderRequestID = "Cometlock-Request-Id"
	// HeaderAnswerID names the answer, for taking it up again.
	HeaderAnswerID = "Cometlock-Answer-Id"
	// HeaderOutcome says on a refusal or failure whether the request ran.
	HeaderOutcome = "Cometlock-Outcome"
	// HeaderRepeatable is "false" on a request that must run at most once.
	HeaderRepeatable = "Cometlock-Repeatable"
	// HeaderDeadline is the number of seconds within which the answer must begin.
	HeaderDeadline = "Cometlock-Deadline"
	// HeaderReplayed is "true" on the kept answer of an earlier request.
	HeaderReplayed = "Cometlock-Replayed"
	// HeaderIdempotency is the key of a request that must run at most once.
	HeaderIdempotency = "Idempotency-Key"
)

// newRequest reads what every request carries in its headers.
func (s *Server) newRequest(r *http.Request) (*flow.Request, *apierror.Error) {
	snapshot := s.snapshot()
	request := flow.NewRequest(r.Context())
	request.ID = "req_" + uuid.NewString()
	request.Arrived = time.Now()
	if snapshot == nil {
		return request, apierror.NotReady("no_configuration", time.Second, "this entry box has no configuration yet")
	}
	request.Snapshot = snapshot
	request.APIKey = BearerKey(r.Header)
	request.Method = r.Method
	request.IdempotencyKey = r.Header.Get(HeaderIdempotency)
	if err := readRepeatable(r.Header, request); err != nil {
		return request, err
	}
	return request, readDeadline(r.Header, request)
}

// BearerKey gives a caller's key, or nothing.
func BearerKey(header http.Header) string {
	scheme, key, _ := strings.Cut(header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func readRepeatable(header http.Header, request *flow.Request) *apierror.Error {
	text := header.Get(HeaderRepeatable)
	if text == "" {
		return nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return apierror.BadRequest("invalid_header", "%s is true or false", HeaderRepeatable)
	}
	request.Repeatable = repeatable
	return nil
}

// maxDeadlineSeconds bounds Cometlock-Deadline to a year.
const maxDeadlineSeconds = 365 * 24 * 3600

func readDeadline(header http.Header, request *flow.Request) *apierror.Error {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return nil
	}
	patience, ok := ParseSeconds(text)
	if !ok {
		return apierror.BadRequest("invalid_header", "%s is a number of seconds above 0", HeaderDeadline)
	}
	request.Deadline = request.Arrived.Add(patience)
	return nil
}

// ParseSeconds reads a number of seconds above 0 and of a year at most.
func ParseSeconds(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxDeadlineSeconds) {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// bodyTimeout is how long a caller may take to send a whole body.
const bodyTimeout = 30 * time.Second

// readBody reads a body within the configured limit and a bounded time.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *apierror.Error) {
	controller := http.NewResponseController(w)
	// Writers that cannot set deadlines are those of tests.
	_ = controller.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, max(0, min(r.ContentLength, limit))+bytes.MinRead))
	_, err := buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		refusal := apierror.BadRequest("body_too_large", "the body has more than %d bytes", tooLarge.Limit)
		refusal.Status = http.StatusRequestEntityTooLarge
		return nil, refusal
	}
	if err != nil {
		refusal := apierror.BadRequest("body_not_read", "the body did not come in whole")
		refusal.Status = http.StatusRequestTimeout
		return nil, refusal
	}
	_ = controller.SetReadDeadline(time.Time{})
	return buffer.Bytes(), nil
}

// fields are the top-level fields of a request body, kept as they came.
type fields map[string]json.RawMessage

// Names of the fields that cometlock reads or sets.
const (
	fieldModel       = "model"
	fieldStream      = "stream"
	fieldMessages    = "messages"
	fieldPrompt      = "prompt"
	fieldServiceTier = "service_tier"
	fieldPriority    = "priority"
	fieldCacheSalt   = "cache_salt"
)

// parseModelRequest reads the body of a chat or text completion.
func parseModelRequest(body []byte, promptField string, request *flow.Request) (fields, *apierror.Error) {
	var parsed fields
	if err := json.Unmarshal(body, &parsed); err != nil || parsed == nil {
		return nil, apierror.BadRequest("invalid_json", "the body is not a JSON object")
	}
	if err := json.Unmarshal(parsed[fieldModel], &request.Model); err != nil || request.Model == "" {
		return nil, apierror.BadRequest("invalid_model", "the field model is missing or not a string")
	}
	if raw, ok := parsed[fieldStream]; ok {
		if err := json.Unmarshal(raw, &request.Stream); err != nil {
			return nil, apierror.BadRequest("invalid_stream", "the field stream is not true or false")
		}
	}
	prompt, ok := parsed[promptField]
	if !ok || isEmptyJSON(prompt) {
		return nil, apierror.BadRequest("invalid_prompt", "the field %s is missing or empty", promptField)
	}
	compacted := bytes.NewBuffer(make([]byte, 0, len(prompt)))
	if err := json.Compact(compacted, prompt); err != nil {
		return nil, apierror.BadRequest("invalid_json", "the field %s is not JSON", promptField)
	}
	request.Prompt = compacted.Bytes()
	parsed[promptField] = request.Prompt
	return parsed, readTier(parsed, request)
}

func isEmptyJSON(raw json.RawMessage) bool {
	switch string(raw) {
	case "null", `""`, "[]", "{}":
		return true
	default:
		return false
	}
}

// readTier maps the protocol's service tiers to priorities.
func readTier(parsed fields, request *flow.Request) *apierror.Error {
	raw, ok := parsed[fieldServiceTier]
	if !ok {
		return nil
	}
	var tier string
	if err := json.Unmarshal(raw, &tier); err != nil {
		return apierror.BadRequest("invalid_service_tier", "the field service_tier is not a string")
	}
	switch tier {
	case "priority":
		request.Priority = config.PriorityInstant
	case "default":
		request.Priority = config.PriorityNormal
	case "flex":
		request.Priority = config.PriorityReview
	case "auto":
	default:
		return apierror.BadRequest("invalid_service_tier", "the field service_tier is auto, default, priority or flex")
	}
	delete(parsed, fieldServiceTier)
	return nil
}

// engineBody writes the body that the engine gets. Priority and cache salt are
// set here and nowhere else: a caller that sends a salt of its own must not get
// at another organisation's context.
func engineBody(parsed fields, request *flow.Request) []byte {
	parsed[fieldPriority] = json.RawMessage(strconv.Itoa(enginePriority(request.Priority)))
	parsed[fieldCacheSalt] = json.RawMessage(strconv.Quote(request.Salt.String()))
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false) // the engine must hash the same bytes as place
	if err := encoder.Encode(parsed); err != nil {
		return nil // each field was read as JSON, so it can be written as JSON
	}
	return body.Bytes()
}

func enginePriority(priority config.Priority) int {
	switch priority {
	case config.PriorityInstant:
		return engine.PriorityInstant
	case config.PriorityReview:
		return engine.PriorityReview
	default:
		return engine.PriorityNormal
	}
}

// drainTimeout is how long the rest of an unwanted body may take to come.
const drainTimeout = time.Second

// drain reads the rest of a body that is not wanted, as far as it is short and
// comes soon, so that the caller gets to read the refusal. The deadline stays: a
// sender that has stopped must not hold the connection after the answer either.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(min(drainTimeout, s.bodyTimeout))
	// Writers that cannot set deadlines are those of tests.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, 64<<10))
}
