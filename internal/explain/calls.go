package explain

import (
	"encoding/json"
	"io"
	"time"
)

// Call holds the fields of a call's summary line that are used in statistics. Durations are in
// milliseconds. The summary line is the last line that is logged for a call.
type Call struct {
	Time         time.Time `json:"time"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Route        string    `json:"route"`
	Server       string    `json:"server"`
	FetchedFrom  string    `json:"fetched_from"`
	PromptTokens int       `json:"prompt_tokens"`
	// UnfetchedTokens counts the prompt tokens that a runner with none of the prompt cached has to prefill.
	UnfetchedTokens int `json:"unfetched_tokens"`
	// Objective is the latency objective of the route. QueueTime is how long the call waited for
	// admission at its box. Expected is the predicted time from then to the first event. FirstEvent is
	// the time from the call's arrival to its first event, or 0 if there was none.
	Objective  float64 `json:"objective"`
	QueueTime  float64 `json:"waited"`
	Expected   float64 `json:"expected"`
	FirstEvent float64 `json:"first_event"`
}

// ForEachCall passes the summary line of each call to handle.
func ForEachCall(source io.Reader, handle func(Call)) error {
	return scanLines(source, func(l line) {
		if l.Event != callEvent {
			return
		}
		var call Call
		if err := json.Unmarshal(l.raw, &call); err == nil { // scanLines has already decoded the line
			handle(call)
		}
	})
}
