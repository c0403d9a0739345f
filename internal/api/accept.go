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
	"github.com/labstack/echo/v4"

	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/connlimit"
	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/flow"
)

// Headers that cometlock adds to the OpenAI API.
const (
	// HeaderRequestID is the ID of the request in logs.
	HeaderRequestID = "Cometlock-Request-Id"
	// HeaderAnswerID is the ID with which the caller can resume the answer.
	HeaderAnswerID = "Cometlock-Answer-Id"
	// HeaderOutcome states on an error response whether the request ran.
	HeaderOutcome = "Cometlock-Outcome"
	// HeaderRepeatable is "false" on a request that must run at most once.
	HeaderRepeatable = "Cometlock-Repeatable"
	// HeaderDeadline is the number of seconds within which the answer must begin.
	HeaderDeadline = "Cometlock-Deadline"
	// HeaderReplayed is "true" on a stored answer of an earlier request.
	HeaderReplayed = "Cometlock-Replayed"
	// HeaderIdempotency is the idempotency key of a request that must run at most once.
	HeaderIdempotency = "Idempotency-Key"
)

// newRequest creates a request and parses the headers that all kinds of requests have in common.
func (s *Server) newRequest(r *http.Request) (*flow.Request, *apierror.Error) {
	snapshot := s.snapshot()
	request := flow.NewRequest(r.Context())
	request.ID = "req_" + uuid.NewString()
	request.Arrived = time.Now()
	if snapshot == nil {
		return request, apierror.ServiceUnavailable("no_configuration", time.Second, "this entry box has no configuration yet")
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

// BearerKey returns the API key in the Authorization header, or an empty string if there is none.
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
	maxWait, ok := ParseSeconds(text)
	if !ok {
		return apierror.BadRequest("invalid_header", "%s is a number of seconds above 0", HeaderDeadline)
	}
	request.Deadline = request.Arrived.Add(maxWait)
	return nil
}

// ParseSeconds parses a number of seconds that is above 0 and at most a year.
func ParseSeconds(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || !(seconds > 0 && seconds <= maxDeadlineSeconds) {
		return 0, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// bodyTimeout bounds the time in which a caller sends the whole body.
const bodyTimeout = 30 * time.Second

// readBody reads the whole body of a call of an organisation. It returns an error if there is no memory for it, if
// it exceeds the limit, or if it does not arrive within the body timeout.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, organisation string, limit int64) ([]byte, *apierror.Error) {
	memory, refusal := s.admitMemory(r, organisation, limit)
	if refusal != nil {
		s.drain(w, r)
		return nil, refusal
	}
	controller := http.NewResponseController(w)
	// Only the response writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	buffer := bytes.NewBuffer(make([]byte, 0, max(0, min(r.ContentLength, firstBodyBytes))+bytes.MinRead))
	var source io.Reader = http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 {
		source = growingReader{Reader: source, call: memory}
	}
	_, err := buffer.ReadFrom(source)
	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, bodyTooLarge("the body has more than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, errNoMemory) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, s.refuseMemory(organisation, callOverhead)
	}
	if err != nil {
		refusal := apierror.BadRequest("body_not_read", "the body did not come in whole")
		refusal.Status = http.StatusRequestTimeout
		return nil, refusal
	}
	_ = controller.SetReadDeadline(time.Time{})
	connlimit.Admitted(r.Context())
	return buffer.Bytes(), nil
}

// fields holds the top-level fields of a request body as raw JSON.
type fields map[string]json.RawMessage

// Fields of a request body that cometlock reads or sets.
const (
	fieldModel       = "model"
	fieldStream      = "stream"
	fieldMessages    = "messages"
	fieldPrompt      = "prompt"
	fieldServiceTier = "service_tier"
	fieldPriority    = "priority"
	fieldCacheSalt   = "cache_salt"
)

// parseModelRequest parses and validates the body of a chat or text completion.
func parseModelRequest(body []byte, promptField string, request *flow.Request) (fields, *apierror.Error) {
	parsed, err := decodeFields(body)
	if errors.Is(err, errTooManyElements) {
		return nil, apierror.BadRequest("too_many_fields", "the body has more than %d fields", maxFields)
	}
	if err != nil {
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

// readTier maps the service tiers of the OpenAI API to priorities.
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

// engineBody encodes the body that is sent to the engine. It always overwrites priority and cache salt:
// a caller that sends its own salt must not get access to another organisation's KV cache.
func engineBody(parsed fields, request *flow.Request) []byte {
	parsed[fieldPriority] = json.RawMessage(strconv.Itoa(enginePriority(request.Priority)))
	parsed[fieldCacheSalt] = json.RawMessage(strconv.Quote(request.Salt.String()))
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false) // the engine must hash the same prompt bytes as the place stage
	if err := encoder.Encode(parsed); err != nil {
		return nil // cannot happen: each field was parsed as JSON
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

const (
	// drainTimeout bounds the time for reading a body that is not used.
	drainTimeout = time.Second
	// maxDrainedBytes bounds what is read of such a body.
	maxDrainedBytes = 64 << 10
)

// drain is DrainBody for a server whose callers have less time.
func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	drainBody(w, r, min(drainTimeout, s.bodyTimeout))
}

// DrainBody reads and discards the rest of a body that is not used, up to 64 KiB and a second. net/http reads
// such a body before it sends the response: without a bound the caller would get none while it stops within
// the body, and if the body was not read, the caller might get a reset in place of the response.
func DrainBody(w http.ResponseWriter, r *http.Request) { drainBody(w, r, drainTimeout) }

func drainBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	// Only the response writers of tests do not support deadlines.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainedBytes))
	if err == nil && n < maxDrainedBytes {
		// net/http reads in the background after the end of the body. A deadline that passes then would
		// cancel the contexts of all further requests of the connection. Otherwise the deadline remains:
		// a caller that has stopped sending must not keep the connection open after the response either.
		_ = controller.SetReadDeadline(time.Time{})
	}
}

// dropBody is the middleware of paths that use no body.
func (s *Server) dropBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.drain(c.Response(), c.Request())
		connlimit.Serving(c.Request().Context())
		return next(c)
	}
}
