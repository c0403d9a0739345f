// Package apierror is the one form in which cometlock tells a caller that a
// request was refused or failed.
//
// The body follows the OpenAI error object, since callers have clients for it.
// The outcome is the part that protocol lacks: it says whether the request may
// have had an effect, which decides whether the caller may send it again.
package apierror

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Outcome says what is known of a request that did not end in a whole answer.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server and
	// that none will: the caller may send it again.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, wholly or in part.
	Unknown Outcome = "unknown"
	// Ran means that the request ran, although its answer is not whole.
	Ran Outcome = "ran"
)

// Type is the coarse class of an error in the OpenAI protocol.
type Type string

const (
	// InvalidRequest is a fault of the request itself.
	InvalidRequest Type = "invalid_request_error"
	// Authentication is a missing or wrong key.
	Authentication Type = "authentication_error"
	// NotFound is an unknown model, answer or service.
	NotFound Type = "not_found_error"
	// Conflict is a request that clashes with an earlier one.
	Conflict Type = "conflict_error"
	// RateLimit is a refusal for want of room.
	RateLimit Type = "rate_limit_error"
	// Unavailable is a refusal because something that is needed is missing.
	Unavailable Type = "service_unavailable_error"
	// Backend is a failure of a backend server.
	Backend Type = "backend_error"
)

// Error is a refusal or failure as the caller sees it.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Type is the class of the error.
	Type Type
	// Code is a short machine-readable reason, such as "queue_full".
	Code string
	// Message is one sentence for a person; it never holds keys or prompts.
	Message string
	// Outcome says whether the request may have run.
	Outcome Outcome
	// RetryAfter, when above zero, is when another try makes sense.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// RetryAfterSeconds is the Retry-After header value in whole seconds, rounded
// up so that a caller never comes back early; 0 means that there is none.
func (e *Error) RetryAfterSeconds() int {
	return int(math.Ceil(e.RetryAfter.Seconds()))
}

// Body is the JSON form of an error in the OpenAI protocol.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the inner object of Body.
type Detail struct {
	Message string `json:"message"`
	Type    Type   `json:"type"`
	Code    string `json:"code"`
}

// Body gives the JSON form of the error.
func (e *Error) Body() Body {
	return Body{Error: Detail{Message: e.Message, Type: e.Type, Code: e.Code}}
}

// BadRequest is a 400 for a fault of the request itself.
func BadRequest(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Type: InvalidRequest, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Missing is a 404 for something that does not exist for this organisation.
func Missing(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusNotFound, Type: NotFound, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Busy is a 429 with the time after which another try makes sense.
func Busy(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusTooManyRequests, Type: RateLimit, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// NotReady is a 503 for a request that was not run because something it needs
// is missing now.
func NotReady(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Type: Unavailable, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// Failed is a 502 for a request that reached a backend server.
func Failed(code string, outcome Outcome, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadGateway, Type: Backend, Code: code, Message: fmt.Sprintf(format, args...), Outcome: outcome}
}
