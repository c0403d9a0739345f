// Package apierror defines the errors that callers receive when a request is rejected or fails.
//
// The body follows the OpenAI error object, because callers have clients for it. The outcome is an
// extension: it states whether the request may have had an effect, and so whether the caller can
// safely retry it.
package apierror

import (
	"fmt"
	"math"
	"net/http"
	"time"
)

// Outcome states whether a request without a complete answer has run.
type Outcome string

const (
	// NotRun means that no byte of the request reached a backend server and none will, so the caller
	// may retry it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, completely or in part.
	Unknown Outcome = "unknown"
	// Ran means that the request ran, although its answer is incomplete.
	Ran Outcome = "ran"
)

// Type is the error class in the OpenAI API.
type Type string

const (
	// TypeInvalidRequest is an error in the request itself.
	TypeInvalidRequest Type = "invalid_request_error"
	// TypeAuthentication is a missing or invalid API key.
	TypeAuthentication Type = "authentication_error"
	// TypeNotFound is an unknown model, answer or service.
	TypeNotFound Type = "not_found_error"
	// TypeConflict is a request that conflicts with an earlier one.
	TypeConflict Type = "conflict_error"
	// TypeRateLimit is a rejection for lack of capacity.
	TypeRateLimit Type = "rate_limit_error"
	// TypeUnavailable is a rejection because something that the request needs is unavailable.
	TypeUnavailable Type = "service_unavailable_error"
	// TypeBackend is a failure of a backend server.
	TypeBackend Type = "backend_error"
)

// Error is the error response to a rejected or failed request.
type Error struct {
	// Status is the HTTP status code.
	Status int
	// Type is the class of the error.
	Type Type
	// Code is a short machine-readable reason, such as "queue_full".
	Code string
	// Message is a human-readable sentence. It never contains API keys or prompts.
	Message string
	// Outcome states whether the request may have run.
	Outcome Outcome
	// RetryAfter is the delay after which the caller should retry; zero if none is given.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Outcome)
}

// RetryAfterSeconds returns the value of the Retry-After header in whole seconds, rounded up so that
// callers never retry too early; 0 means that there is no header.
func (e *Error) RetryAfterSeconds() int {
	return int(math.Ceil(e.RetryAfter.Seconds()))
}

// Body is the JSON encoding of an error in the OpenAI API.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the inner object of Body.
type Detail struct {
	Message string `json:"message"`
	Type    Type   `json:"type"`
	Code    string `json:"code"`
}

// Body returns the JSON encoding of the error.
func (e *Error) Body() Body {
	return Body{Error: Detail{Message: e.Message, Type: e.Type, Code: e.Code}}
}

// BadRequest returns a 400 for an error in the request itself.
func BadRequest(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Type: TypeInvalidRequest, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// NotFound returns a 404 for something that does not exist for this organisation.
func NotFound(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusNotFound, Type: TypeNotFound, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// TooManyRequests returns a 429 with the delay after which the caller should retry.
func TooManyRequests(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusTooManyRequests, Type: TypeRateLimit, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// ServiceUnavailable returns a 503 for a request that was not run because something that it needs is unavailable.
func ServiceUnavailable(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Type: TypeUnavailable, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// BadGateway returns a 502 for a request that reached a backend server.
func BadGateway(code string, outcome Outcome, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadGateway, Type: TypeBackend, Code: code, Message: fmt.Sprintf(format, args...), Outcome: outcome}
}
