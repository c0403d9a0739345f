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
	// InvalidRequest is an error in the request itself.
	InvalidRequest Type = "invalid_request_error"
	// Authentication is a missing or invalid API key.
	Authentication Type = "authentication_error"
	// NotFound is an unknown model, answer or service.
	NotFound Type = "not_found_error"
	// Conflict is a request that conflicts with an earlier one.
	Conflict Type = "conflict_error"
	// RateLimit is a rejection for lack of capacity.
	RateLimit Type = "rate_limit_error"
	// Unavailable is a rejection because something that the request needs is unavailable.
	Unavailable Type = "service_unavailable_error"
	// Backend is a failure of a backend server.
	Backend Type = "backend_error"
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
	return &Error{Status: http.StatusBadRequest, Type: InvalidRequest, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Missing returns a 404 for something that does not exist for this organisation.
func Missing(code, format string, args ...any) *Error {
	return &Error{Status: http.StatusNotFound, Type: NotFound, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun}
}

// Busy returns a 429 with the delay after which the caller should retry.
func Busy(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusTooManyRequests, Type: RateLimit, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// NotReady returns a 503 for a request that was not run because something that it needs is unavailable.
func NotReady(code string, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Status: http.StatusServiceUnavailable, Type: Unavailable, Code: code, Message: fmt.Sprintf(format, args...), Outcome: NotRun, RetryAfter: retryAfter}
}

// Failed returns a 502 for a request that reached a backend server.
func Failed(code string, outcome Outcome, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadGateway, Type: Backend, Code: code, Message: fmt.Sprintf(format, args...), Outcome: outcome}
}
