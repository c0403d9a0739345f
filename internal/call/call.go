// Package call holds the facts of a routed call as plain data: what the caller
// said of it, what a box tells the backend server with it, and what the backend
// server's answer says of itself.
//
// The adapter of an interface reads and writes these; the stages in between see
// nothing else. A header name of any interface appears in no other package.
package call

import (
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
)

// Part is a section of a prompt that may be shared with other prompts. Two parts
// with the same ID hold the same tokens.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a prompt without holding its text.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, AnswerTokens the longest answer.
	Tokens       int
	AnswerTokens int
	// Parts cover the prompt in order; the last belongs to this request or its
	// session alone.
	Parts []Part
}

// RequestInfo are what a caller's headers say.
type RequestInfo struct {
	// RequestID names this attempt of the caller.
	RequestID string
	// MaxWait is how long the caller will wait; zero when it does not say.
	MaxWait time.Duration
	// Key is the caller's secret; it is never logged or passed on.
	Key string
	// Prompt is nil for a call of a plain service.
	Prompt *Prompt
	// ResumeAfter names the last event that the caller has, or nothing.
	ResumeAfter string
	// Malformed says why the facts cannot be used, or nothing.
	Malformed string
}

// ForwardInfo is what a box tells a backend server with a call.
type ForwardInfo struct {
	// Server names the server that the call is meant for; another one refuses it.
	Server string
	// Organisation owns the caller's key; empty on public routes.
	Organisation string
	// Remaining is the time left for the answer.
	Remaining time.Duration
	// ResumeAfter asks a stream to begin after the event of this name.
	ResumeAfter string
	// Model is set for calls with a prompt, and with it all that follows.
	Model *ModelForwardInfo
}

// ModelForwardInfo is what a runner is told besides.
type ModelForwardInfo struct {
	// WeightVersion is the version that must answer; another one refuses.
	WeightVersion int
	// Namespace keeps kept context apart: a runner finds only what was made
	// under the same one.
	Namespace string
	// Urgency orders what waits at the runner; the lowest goes first.
	Urgency int
	// Fetch and Save name for each part of the prompt the store box to bring it
	// from and to keep it in; an empty string means none.
	Fetch []string
	Save  []string
	// FetchDeadline is when a fetch that has not ended is thrown away, on the
	// servers' clock in milliseconds.
	FetchDeadline int64
}

// ResponseInfo are what an answer says of itself.
type ResponseInfo struct {
	// NotRun is the backend server's word that it did not run the call.
	NotRun bool
	// Genuine says that a backend server made the answer as it is, as far as the
	// interface can tell.
	Genuine bool
	// RequestID is the call that the answer belongs to.
	RequestID string
	// Server names the server that answers, where it says so.
	Server string
	// Advisory is what the server says of its own state.
	Advisory advisory.Advisory
}

// FailureInfo is what an answer of the box's own says of the call, where no backend server
// answered.
type FailureInfo struct {
	// MayHaveRun is false only when the call has certainly not run and never will.
	MayHaveRun bool
	// RetryAfter is when another try makes sense; zero when nothing is known.
	RetryAfter time.Duration
}

// Protocol reads and writes the facts of one interface: that of the product's own
// configuration file (package routed) or, by the platform's adapter, that of the
// platform. The stages import neither.
type Protocol interface {
	// ReadRequest decodes a caller's headers.
	ReadRequest(header http.Header) RequestInfo
	// WriteForwardInfo replaces in header whatever only a box may say.
	WriteForwardInfo(header http.Header, handover ForwardInfo)
	// ReadResponse decodes the head of a backend server's answer.
	ReadResponse(status int, header http.Header) ResponseInfo
	// WriteFailure adds a verdict to the head of the box's own answer.
	WriteFailure(header http.Header, verdict FailureInfo)
}
