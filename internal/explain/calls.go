package explain

import (
	"encoding/json"
	"io"
	"time"
)

// Call is what the line that ends a call's story says, as far as it is counted. Times are
// in milliseconds.
type Call struct {
	Time         time.Time `json:"time"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Route        string    `json:"route"`
	Server       string    `json:"server"`
	FetchedFrom  string    `json:"fetched_from"`
	PromptTokens int       `json:"prompt_tokens"`
	// Unfetched are the tokens of the prompt that a runner without any of it reads.
	Unfetched int `json:"unfetched_tokens"`
	// Objective is the route's, Waited how long the call waited for room at its box,
	// Expected when its first event was expected after that, and FirstEvent when it came
	// after the call did; 0 when none did.
	Objective  float64 `json:"objective"`
	Waited     float64 `json:"waited"`
	Expected   float64 `json:"expected"`
	FirstEvent float64 `json:"first_event"`
}

// Calls gives the line that ended each call to take.
func Calls(source io.Reader, take func(Call)) error {
	return read(source, func(l line) {
		if l.Event != eventCall {
			return
		}
		var call Call
		if err := json.Unmarshal(l.raw, &call); err == nil { // read has decoded it once
			take(call)
		}
	})
}
