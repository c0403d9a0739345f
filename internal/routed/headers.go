// The product's own headers of routed calls. Those that begin with Cometlock- are the same as on
// the paths of package api where they have the same meaning.

package routed

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/selfheaders"
)

// Headers of routed calls, in addition to those of package api.
const (
	// headerModel names the model of a prompt. The body is the prompt and is forwarded unchanged.
	headerModel = "Cometlock-Model"
	// headerPromptTokens and headerAnswerTokens give the length of the prompt and the maximum
	// length of the answer, in tokens.
	headerPromptTokens = "Cometlock-Prompt-Tokens"
	headerAnswerTokens = "Cometlock-Answer-Tokens"
	// headerPromptParts lists the parts of the prompt in order, as "id:tokens,id:tokens". Two parts
	// with the same id hold the same tokens; the last part is unique to this call.
	headerPromptParts = "Cometlock-Prompt-Parts"
	// headerRemaining is the time until the call's deadline, in seconds.
	headerRemaining = "Cometlock-Remaining"
	// headerNamespace restricts the kept context that a server may use to context created under the
	// same namespace.
	headerNamespace = "Cometlock-Namespace"
	// headerIncarnation identifies an incarnation of a server. In a call it is the intended one,
	// and any other must reject the call as not run. In an answer it is the one that produced the
	// answer.
	headerIncarnation = "Cometlock-Incarnation"
	// headerPriority is the priority of the call, for the server.
	headerPriority = "Cometlock-Priority"

	headerOrganisation = "X-Organisation"
	headerResumeAfter  = "Last-Event-Id"
	headerKey          = "Authorization"
	headerEncodings    = "Accept-Encoding"
	headerConnection   = "Connection"
	headerRetryAfter   = "Retry-After" // HTTP allows only whole seconds
)

// secondsDecimals is the number of decimals for a resolution of one millisecond.
const secondsDecimals = 3

// boxHeaders lists the headers that only a box may send to a server. They are dropped from a
// caller's request.
var boxHeaders = []string{
	headerKey, headerOrganisation, headerResumeAfter, headerEncodings, api.HeaderDeadline, api.HeaderOutcome,
	headerRemaining, headerNamespace, headerPriority, headerIncarnation,
}

// headerPrefix is the prefix of the product's own headers.
const headerPrefix = "Cometlock-"

// keepOwnHeaders removes the headers that boxes read from those that a caller declares as headers of its
// connection. They would be missing at a box that the call is forwarded to.
func keepOwnHeaders(header http.Header) {
	declared := header.Values(headerConnection)
	if len(declared) == 0 {
		return
	}
	var kept []string
	for _, names := range declared {
		for name := range strings.SplitSeq(names, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != headerKey && !strings.HasPrefix(name, headerPrefix) {
				kept = append(kept, name)
			}
		}
	}
	header.Set(headerConnection, strings.Join(kept, ", "))
}

// Headers reads and writes the headers of routed calls; it implements call.Protocol.
type Headers struct{}

// ReadRequest implements call.Protocol.
func (Headers) ReadRequest(header http.Header) call.RequestInfo {
	info := call.RequestInfo{
		RequestID: header.Get(api.HeaderRequestID), ResumeAfter: header.Get(headerResumeAfter), Key: api.BearerKey(header),
	}
	if text := header.Get(api.HeaderDeadline); text != "" {
		patience, ok := api.ParseSeconds(text)
		if !ok {
			info.Malformed = "bad_deadline"
			return info
		}
		info.MaxWait = patience
	}
	model := header.Get(headerModel)
	if model == "" {
		return info
	}
	prompt, ok := readPrompt(model, header)
	if !ok {
		info.Malformed = "bad_prompt"
		return info
	}
	info.Prompt = prompt
	return info
}

// readPrompt parses the caller's description of its prompt, and reports whether it is valid.
func readPrompt(model string, header http.Header) (*call.Prompt, bool) {
	prompt := &call.Prompt{Model: model}
	var tokensRead, answerRead, partsRead bool
	prompt.Tokens, tokensRead = call.ReadCount(header.Get(headerPromptTokens))
	prompt.AnswerTokens, answerRead = call.ReadCount(header.Get(headerAnswerTokens))
	prompt.Parts, partsRead = call.ReadParts(header.Get(headerPromptParts))
	return prompt, tokensRead && answerRead && partsRead
}

// WriteForwardInfo implements call.Protocol. The namespace identifies the weights that the call is
// meant for.
func (Headers) WriteForwardInfo(header http.Header, forward call.ForwardInfo) {
	for _, name := range boxHeaders {
		header.Del(name)
	}
	// A stream in an encoding that a server chose could not be resumed by another server.
	header.Set(headerEncodings, "identity")
	header.Set(headerRemaining, strconv.FormatFloat(max(forward.Remaining.Seconds(), 0), 'f', secondsDecimals, 64))
	call.SetNonEmpty(header, headerIncarnation, incarnationIn(forward.Server))
	call.SetNonEmpty(header, headerOrganisation, forward.Organisation)
	call.SetNonEmpty(header, headerResumeAfter, forward.ResumeAfter)
	if forward.Model != nil {
		header.Set(headerNamespace, forward.Model.Namespace)
		header.Set(headerPriority, string(priorityOf(forward.Model.Urgency)))
	}
}

// ReadResponse implements call.Protocol. A server states with Cometlock-Outcome that it did not run a
// call; nothing else counts as that. Its answers are not signed, so they are accepted as genuine
// because they come from the server's address.
func (Headers) ReadResponse(status int, header http.Header) call.ResponseInfo {
	return call.ResponseInfo{
		Genuine: true, NotRun: header.Get(api.HeaderOutcome) == string(apierror.NotRun), RequestID: header.Get(api.HeaderRequestID),
		Server:   header.Get(headerIncarnation),
		Advisory: selfheaders.Read(status, header),
	}
}

// WriteFailure implements call.Protocol.
func (Headers) WriteFailure(header http.Header, failure call.FailureInfo) {
	outcome := apierror.NotRun
	if failure.MayHaveRun {
		outcome = apierror.Unknown
	}
	header.Set(api.HeaderOutcome, string(outcome))
	if failure.RetryAfter > 0 {
		header.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
}

// urgencyOf returns the rank of a priority; 0 is the highest.
func urgencyOf(priority config.Priority) int {
	for urgency, listed := range config.Priorities() {
		if listed == priority {
			return urgency
		}
	}
	return len(config.Priorities()) - 1
}

// priorityOf returns the priority of a rank. A rank out of range counts as the nearest one in it.
func priorityOf(urgency int) config.Priority {
	priorities := config.Priorities()
	return priorities[min(max(urgency, 0), len(priorities)-1)]
}

// millis converts milliseconds from the configuration file to a duration.
func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }
