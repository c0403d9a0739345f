// Answers of the box's own. Each says whether the call may have run: only one that
// certainly did not is refused with an invitation to come back.

package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/call"
)

// Pauses that callers are asked to make. A refusal is given at once; the pause
// says when there may be room.
const (
	// startingPause is about what a box needs to read the configuration.
	startingPause = 300 * time.Millisecond
	// busyPause is how long a full or loading runner stays so at least.
	busyPause = 80 * time.Millisecond
	// serverlessPause is for services none of whose servers can be reached.
	serverlessPause = 400 * time.Millisecond
)

// refusal is the body of an answer of the box's own.
type refusal struct {
	Error refusalError `json:"error"`
}

type refusalError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// refuse ends a call that has not run and never will. It gives false, so that
// stages can end with it.
func (g *Gateway) refuse(x *exchange, reason string, pause time.Duration) bool {
	x.outcome = outcomeRefused
	g.cfg.Protocol.WriteVerdict(x.writer.Header(), call.Verdict{ComeBackAfter: pause})
	return g.answer(x, http.StatusServiceUnavailable, reason, "the request was not run; it may be sent again")
}

// reject ends a call that is itself at fault.
func (g *Gateway) reject(x *exchange, status int, reason string) bool {
	x.outcome = outcomeRejected
	g.cfg.Protocol.WriteVerdict(x.writer.Header(), call.Verdict{})
	return g.answer(x, status, reason, "the request cannot be served as it is")
}

// giveUp ends a call without an answer: as refused when it certainly did not run,
// as unknown otherwise.
func (g *Gateway) giveUp(x *exchange, reason string, pause time.Duration) {
	if !x.mayHaveRun {
		g.refuse(x, reason, pause)
		return
	}
	x.outcome = outcomeUnknown
	g.cfg.Protocol.WriteVerdict(x.writer.Header(), call.Verdict{MayHaveRun: true})
	status := http.StatusBadGateway
	if !boottime.Now().Before(x.deadline) {
		status = http.StatusGatewayTimeout
	}
	g.answer(x, status, reason, "the request may have run; no answer came back")
}

// breakOff ends an answer of which a part has reached the caller: the connection
// is cut, so that the part cannot be taken for the whole.
func (g *Gateway) breakOff(x *exchange, reason string) {
	x.outcome, x.reason = outcomeBroken, reason
	panic(http.ErrAbortHandler)
}

func (g *Gateway) answer(x *exchange, status int, reason, message string) bool {
	x.status, x.reason = status, reason
	body, err := json.Marshal(refusal{refusalError{reason, message}})
	if err != nil {
		g.cfg.Logger.Error().Str("error", err.Error()).Msg("refusal_not_encoded")
	}
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.writer.WriteHeader(status)
	_, _ = x.writer.Write(body) // a caller that left needs no answer
	return false
}
