// The product's own words in the headers of routed calls. Those that begin with
// Cometlock- are the same as on the paths of package api where they mean the same.

package routed

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/api"
	"github.com/cometlock/cometlock/internal/apierror"
	"github.com/cometlock/cometlock/internal/call"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/selfheaders"
)

// Headers of routed calls, besides those of package api.
const (
	// headerModel names the model of a prompt. The body is the prompt, and is passed on
	// as it is.
	headerModel = "Cometlock-Model"
	// headerPromptTokens and headerAnswerTokens give the length of the prompt and the
	// longest answer.
	headerPromptTokens = "Cometlock-Prompt-Tokens"
	headerAnswerTokens = "Cometlock-Answer-Tokens"
	// headerPromptParts names the parts of the prompt in order, as "id:tokens,id:tokens". Two
	// parts with the same id hold the same tokens; the last part is this call's own.
	headerPromptParts = "Cometlock-Prompt-Parts"
	// headerRemaining tells a server for how many seconds the answer is waited for.
	headerRemaining = "Cometlock-Remaining"
	// headerNamespace tells a server what kept context it may use: only what was made
	// under the same name.
	headerNamespace = "Cometlock-Namespace"
	// headerIncarnation names a life of a server: in a call the one that it is meant for,
	// which any other must refuse as not run, and in an answer the one that gave it.
	headerIncarnation = "Cometlock-Incarnation"
	// headerPriority tells a server which calls go first.
	headerPriority = "Cometlock-Priority"

	headerOrganisation = "X-Organisation"
	headerResumeAfter  = "Last-Event-Id"
	headerKey          = "Authorization"
	headerEncodings    = "Accept-Encoding"
	headerComeBack     = "Retry-After" // whole seconds, since HTTP knows no others
)

// secondsDecimals writes seconds to the millisecond.
const secondsDecimals = 3

// boxOnly lists what only a box may tell a server; what a caller sends under these
// names is dropped.
var boxOnly = []string{
	headerKey, headerOrganisation, headerResumeAfter, headerEncodings, api.HeaderDeadline, api.HeaderOutcome,
	headerRemaining, headerNamespace, headerPriority, headerIncarnation,
}

// Headers reads and writes the headers of routed calls; it implements call.Protocol.
type Headers struct{}

// ReadFacts implements call.Protocol.
func (Headers) ReadRequest(header http.Header) call.RequestInfo {
	facts := call.RequestInfo{
		RequestID: header.Get(api.HeaderRequestID), ResumeAfter: header.Get(headerResumeAfter), Key: api.BearerKey(header),
	}
	if text := header.Get(api.HeaderDeadline); text != "" {
		patience, ok := api.ParseSeconds(text)
		if !ok {
			facts.Malformed = "bad_deadline"
			return facts
		}
		facts.MaxWait = patience
	}
	model := header.Get(headerModel)
	if model == "" {
		return facts
	}
	prompt, ok := readPrompt(model, header)
	if !ok {
		facts.Malformed = "bad_prompt"
		return facts
	}
	facts.Prompt = prompt
	return facts
}

// readPrompt reads what a caller says of its prompt, and reports whether it can be read.
func readPrompt(model string, header http.Header) (*call.Prompt, bool) {
	prompt := &call.Prompt{Model: model}
	var tokensRead, answerRead, partsRead bool
	prompt.Tokens, tokensRead = call.ReadCount(header.Get(headerPromptTokens))
	prompt.AnswerTokens, answerRead = call.ReadCount(header.Get(headerAnswerTokens))
	prompt.Parts, partsRead = call.ReadParts(header.Get(headerPromptParts))
	return prompt, tokensRead && answerRead && partsRead
}

// WriteHandover implements call.Protocol. The weights that are meant are in the
// namespace.
func (Headers) WriteForwardInfo(header http.Header, handover call.ForwardInfo) {
	for _, name := range boxOnly {
		header.Del(name)
	}
	// A server that chose an encoding by itself could not be resumed by another.
	header.Set(headerEncodings, "identity")
	header.Set(headerRemaining, strconv.FormatFloat(max(handover.Remaining.Seconds(), 0), 'f', secondsDecimals, 64))
	call.SetNonEmpty(header, headerIncarnation, incarnationIn(handover.Server))
	call.SetNonEmpty(header, headerOrganisation, handover.Organisation)
	call.SetNonEmpty(header, headerResumeAfter, handover.ResumeAfter)
	if handover.Model != nil {
		header.Set(headerNamespace, handover.Model.Namespace)
		header.Set(headerPriority, string(priorityOf(handover.Model.Urgency)))
	}
}

// ReadMarks implements call.Protocol. A server says with Cometlock-Outcome that it did
// not run a call; nothing else counts as that. Its answers are not signed: that they
// come from its address is all that is known.
func (Headers) ReadResponse(status int, header http.Header) call.ResponseInfo {
	return call.ResponseInfo{
		Genuine: true, NotRun: header.Get(api.HeaderOutcome) == string(apierror.NotRun), RequestID: header.Get(api.HeaderRequestID),
		Server:   header.Get(headerIncarnation),
		Advisory: selfheaders.Read(status, header),
	}
}

// WriteVerdict implements call.Protocol.
func (Headers) WriteFailure(header http.Header, verdict call.FailureInfo) {
	outcome := apierror.NotRun
	if verdict.MayHaveRun {
		outcome = apierror.Unknown
	}
	header.Set(api.HeaderOutcome, string(outcome))
	if verdict.RetryAfter > 0 {
		header.Set(headerComeBack, strconv.Itoa(int(math.Ceil(verdict.RetryAfter.Seconds()))))
	}
}

// urgencyOf gives the rank of a priority, 0 first.
func urgencyOf(priority config.Priority) int {
	for urgency, known := range config.Priorities() {
		if known == priority {
			return urgency
		}
	}
	return len(config.Priorities()) - 1
}

// priorityOf gives the priority of a rank; ranks below and above all count as the nearest.
func priorityOf(urgency int) config.Priority {
	priorities := config.Priorities()
	return priorities[min(max(urgency, 0), len(priorities)-1)]
}

// millis turns a number of the configuration file into a time.
func millis(count int) time.Duration { return time.Duration(count) * time.Millisecond }
