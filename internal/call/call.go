// Package call defines the metadata of a routed call, independent of the header names that carry it:
// what the caller sends with the request, what an entry box adds for the backend server, and what the
// response reports about its call.
//
// A Protocol translates between these types and the headers of one interface. The code in between
// uses these types only; header names appear in the protocol adapters alone.
package call

import (
	"net/http"
	"time"

	"github.com/cometlock/cometlock/internal/advisory"
)

// Part is a section of a prompt that may be shared with other prompts. Parts with the same ID consist of
// the same tokens.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes a prompt without containing its text.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, AnswerTokens the maximum length of the answer.
	Tokens       int
	AnswerTokens int
	// Parts covers the prompt in order. The last part is specific to this request or its session.
	Parts []Part
}

// SharedParts returns the parts that other prompts may have too.
func (p *Prompt) SharedParts() []Part { return p.Parts[:max(len(p.Parts)-1, 0)] }

// RequestInfo is the metadata in a caller's request headers.
type RequestInfo struct {
	// RequestID identifies this attempt of the caller; a retry has another ID.
	RequestID string
	// MaxWait is how long the caller waits for the response; zero if it sends no limit.
	MaxWait time.Duration
	// Key is the caller's API key. It is never logged or forwarded.
	Key string
	// Prompt is nil for a call of a plain service.
	Prompt *Prompt
	// ResumeAfter is the ID of the last event that the caller received, or empty.
	ResumeAfter string
	// Resumes is the RequestID of the attempt that brought the first event of the stream that this
	// call resumes, or empty.
	Resumes string
	// Malformed describes why the headers are invalid; empty if they are valid.
	Malformed string
}

// ForwardInfo is the metadata that a box adds to a call for the backend server.
type ForwardInfo struct {
	// Server is the name of the intended server. Another server that receives the call rejects it.
	Server string
	// Organisation is the owner of the caller's API key; empty on public routes.
	Organisation string
	// Remaining is the time left until the deadline of the response.
	Remaining time.Duration
	// ResumeAfter makes a stream start after the event with this ID.
	ResumeAfter string
	// Model is set for calls with a prompt.
	Model *ModelForwardInfo
}

// ModelForwardInfo is the additional metadata for a runner.
type ModelForwardInfo struct {
	// WeightVersion is the required weight version. A runner with another version rejects the call.
	WeightVersion int
	// Namespace isolates KV cache entries: a runner reuses only those created in the same namespace.
	Namespace string
	// Urgency is that of the call's organisation or, if it has none, of its route. Rank orders the
	// runner's queue by both; calls with the lowest value are served first.
	Urgency int
	Rank    int
	// Fetch and Save hold, for each part of the prompt, the address of the store box from which to
	// load its KV cache, and of the one in which to store it; an empty string means none.
	Fetch []string
	Save  []string
	// FetchDeadline is the time at which an unfinished fetch is discarded, in milliseconds of the
	// servers' clock.
	FetchDeadline int64
}

// ResponseInfo is the metadata in a backend server's response.
type ResponseInfo struct {
	// NotRun is set if the backend server states that it did not run the call.
	NotRun bool
	// Genuine is set if the response was produced by a backend server and not changed on the way, as
	// far as the protocol shows this.
	Genuine bool
	// RequestID is the ID of the call to which the response belongs.
	RequestID string
	// Server is the name of the responding server; empty if the response does not name it.
	Server string
	// Advisory is what the server states about its own load and state.
	Advisory advisory.Advisory
}

// FailureInfo is the metadata of an error response that the box itself creates because no backend
// server responded.
type FailureInfo struct {
	// MayHaveRun is false only if the call has certainly not run and never will.
	MayHaveRun bool
	// RetryAfter is the delay after which the caller may retry; zero if unknown.
	RetryAfter time.Duration
}

// Protocol translates call metadata from and to the headers of one interface: that of the product's
// own configuration file (package routed), or that of the platform (the platform's adapter). The code
// that routes calls imports neither.
type Protocol interface {
	// ReadRequest decodes a caller's request headers.
	ReadRequest(header http.Header) RequestInfo
	// WriteForwardInfo sets the headers that only a box may set, and removes any that the caller sent.
	WriteForwardInfo(header http.Header, forward ForwardInfo)
	// ReadResponse decodes the status and headers of a backend server's response.
	ReadResponse(status int, header http.Header) ResponseInfo
	// WriteFailure adds the metadata of a failure to the headers of the box's own response.
	WriteFailure(header http.Header, failure FailureInfo)
}
